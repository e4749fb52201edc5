//! Quotas across hosts: the bound in every sliding window under faults, and the loads that the
//! quota modules address.

#[path = "quota/host.rs"]
mod host;
#[path = "exploration/random.rs"]
mod random;
#[path = "quota/simulation.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::quota::{
    BucketLimit, QuotaBound, QuotaLimit, Share, ShareTime, StartCredit, TokenBucket,
};

use simulation::{Faults, Simulation, largest_window};

const DEFAULT_SEED_COUNT: u64 = 300;
/// The tests that explore, which run at the same time.
const PARTS: u64 = 3;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn limit(rate_per_s: u64, burst: u32) -> QuotaLimit {
    QuotaLimit {
        rate_per_1000_s: rate_per_s * 1_000,
        burst,
    }
}

// The seeds of one of the tests that divide them among themselves. `JUJUBEHOLD_SEED` names a single
// one, `JUJUBEHOLD_SEEDS` their number.
fn seeds(part: u64) -> impl Iterator<Item = u64> {
    let number = |name| std::env::var(name).ok()?.parse::<u64>().ok();
    let seeds = match number("JUJUBEHOLD_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("JUJUBEHOLD_SEEDS").unwrap_or(DEFAULT_SEED_COUNT),
    };
    seeds.filter(move |seed| seed % PARTS == part)
}

fn normal_network() -> Faults {
    Faults {
        loss_per_2000: 1,
        duplicates_per_2000: 0,
        max_delay_ms: 21,
        lost_reads_percent: 0,
    }
}

fn disturb(simulation: &mut Simulation) {
    let count = simulation.hosts.len() as u64;
    let index = usize::try_from(simulation.random.below(count)).unwrap_or(0);
    let other = usize::try_from(simulation.random.below(count)).unwrap_or(0);
    let now = simulation.now;
    match simulation.random.below(8) {
        0 if simulation.hosts[index].is_up => simulation.end(index),
        1 if simulation.hosts[index].is_up => {
            let time = Duration::from_millis(simulation.random.between(300, 7_000));
            simulation.hosts[index].frozen_until = now + time;
        }
        2 if simulation.hosts[index].runs(now) => simulation.leave(index),
        3 if simulation.hosts[index].is_leaving => simulation.end(index),
        4 if index != other => {
            let link = (index.min(other), index.max(other));
            if !simulation.cut_links.remove(&link) {
                simulation.cut_links.insert(link);
            }
        }
        5 => {
            let time = Duration::from_millis(simulation.random.between(500, 8_000));
            simulation.store_available_at = now + time;
        }
        6 if !simulation.hosts[index].is_up => simulation.replace(index),
        _ if !simulation.hosts[index].is_up => simulation.restart(index),
        _ => {}
    }
}

// Guards against shares that two keepers use at once, tokens that outlive their time, and buckets
// that are filled again by a restart or a repeated datagram: hosts of one, two or three failure
// domains that are killed, stopped, replaced and cut off, and a limit that is lowered.
#[test]
fn the_bound_holds_in_one_failure_domain() {
    seeds(0).for_each(check_bound);
}

// Guards against the same across two failure domains.
#[test]
fn the_bound_holds_in_two_failure_domains() {
    seeds(1).for_each(check_bound);
}

// Guards against the same across three failure domains.
#[test]
fn the_bound_holds_in_three_failure_domains() {
    seeds(2).for_each(check_bound);
}

// Guards against a host that leases its share although its name was removed: it was recorded at its
// first start, cut off before its first listing, and listed again half a minute later.
#[test]
fn the_bound_holds_in_the_seeds_that_exceeded_it() {
    [452, 580, 5_910].into_iter().for_each(check_bound);
}

