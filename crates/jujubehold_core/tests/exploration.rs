//! Random interleavings of several hosts that manage one group, with invariants that must always
//! hold.
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
#[path = "exploration/simulation.rs"]
mod simulation;
mod support;

use std::collections::BTreeSet;

use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::prelude::*;
use jujubehold_core::replay::replay;

use callers::Counts;
use simulation::{InjectedBug, Simulation};

const FAULTS_END_MS: u64 = 20_000;
const RUN_END_MS: u64 = 35_000;
const DEFAULT_SEED_COUNT: u64 = 12;

/// Runs one seed; returns the violations and the counts of operations.
fn explore(seed: u64, injected_bug: InjectedBug, confirm: Confirm) -> (Vec<String>, Counts) {
    let mut simulation = Simulation::new(seed, injected_bug, confirm, FAULTS_END_MS);
    simulation.run(RUN_END_MS - 5000);
    let acknowledged = simulation.callers.counts.acknowledged;
    simulation.run(RUN_END_MS);
    if simulation.callers.counts.acknowledged == acknowledged {
        simulation
            .callers
            .violations
            .push("no write was acknowledged after the faults ended".to_owned());
    }
    for instance in simulation.instances.values() {
        let distinct: BTreeSet<_> = instance.log.iter().map(|entry| entry.write).collect();
        if distinct.len() < instance.log.len() {
            let message = format!("a write was committed twice on {}", instance.name);
            simulation.callers.violations.push(message);
        }
    }
    if !simulation.callers.violations.is_empty() && injected_bug == InjectedBug::None {
        println!(
            "seed {seed} with {confirm:?}\n{}",
            simulation.faults.join("\n")
        );
    }
    (simulation.callers.violations, simulation.callers.counts)
}

/// Returns the seeds to run. `JUJUBEHOLD_EXPLORE_SEEDS` is their count and
/// `JUJUBEHOLD_EXPLORE_FROM` the first.
fn seeds() -> std::ops::Range<u64> {
    let number = |name, default| {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let first = number("JUJUBEHOLD_EXPLORE_FROM", 0);
    first..first + number("JUJUBEHOLD_EXPLORE_SEEDS", DEFAULT_SEED_COUNT)
}

#[test]
fn invariants_hold_under_random_faults() {
    let mut promotions = 0;
    for seed in seeds() {
        let confirm = if seed % 4 == 3 {
            Confirm::None
        } else {
            Confirm::Replica
        };
        let (violations, counts) = explore(seed, InjectedBug::None, confirm);
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
    assert!(promotions > 0, "no seed led to a failover");
}

/// Returns the first seed whose checks find the injected bug, with the violation.
fn find_violation(injected_bug: InjectedBug) -> Option<(u64, String)> {
    (0..40).find_map(|seed| {
        let (violations, _) = explore(seed, injected_bug, Confirm::Replica);
        violations.into_iter().next().map(|found| (seed, found))
    })
}

#[test]
fn the_checks_find_that_fencing_is_ignored() {
    let found = find_violation(InjectedBug::FencingIgnored);
    println!("{found:?}");
    assert!(found.is_some());
}

#[test]
fn the_checks_find_that_the_floor_is_not_checked() {
    let found = find_violation(InjectedBug::FloorCheckIgnored);
    println!("{found:?}");
    assert!(found.is_some());
}

#[test]
fn the_checks_find_that_a_write_runs_twice() {
    let found = find_violation(InjectedBug::AtMostOnceIgnored);
    println!("{found:?}");
    assert!(found.is_some());
}

/// Returns the time from `change` to the first write that the next primary acknowledged, in
/// milliseconds of simulated time.
fn failover_gap_ms(seed: u64, change: impl Fn(&mut Simulation)) -> u64 {
    let mut simulation = Simulation::new(seed, InjectedBug::None, Confirm::Replica, 0);
    simulation.run(4000 + 37 * seed);
    change(&mut simulation);
    let changed_at = simulation.now;
    while !simulation.callers.has_acknowledged_after_term(1) {
        assert!(
            simulation.now < changed_at + 20_000,
            "seed {seed}: no write after 20 s"
        );
        simulation.run(simulation.now + 10);
    }
    simulation.now - changed_at
}

fn failover_gaps_ms(change: impl Fn(&mut Simulation)) -> Vec<u64> {
    let mut gaps: Vec<_> = (0..20).map(|seed| failover_gap_ms(seed, &change)).collect();
    gaps.sort_unstable();
    gaps
}

#[test]
fn a_lost_primary_is_replaced_within_seven_seconds() {
    let gaps = failover_gaps_ms(|simulation| {
        let primary = simulation
            .instances
            .get_mut("a")
            .expect("the instance is configured");
        primary.is_down = true;
    });
    println!("failover gaps, simulated ms: {gaps:?}");
    assert!(gaps.last().is_some_and(|longest| *longest < 7000));
}

#[test]
fn a_requested_change_takes_less_than_two_seconds() {
    let gaps = failover_gaps_ms(|simulation| {
        let instance = "b".into();
        simulation.on_failover_event(0, FailoverEvent::ChangeRequested { instance });
    });
    println!("requested changes, simulated ms: {gaps:?}");
    assert!(gaps.last().is_some_and(|longest| *longest < 2000));
}

#[test]
fn delay_and_loss_alone_replace_no_primary() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, InjectedBug::None, Confirm::Replica, 0);
        simulation.run(60_000);
        assert_eq!(simulation.callers.counts.promotions, 0, "seed {seed}");
    }
}

#[test]
fn replaying_a_recorded_trace_gives_the_same_actions() {
    let mut stated = 0;
    for seed in 0..3 {
        let mut simulation =
            Simulation::new(seed, InjectedBug::None, Confirm::Replica, FAULTS_END_MS);
        simulation.run(RUN_END_MS);
        let replay = replay(&simulation.trace.join("\n")).expect("a recorded trace is well formed");
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

/// Loses the primary together with writes that it acknowledged without confirmation.
fn lose_unconfirmed_writes(injected_bug: InjectedBug) -> (Vec<String>, Counts) {
    let mut simulation = Simulation::new(1, injected_bug, Confirm::None, 0);
    simulation.run(4000);
    simulation.is_replication_stopped = true;
    simulation.run(4500);
    let primary = simulation
        .instances
        .get_mut("a")
        .expect("the instance is configured");
    primary.is_down = true;
    simulation.is_replication_stopped = false;
    simulation.run(9000);
    (simulation.callers.violations, simulation.callers.counts)
}

#[test]
fn a_floor_lost_in_a_failover_is_reported_and_never_silently_satisfied() {
    let (violations, counts) = lose_unconfirmed_writes(InjectedBug::None);
    assert!(violations.is_empty(), "{violations:#?}");
    assert!(counts.lost_floors > 0, "{counts:?}");
    let (violations, _) = lose_unconfirmed_writes(InjectedBug::FloorCheckIgnored);
    assert!(!violations.is_empty());
}
