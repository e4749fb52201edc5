//! Waiting, placement and refusal of requests on an entry host under load.

use std::time::Duration;

use jujubehold_core::connection_limit::ConnectionLimit;
use jujubehold_core::connection_queue::{ConnectionQueue, ConnectionRequest};
use jujubehold_core::connection_share::ConnectionShare;
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::ownership::mix;
use jujubehold_core::prelude::*;
use jujubehold_core::primary_positions::PrimaryPositions;
use jujubehold_core::read_floor::{Consistency, ReadFloor, read_floor};
use jujubehold_core::read_placement::{PlacementOption, ReadPlacementSettings, placement_order};
use jujubehold_core::replica_lag::ReplicaLag;
use jujubehold_core::upstream_health::UpstreamHealth;
use jujubehold_core::use_interval::UseInterval;
use jujubehold_core::wait_policy::WaitPolicy;

fn ms(value: u64) -> Monotonic {
    Duration::from_millis(value)
}

fn option(
    instance: &str,
    is_primary: bool,
    is_same_domain: bool,
    answer_ms: u64,
) -> PlacementOption {
    let mut health = UpstreamHealth::default();
    health.note_answer(ms(1_000), ms(answer_ms));
    PlacementOption {
        instance: instance.into(),
        is_primary,
        is_same_domain,
        in_flight: 0,
        slots: 3,
        wait: Duration::ZERO,
        health,
    }
}

fn order(options: Vec<PlacementOption>) -> Vec<String> {
    let order = placement_order(&ReadPlacementSettings::default(), ms(1_000), options);
    order.iter().map(|(id, _)| id.to_string()).collect()
}

#[test]
fn the_replica_in_the_same_domain_comes_first_and_the_primary_last() {
    let options = vec![
        option("primary", true, false, 50),
        option("far", false, false, 50),
        option("near", false, true, 10),
    ];
    assert_eq!(order(options), ["near", "far", "primary"]);
}

#[test]
fn a_replica_in_the_same_domain_with_a_long_queue_comes_last() {
    let mut near = option("near", false, true, 40);
    near.in_flight = 9;
    let options = vec![near, option("far", false, false, 80)];
    assert_eq!(order(options), ["far", "near"]);
}

#[test]
fn a_silent_replica_is_left_out() {
    let mut near = option("near", false, true, 10);
    near.health.note_silent(ms(1_000), ms(1_000));
    let options = vec![near, option("primary", true, false, 50)];
    assert_eq!(order(options), ["primary"]);
}

#[test]
fn a_read_waits_for_a_replica_that_catches_up_soon_when_the_primary_has_a_queue() {
    let mut near = option("near", false, true, 10);
    near.wait = ms(100);
    let mut primary = option("primary", true, false, 30);
    assert_eq!(
        order(vec![near.clone(), primary.clone()]),
        ["primary", "near"]
    );
    primary.in_flight = 12;
    assert_eq!(order(vec![near, primary]), ["near", "primary"]);
}

fn at(position: u64) -> LogPosition {
    LogPosition { term: 3, position }
}

fn positions_each_100_ms() -> PrimaryPositions {
    let mut positions = PrimaryPositions::default();
    for step in 0..30 {
        positions.add(3, ms(1_000 + step * 100), 10 + step);
    }
    positions
}

// Guards against reads that needlessly avoid lagging replicas. Both replicas of a database lagged
// by 1.2 s; after each read that needed newer data, reads that accept data 2.5 s old went to the
// primary for up to 1.6 s and filled its queue.
#[test]
fn a_replica_that_lags_too_far_for_one_read_serves_another() {
    let positions = positions_each_100_ms();
    let mut lag = ReplicaLag::default();
    // At 3.0 s the replica has the position that the primary passed at 1.8 s.
    lag.note(ms(3_010), ms(3_000), at(17), &positions);
    lag.note_lacked(at(25));
    assert_eq!(lag.expected_wait(ms(3_020), at(17), &positions), ms(0));
    // The primary reached position 20 at 2.0 s, so the replica is expected to have it at 3.2 s.
    assert_eq!(lag.expected_wait(ms(3_020), at(20), &positions), ms(180));
    assert_eq!(lag.expected_wait(ms(3_250), at(20), &positions), ms(0));
    assert!(lag.expected_wait(ms(3_020), at(25), &positions) > ms(600));
}

#[test]
fn an_outdated_lag_estimate_lets_one_read_try_the_replica() {
    let positions = positions_each_100_ms();
    let mut lag = ReplicaLag::default();
    lag.note(ms(2_010), ms(2_000), at(11), &positions);
    assert!(lag.expected_wait(ms(2_400), at(22), &positions) > ms(0));
    assert_eq!(lag.expected_wait(ms(2_600), at(22), &positions), ms(0));
    lag.begin_trial(ms(2_600));
    assert!(lag.expected_wait(ms(2_600), at(22), &positions) > ms(0));
}