fn check_bound(seed: u64) {
    let customer = CustomerId::from("customer");
    let before = limit(400, if seed.is_multiple_of(3) { 20 } else { 1_000 });
    let faults = Faults {
        loss_per_2000: 40,
        duplicates_per_2000: 40,
        max_delay_ms: 60,
        lost_reads_percent: 40,
    };
    let limits = BTreeMap::from([(customer.clone(), before)]);
    let domain_count = 1 + usize::try_from(seed % PARTS).unwrap_or(0);
    let mut simulation = Simulation::new(seed, (6, domain_count), limits, faults);
    let after = limit(100, 10);
    let lowered_at = seconds(60);
    let mut demand = true;
    while simulation.now < seconds(90) {
        if demand {
            simulation.arrive_at_random(1_200, &customer);
        }
        demand ^= simulation.random.below(800) == 0;
        simulation.tick();
        if simulation.random.below(400) == 0 {
            disturb(&mut simulation);
        }
        if simulation.random.below(2_000) == 0 {
            let index = usize::try_from(simulation.random.below(6)).unwrap_or(0);
            if !simulation.cut_from_store.remove(&index) {
                simulation.cut_from_store.insert(index);
            }
        }
        if simulation.now == lowered_at {
            simulation.limits.insert(customer.clone(), after);
            for host in &mut simulation.hosts {
                host.limits.insert(customer.clone(), after);
            }
        }
    }
    let admitted_at = &simulation.counts[&customer].admitted_at;
    let bound = QuotaBound::default();
    let (count, at) = largest_window(admitted_at, Duration::ZERO);
    let max = bound.max_operations(before);
    assert!(count <= max, "seed {seed}: {count} > {max} after {at:?}");
    let (count, at) = largest_window(admitted_at, lowered_at + bound.window);
    let max = bound.max_operations(after);
    assert!(
        count <= max,
        "seed {seed}: lowered: {count} > {max} after {at:?}"
    );
}

fn fleet(seed: u64, limits: BTreeMap<CustomerId, QuotaLimit>) -> Simulation {
    let mut simulation = Simulation::new(seed, (86, 6), limits, normal_network());
    while simulation.now < seconds(12) {
        simulation.tick();
    }
    simulation
}

// The load: one customer sends 9 times its usual rate, so 5.6 times its quota, through all hosts,
// beside one that stays below its quota.
#[test]
fn a_customer_over_its_quota_gets_its_quota_and_others_lose_nothing() {
    let (busy, usual) = (CustomerId::from("busy"), CustomerId::from("usual"));
    let limits = BTreeMap::from([
        (busy.clone(), limit(160, 160)),
        (usual.clone(), limit(16, 16)),
    ]);
    let mut simulation = fleet(1, limits);
    let begun_at = simulation.now;
    let requests_before = simulation.requests;
    while simulation.now < begun_at + seconds(21) {
        simulation.arrive_at_random(900, &busy);
        simulation.arrive_at_random(10, &usual);
        simulation.tick();
    }
    let admitted_at = &simulation.counts[&busy].admitted_at;
    let after_a_second = admitted_at
        .iter()
        .filter(|at| **at >= begun_at + seconds(1))
        .count();
    assert!(after_a_second >= 160 * 20 * 97 / 100, "{after_a_second}");
    assert_eq!(simulation.counts[&usual].refused, BTreeMap::new());
    let requests = simulation.requests - requests_before;
    assert!(requests <= 86 * 21 * 30, "{requests}");
}

// The load: customers at their usual rate, with the usual loss of datagrams.
#[test]
fn a_customer_below_its_quota_is_never_refused_while_nothing_fails() {
    let names: Vec<_> = (0..20)
        .map(|number| CustomerId::from(format!("customer-{number}")))
        .collect();
    let limits = names.iter().map(|name| (name.clone(), limit(16, 16)));
    let mut simulation = fleet(2, limits.collect());
    let begun_at = simulation.now;
    while simulation.now < begun_at + seconds(60) {
        for name in &names {
            simulation.arrive_at_random(10, name);
        }
        simulation.tick();
    }
    for name in &names {
        assert_eq!(simulation.counts[name].refused, BTreeMap::new(), "{name}");
    }
}

fn usual_customers() -> Vec<CustomerId> {
    (0..20)
        .map(|number| CustomerId::from(format!("customer-{number}")))
        .collect()
}

