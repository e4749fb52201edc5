//! Random interleavings of several hosts on one group, with what must always hold.
//!
//! A failure prints its seed; see [`seeds`] for longer runs.

#[path = "exploration/caller_reads.rs"]
mod caller_reads;
#[path = "exploration/callers.rs"]
mod callers;
#[path = "exploration/faults.rs"]
mod faults;
#[path = "exploration/instance.rs"]
mod instance;
#[path = "exploration/interleaving.rs"]
mod interleaving;
#[path = "exploration/message.rs"]
mod message;
#[path = "exploration/network.rs"]
mod network;
#[path = "exploration/random.rs"]
mod random;
mod support;
#[path = "exploration/world.rs"]
mod world;

use std::collections::BTreeSet;

use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::prelude::*;
use jujubehold_core::replay::replay;

use callers::Counts;
use world::{Planted, World};

const CALM_FROM: u64 = 20_000;
const END: u64 = 35_000;
const DEFAULT_SEEDS: u64 = 12;

/// Runs one seed; returns what was violated and what happened.
fn explore(seed: u64, planted: Planted, confirm: Confirm) -> (Vec<String>, Counts) {
    let mut world = World::new(seed, planted, confirm, CALM_FROM);
    world.run(END - 5000);
    let acknowledged = world.callers.counts.acknowledged;
    world.run(END);
    if world.callers.counts.acknowledged == acknowledged {
        world
            .callers
            .violations
            .push("no write is acknowledged after all is well".to_owned());
    }
    for instance in world.instances.values() {
        let distinct: BTreeSet<_> = instance.log.iter().map(|entry| entry.write).collect();
        if distinct.len() < instance.log.len() {
            let message = format!("a write ran twice on {}", instance.name);
            world.callers.violations.push(message);
        }
    }
    if !world.callers.violations.is_empty() && planted == Planted::Nothing {
        println!("seed {seed} with {confirm:?}\n{}", world.faults.join("\n"));
    }
    (world.callers.violations, world.callers.counts)
}

/// The seeds to run: `JUJUBEHOLD_EXPLORE_SEEDS` is their count, `JUJUBEHOLD_EXPLORE_FROM` the first.
fn seeds() -> std::ops::Range<u64> {
    let number = |name, default| {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first = number("JUJUBEHOLD_EXPLORE_FROM", 0);
    first..first + number("JUJUBEHOLD_EXPLORE_SEEDS", DEFAULT_SEEDS)
}

#[test]
fn nothing_is_violated_whatever_fails() {
    let mut promotions = 0;
    for seed in seeds() {
        let confirm = if seed % 4 == 3 {
            Confirm::None
        } else {
            Confirm::Replica
        };
        let (violations, counts) = explore(seed, Planted::Nothing, confirm);
        println!("seed {seed} {confirm:?}: {counts:?}");
        assert!(
            violations.is_empty(),
            "seed {seed} with {confirm:?}: {violations:#?}"
        );
        assert!(
            counts.replica_reads > 0 && counts.unknown > 0,
            "seed {seed}: {counts:?}"
        );
        promotions += counts.promotions;
    }
    assert!(promotions > 0, "the schedules lead to failovers");
}

/// The first seed whose check finds the planted fault, with what it found.
fn find(planted: Planted) -> Option<(u64, String)> {
    (0..40).find_map(|seed| {
        let (violations, _) = explore(seed, planted, Confirm::Replica);
        violations.into_iter().next().map(|found| (seed, found))
    })
}

#[test]
fn the_checks_find_that_fencing_is_ignored() {
    let found = find(Planted::FencingIgnored);
    println!("{found:?}");
    assert!(found.is_some());
}

#[test]
fn the_checks_find_that_the_floor_is_not_checked() {
    let found = find(Planted::FloorCheckIgnored);
    println!("{found:?}");
    assert!(found.is_some());
}

#[test]
fn the_checks_find_that_a_write_runs_twice() {
    let found = find(Planted::AtMostOnceIgnored);
    println!("{found:?}");
    assert!(found.is_some());
}

/// The time from `change` to the first write that the next primary acknowledged, in milliseconds of
/// the model.
fn gap_after(seed: u64, change: impl Fn(&mut World)) -> u64 {
    let mut world = World::new(seed, Planted::Nothing, Confirm::Replica, 0);
    world.run(4000 + 37 * seed);
    change(&mut world);
    let changed_at = world.now;
    while !world.callers.has_acknowledged_past(1) {
        assert!(
            world.now < changed_at + 20_000,
            "seed {seed}: no write after 20 s"
        );
        world.run(world.now + 10);
    }
    world.now - changed_at
}

fn gaps_after(change: impl Fn(&mut World)) -> Vec<u64> {
    let mut gaps: Vec<_> = (0..20).map(|seed| gap_after(seed, &change)).collect();
    gaps.sort_unstable();
    gaps
}

#[test]
fn a_lost_primary_is_replaced_within_the_targets_seven_seconds() {
    let gaps = gaps_after(|world| {
        let primary = world.instances.get_mut("a").expect("it is listed");
        primary.is_down = true;
    });
    println!("failover gaps of the model in ms: {gaps:?}");
    assert!(gaps.last().is_some_and(|longest| *longest < 7000));
}

#[test]
fn an_ordered_change_takes_less_than_a_failover() {
    let gaps = gaps_after(|world| {
        let instance = "b".into();
        world.feed(0, FailoverEvent::ChangeOrdered { instance });
    });
    println!("ordered changes of the model in ms: {gaps:?}");
    assert!(gaps.last().is_some_and(|longest| *longest < 2000));
}

#[test]
fn delay_and_loss_alone_replace_no_primary() {
    for seed in 0..4 {
        let mut world = World::new(seed, Planted::Nothing, Confirm::Replica, 0);
        world.run(60_000);
        assert_eq!(world.callers.counts.promotions, 0, "seed {seed}");
    }
}

#[test]
fn a_recorded_trace_brings_the_same_actions_again() {
    let mut stated = 0;
    for seed in 0..3 {
        let mut world = World::new(seed, Planted::Nothing, Confirm::Replica, CALM_FROM);
        world.run(END);
        let replay = replay(&world.trace.join("\n")).expect("it was recorded");
        stated += replay.expected_count;
        assert!(
            replay.matches_expectations(),
            "seed {seed}: {:#?}",
            replay.mismatches
        );
    }
    println!("{stated} actions recorded");
    assert!(stated > 30);
}

/// Loses the primary with writes that it acknowledged without confirmation.
fn cut_floors(planted: Planted) -> (Vec<String>, Counts) {
    let mut world = World::new(1, planted, Confirm::None, 0);
    world.run(4000);
    world.is_replication_stopped = true;
    world.run(4500);
    let primary = world.instances.get_mut("a").expect("it is listed");
    primary.is_down = true;
    world.is_replication_stopped = false;
    world.run(9000);
    (world.callers.violations, world.callers.counts)
}

#[test]
fn a_floor_that_a_failover_cut_is_told_and_never_silently_satisfied() {
    let (violations, counts) = cut_floors(Planted::Nothing);
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(counts.floors_cut > 0, "{counts:?}");
    let (violations, _) = cut_floors(Planted::FloorCheckIgnored);
    assert!(!violations.is_empty());
}