#[test]
fn a_read_does_not_wait_for_an_up_to_date_replica() {
    let positions = positions_each_100_ms();
    let mut lag = ReplicaLag::default();
    lag.note(ms(3_960), ms(3_950), at(39), &positions);
    assert_eq!(lag.expected_wait(ms(3_970), at(39), &positions), ms(0));
}

#[test]
fn an_answer_after_the_request_began_shows_that_the_instance_is_alive() {
    let mut health = UpstreamHealth::default();
    health.note_answer(ms(2_000), ms(20));
    health.note_silent(ms(2_100), ms(1_900));
    assert_eq!(health.silent_since(), None);
    health.note_silent(ms(2_600), ms(2_050));
    assert_eq!(health.silent_since(), Some(ms(2_050)));
}

#[test]
fn a_free_connection_goes_to_the_highest_priority_that_has_not_expired() {
    let mut queue = ConnectionQueue::default();
    let request = |ticket, priority, give_up_ms| ConnectionRequest {
        ticket,
        priority,
        customer: None,
        asked_at: ms(ticket),
        give_up_at: ms(give_up_ms),
    };
    queue.push(&request(1, 2, 500));
    queue.push(&request(2, 1, 100));
    queue.push(&request(3, 1, 500));
    assert_eq!(queue.pop(ms(200)), Some(3));
    assert_eq!(queue.pop(ms(200)), Some(1));
    assert_eq!(queue.pop(ms(200)), None);
}

#[test]
fn the_expected_wait_grows_with_the_queue_and_the_hold_time_of_connections() {
    let mut queue = ConnectionQueue::default();
    queue.note_held(ms(300));
    assert_eq!(queue.expected_wait(1, None, 3), ms(100));
    for ticket in 0..5 {
        queue.push(&ConnectionRequest {
            ticket,
            priority: 1,
            customer: None,
            asked_at: ms(ticket),
            give_up_at: ms(1_000),
        });
    }
    assert_eq!(queue.expected_wait(1, None, 3), ms(600));
    assert_eq!(queue.expected_wait(0, None, 3), ms(100));
}

#[test]
fn a_request_that_cannot_be_served_soon_is_not_worth_waiting_for() {
    let policy = WaitPolicy::default();
    let give_up_at = policy.give_up_at(ms(1_000), ms(1_000));
    assert!(policy.is_worth_waiting(ms(1_000), give_up_at, ms(200)));
    assert!(!policy.is_worth_waiting(ms(1_000), give_up_at, ms(300)));
    let refusal = policy.refuse(RefusalReason::QueueFull, ms(300));
    assert_eq!(refusal.retry_after, Some(ms(300)));
}

#[test]
fn a_bounded_read_needs_the_oldest_sample_within_its_age() {
    let mut positions = PrimaryPositions::default();
    positions.add(3, ms(1_000), 10);
    positions.add(3, ms(1_600), 20);
    positions.add(3, ms(2_200), 30);
    let bounded = Consistency::BoundedStaleness(ms(1_000));
    let floor = |began_ms| read_floor(bounded, &positions, None, ms(began_ms));
    let at = |position| ReadFloor::AtLeast(LogPosition { term: 3, position });
    assert_eq!(floor(2_400), at(20));
    assert_eq!(floor(2_700), at(30));
    assert_eq!(floor(3_300), ReadFloor::NeedsNewerSample);
}

#[test]
fn a_sessions_own_floor_counts_until_the_primary_changes() {
    let mut positions = PrimaryPositions::default();
    positions.add(3, ms(1_000), 10);
    let own = Some(LogPosition {
        term: 3,
        position: 17,
    });
    let kind = Consistency::ReadYourWrites(ms(2_000));
    let at = |term, position| ReadFloor::AtLeast(LogPosition { term, position });
    assert_eq!(read_floor(kind, &positions, own, ms(1_100)), at(3, 17));
    positions.add(4, ms(1_200), 12);
    assert_eq!(read_floor(kind, &positions, own, ms(1_300)), at(4, 12));
}

#[test]
fn a_read_with_primary_consistency_runs_only_on_the_primary() {
    let positions = PrimaryPositions::default();
    let floor = read_floor(Consistency::Primary, &positions, None, ms(1_000));
    assert_eq!(floor, ReadFloor::PrimaryOnly);
}

// Guards against idle connections that starve a busy host. A primary had 21 open connections, 15 of
// them idle on hosts with few callers, while it refused the host with the most callers.
#[test]
fn hosts_with_few_callers_leave_room_for_a_busy_one() {
    let (max, hosts) = (21, 6);
    let share = ConnectionShare::new(max, hosts);
    let idle_long = ms(500);
    let unused = (0..share.limit).filter(|rank| !share.is_idle_too_long(*rank, idle_long, None));
    let idle_on_others = unused.count() * (hosts - 1);
    assert!(idle_on_others + share.limit <= max, "{share:?}");
}