fn usual_fleet(seed: u64) -> Simulation {
    let customers = usual_customers().into_iter();
    fleet(seed, customers.map(|name| (name, limit(16, 16))).collect())
}

// Lets customers at their usual rate, five eighths of their quota, run until `end_at`.
fn run_usual(simulation: &mut Simulation, end_at: Duration) {
    while simulation.now < end_at {
        for name in usual_customers() {
            simulation.arrive_at_random(10, &name);
        }
        simulation.tick();
    }
}

// Returns the refused operations in thousandths of all that ended between two times.
fn refused_per_mille(simulation: &Simulation, begin: Duration, end: Duration) -> usize {
    let count = |times: &[Duration]| times.iter().filter(|at| (begin..end).contains(*at)).count();
    let (mut refused, mut admitted) = (0, 0);
    for counts in simulation.counts.values() {
        refused += count(&counts.refused_at);
        admitted += count(&counts.admitted_at);
    }
    refused * 1_000 / (refused + admitted).max(1)
}

fn assert_bound(simulation: &Simulation) {
    let max = QuotaBound::default().max_operations(limit(16, 16));
    for (name, counts) in &simulation.counts {
        let (count, at) = largest_window(&counts.admitted_at, Duration::ZERO);
        assert!(count <= max, "{name}: {count} > {max} after {at:?}");
    }
}

// The load: all hosts are killed at the same moment and start again within 200 ms of each other.
// Guards against a wait for hosts that can't have any tokens.
#[test]
fn customers_get_tokens_in_the_first_second_after_all_hosts_were_killed() {
    let mut simulation = usual_fleet(3);
    let killed_at = simulation.now + seconds(10);
    run_usual(&mut simulation, killed_at);
    for index in 0..simulation.hosts.len() {
        simulation.end(index);
    }
    let started_at = killed_at + seconds(1);
    run_usual(&mut simulation, started_at);
    for step in 0..10 {
        for index in (step..simulation.hosts.len()).step_by(10) {
            simulation.restart(index);
        }
        let next = simulation.now + Duration::from_millis(20);
        run_usual(&mut simulation, next);
    }
    let served_at = started_at + Duration::from_millis(300);
    run_usual(&mut simulation, served_at + seconds(5));
    let refused = refused_per_mille(&simulation, served_at, served_at + seconds(1));
    assert!(
        refused < 50,
        "{refused} of 1,000 were refused in the first second"
    );
    let refused = refused_per_mille(&simulation, served_at + seconds(1), simulation.now);
    assert!(refused < 3, "{refused} of 1,000 were refused afterwards");
    assert_bound(&simulation);
}

// The load: the store is away for 4.1 s, so that the leases of all hosts end while they run.
// Guards against buckets that are given up because the list of hosts is new.
#[test]
fn customers_lose_nothing_while_the_store_is_away_and_all_leases_end() {
    let mut simulation = usual_fleet(4);
    let begun_at = simulation.now;
    run_usual(&mut simulation, begun_at + seconds(5));
    simulation.store_available_at = simulation.now + Duration::from_millis(4_100);
    let away_at = simulation.now;
    run_usual(&mut simulation, away_at + seconds(12));
    let refused = refused_per_mille(&simulation, away_at, simulation.now);
    assert!(refused < 3, "{refused} of 1,000 were refused");
    assert_bound(&simulation);
}

// The load: every host leaves in turn and starts again half a second later.
#[test]
fn customers_lose_nothing_while_hosts_are_restarted_in_turn() {
    let mut simulation = usual_fleet(5);
    let begun_at = simulation.now;
    for index in 0..simulation.hosts.len() {
        simulation.leave(index);
        let leaves_at = simulation.now;
        run_usual(&mut simulation, leaves_at + Duration::from_millis(100));
        simulation.end(index);
        run_usual(&mut simulation, leaves_at + Duration::from_millis(250));
        if let Some(before) = index.checked_sub(2) {
            simulation.restart(before);
        }
    }
    let refused = refused_per_mille(&simulation, begun_at, simulation.now);
    assert!(refused < 3, "{refused} of 1,000 were refused");
    assert_bound(&simulation);
}