#[test]
fn an_idle_connection_is_kept_through_short_pauses() {
    let share = ConnectionShare::new(43, 8);
    assert!(!share.is_idle_too_long(5, ms(100), None));
    assert!(share.is_idle_too_long(5, ms(200), None));
    assert!(!share.is_idle_too_long(0, ms(1_000), None));
    assert!(share.is_idle_too_long(0, ms(2_000), None));
}

// Guards against idle connections that use up an instance's limit. With 74 hosts and instances that
// accept 61 connections, each host kept one idle for 1.5 s and one to the primary without a time
// limit, so four of five connections were refused.
#[test]
fn hosts_that_outnumber_the_connections_keep_few_of_them_idle() {
    let (max, hosts) = (61, 74);
    let share = ConnectionShare::new(max, hosts);
    assert!(!share.may_keep_one, "{share:?}");
    // Each host sends the instance about one request a second, at different moments.
    let between_requests = ms(1_000);
    let idle_time_us = share.idle_timeout.as_micros() * hosts as u128;
    let unused = idle_time_us / between_requests.as_micros();
    assert!(unused <= max as u128 / 2, "{unused} unused, {share:?}");
    // Several callers of one host can still run transactions at the same time.
    assert!(share.limit >= 6, "{share:?}");
}

// Replays the load of 295 hosts that each send an instance a request about every five seconds. They
// closed each connection before its next use, so nearly every request opened one and waited for two
// round trips more.
#[test]
fn hosts_that_rarely_use_an_instance_reuse_connections_within_its_limit() {
    let (max, hosts) = (173, 295);
    let share = ConnectionShare::new(max, hosts);
    let mut random = 1_u64;
    let (mut uses, mut reuses, mut idle_steps) = (0, 0, 0);
    for _ in 0..hosts {
        let mut interval = UseInterval::default();
        let mut used_at = 0;
        // Each step of 50 ms has a use with the same probability.
        for step in 1..=STEPS {
            let now = step * 50;
            random = mix(random.wrapping_add(0x9e37_79b9_7f4a_7c15));
            let idle = ms(now - used_at);
            let is_kept = used_at > 0 && !share.is_idle_too_long(0, idle, interval.mean());
            idle_steps += u64::from(is_kept);
            if random.is_multiple_of(100) {
                uses += 1;
                reuses += u64::from(is_kept);
                interval.note_use(ms(now));
                used_at = now;
            }
        }
    }
    let idle_connections = idle_steps / STEPS;
    assert!(idle_connections <= max as u64 / 2, "{idle_connections}");
    assert!(reuses * 5 >= uses, "{reuses} of {uses}");
}

/// The number of steps of 50 ms in the replay of rare uses.
const STEPS: u64 = 10_000;

#[test]
fn few_hosts_keep_one_connection_to_the_primary() {
    let share = ConnectionShare::new(21, 9);
    assert!(share.may_keep_one);
    assert_eq!(share.idle_timeout, ms(1_500));
}

// Guards against a burst of connection attempts. When 78 hosts came back at once, each opened eight
// connections to an instance with three slots; at 12 ms of a slot each, that took two seconds.
#[test]
fn few_connections_are_opened_at_a_time() {
    let mut limit = ConnectionLimit::new(8);
    let mut opened = 0;
    while limit.has_room(ms(0)) {
        limit.begin_opening();
        opened += 1;
    }
    assert_eq!(opened, 2);
    limit.end_opening();
    assert!(limit.has_room(ms(0)));
}

#[test]
fn a_refused_connection_cuts_the_limit_which_rises_step_by_step() {
    let mut limit = ConnectionLimit::new(8);
    for _ in 0..4 {
        limit.begin_opening();
        limit.end_opening();
    }
    limit.begin_opening();
    limit.note_refused(ms(1_000));
    limit.end_opening();
    limit.note_closed(1);
    assert_eq!(limit.open_count(), 4);
    assert!(!limit.has_room(ms(1_100)));
    limit.raise(ms(1_200), 8);
    assert!(!limit.has_room(ms(1_200)));
    limit.raise(ms(1_300), 8);
    assert!(limit.has_room(ms(1_300)));
}

// Guards against hosts that keep their concurrency when an instance is busy. In the same incident
// the instances' queues were full, and each host still ran as many requests at once as before; the
// busy answers reached callers that had no attempts left.
#[test]
fn a_busy_instance_cuts_the_limit_below_the_connections_in_use() {
    let mut limit = ConnectionLimit::new(8);
    for _ in 0..6 {
        limit.begin_opening();
        limit.end_opening();
    }
    limit.note_busy(ms(1_000), 1);
    // Five connections were in use, so four are allowed now.
    assert!(limit.is_exceeded());
    limit.note_busy(ms(1_010), 1);
    limit.note_closed(2);
    assert!(!limit.is_exceeded());
    assert!(!limit.has_room(ms(1_200)));
    // The limit never drops to zero.
    limit.note_closed(4);
    limit.note_busy(ms(2_000), 0);
    assert!(limit.has_room(ms(2_000)));
}