// The load: a tenth of the hosts stand still for 3 s and wake up again.
// Guards against keepers that use expired leases when they wake.
#[test]
fn customers_lose_little_while_hosts_stand_still() {
    let mut simulation = usual_fleet(6);
    let begun_at = simulation.now;
    run_usual(&mut simulation, begun_at + seconds(5));
    let frozen_at = simulation.now;
    for index in 0..9 {
        simulation.hosts[index * 9].frozen_until = frozen_at + seconds(3);
    }
    run_usual(&mut simulation, frozen_at + seconds(8));
    let refused = refused_per_mille(&simulation, frozen_at, simulation.now);
    assert!(refused < 20, "{refused} of 1,000 were refused");
    assert_bound(&simulation);
}

// The load: a third of the hosts are cut off from the store and the others for 12 s, and go on
// serving.
// Guards against a quota that both sides use in full.
#[test]
fn the_bound_holds_while_a_third_of_the_hosts_is_cut_off() {
    let mut simulation = usual_fleet(7);
    let begun_at = simulation.now;
    run_usual(&mut simulation, begun_at + seconds(5));
    for cut in 0..30 {
        simulation.cut_from_store.insert(cut);
        for other in 30..86 {
            simulation.cut_links.insert((cut, other));
        }
    }
    let cut_at = simulation.now;
    while simulation.now < cut_at + seconds(12) {
        for name in usual_customers() {
            simulation.arrive_at_random(60, &name);
        }
        simulation.tick();
    }
    assert_bound(&simulation);
    for (name, counts) in &simulation.counts {
        let served = counts
            .admitted_at
            .iter()
            .filter(|at| **at >= cut_at)
            .count();
        assert!(served >= 16 * 12 * 9 / 10, "{name}: {served}");
    }
}

// Guards against a bucket that accrues beyond its burst, or loses fractions of a token.
#[test]
fn a_bucket_accrues_exactly_and_up_to_its_burst() {
    let limit = BucketLimit {
        rate_per_1000_s: 1_500,
        burst_per_mille: 3_000,
        start_credit_per_mille: 0,
    };
    let credit = StartCredit::default();
    let (whole, half) = (Share::of_one_host(1), Share::of_one_host(2));
    let mut bucket = TokenBucket::new(ShareTime::default());
    let mut held = ShareTime::default();
    for _ in 1..=2_000 {
        held = held.plus(whole, Duration::from_millis(1));
        bucket.refill(held, whole, credit, limit);
    }
    assert_eq!(bucket.take(10), 3);
    let next_in = bucket.next_token_in(whole, limit);
    assert_eq!(next_in, Duration::from_nanos(666_666_666));
    held = held.plus(whole, seconds(1_000));
    bucket.refill(held, half, credit, limit);
    assert_eq!(bucket.take(10), 1);
}

// Guards against buckets that exceed the bound together.
#[test]
fn the_buckets_fit_into_the_bound() {
    for (rate_per_s, burst, window_s) in [(1_000, 500, 5), (11, 1, 5), (100, 100, 1), (1, 1, 60)] {
        let bound = QuotaBound {
            window: seconds(window_s),
            ..QuotaBound::default()
        };
        let limit = limit(rate_per_s, burst);
        let buckets = bound.bucket_limit(limit);
        let granted_ms = window_s * 1_000 + 250;
        let at_once = buckets.burst_per_mille + buckets.start_credit_per_mille;
        let granted = buckets.rate_per_1000_s * granted_ms / 1_000_000 + at_once / 1_000;
        assert!(
            granted <= bound.max_operations(limit),
            "{limit:?}: {granted}"
        );
    }
    let nothing = bound_of_nothing();
    assert_eq!(nothing, BucketLimit::default());
}

fn bound_of_nothing() -> BucketLimit {
    QuotaBound::default().bucket_limit(limit(1_000, 0))
}
