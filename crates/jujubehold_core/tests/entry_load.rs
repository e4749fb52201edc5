//! What waits, is placed and is refused under load on an entry host.

use std::time::Duration;

use jujubehold_core::connection_limit::ConnectionLimit;
use jujubehold_core::connection_queue::{ConnectionQueue, ConnectionRequest};
use jujubehold_core::connection_share::ConnectionShare;
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::primary_positions::PrimaryPositions;
use jujubehold_core::read_floor::{Consistency, ReadFloor, read_floor};
use jujubehold_core::read_placement::{PlacementOption, ReadPlacementSettings, placement_order};
use jujubehold_core::replica_lag::ReplicaLag;
use jujubehold_core::upstream_health::UpstreamHealth;
use jujubehold_core::wait_policy::WaitPolicy;

fn ms(value: u64) -> Monotonic {
    Duration::from_millis(value)
}

fn option(instance: &str, is_primary: bool, is_near: bool, answer_ms: u64) -> PlacementOption {
    let mut health = UpstreamHealth::default();
    health.note_answer(ms(1_000), ms(answer_ms));
    PlacementOption {
        instance: instance.into(),
        is_primary,
        is_near,
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
fn the_near_replica_comes_first_and_the_primary_last() {
    let options = vec![
        option("primary", true, false, 50),
        option("far", false, false, 50),
        option("near", false, true, 10),
    ];
    assert_eq!(order(options), ["near", "far", "primary"]);
}

#[test]
fn a_near_replica_with_a_long_queue_gives_way() {
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
fn a_replica_that_is_in_time_soon_is_waited_for_when_the_primary_has_a_queue() {
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

fn marks_each_100_ms() -> PrimaryPositions {
    let mut marks = PrimaryPositions::default();
    for step in 0..30 {
        marks.add(3, ms(1_000 + step * 100), 10 + step);
    }
    marks
}

// The day that showed it: both replicas of one database were 1.2 s late. Reads that may be 2.5 s old
// went to the primary for up to 1.6 s after each one that had needed more, and filled its queue.
#[test]
fn a_replica_that_is_late_for_one_read_is_in_time_for_another() {
    let marks = marks_each_100_ms();
    let mut lag = ReplicaLag::default();
    // At 3.0 s it has what the primary passed at 1.8 s.
    lag.note(ms(3_010), ms(3_000), at(17), &marks);
    lag.note_lacked(at(25));
    assert_eq!(lag.expected_wait(ms(3_020), at(17), &marks), ms(0));
    // The primary reached 20 at 2.0 s, so that the replica has it at 3.2 s.
    assert_eq!(lag.expected_wait(ms(3_020), at(20), &marks), ms(180));
    assert_eq!(lag.expected_wait(ms(3_250), at(20), &marks), ms(0));
    assert!(lag.expected_wait(ms(3_020), at(25), &marks) > ms(600));
}

#[test]
fn an_old_estimate_lets_one_read_try() {
    let marks = marks_each_100_ms();
    let mut lag = ReplicaLag::default();
    lag.note(ms(2_010), ms(2_000), at(11), &marks);
    assert!(lag.expected_wait(ms(2_400), at(22), &marks) > ms(0));
    assert_eq!(lag.expected_wait(ms(2_600), at(22), &marks), ms(0));
    lag.begin_trial(ms(2_600));
    assert!(lag.expected_wait(ms(2_600), at(22), &marks) > ms(0));
}

#[test]
fn a_replica_that_has_all_is_not_waited_for() {
    let marks = marks_each_100_ms();
    let mut lag = ReplicaLag::default();
    lag.note(ms(3_960), ms(3_950), at(39), &marks);
    assert_eq!(lag.expected_wait(ms(3_970), at(39), &marks), ms(0));
}

#[test]
fn an_answer_to_a_later_request_is_a_sign_of_life() {
    let mut health = UpstreamHealth::default();
    health.note_answer(ms(2_000), ms(20));
    health.note_silent(ms(2_100), ms(1_900));
    assert_eq!(health.silent_since(), None);
    health.note_silent(ms(2_600), ms(2_050));
    assert_eq!(health.silent_since(), Some(ms(2_050)));
}

#[test]
fn a_free_connection_goes_to_the_highest_priority_that_is_in_time() {
    let mut queue = ConnectionQueue::default();
    let request = |ticket, priority, give_up_ms| ConnectionRequest {
        ticket,
        priority,
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
fn the_expected_wait_grows_with_the_queue_and_the_time_that_connections_are_held() {
    let mut queue = ConnectionQueue::default();
    queue.note_held(ms(300));
    assert_eq!(queue.expected_wait(1, 3), ms(100));
    for ticket in 0..5 {
        queue.push(&ConnectionRequest {
            ticket,
            priority: 1,
            asked_at: ms(ticket),
            give_up_at: ms(1_000),
        });
    }
    assert_eq!(queue.expected_wait(1, 3), ms(600));
    assert_eq!(queue.expected_wait(0, 3), ms(100));
}

#[test]
fn what_can_not_be_served_soon_is_refused_at_once() {
    let policy = WaitPolicy::default();
    let give_up_at = policy.give_up_at(ms(1_000), ms(1_000));
    assert!(policy.is_worth_waiting(ms(1_000), give_up_at, ms(200)));
    assert!(!policy.is_worth_waiting(ms(1_000), give_up_at, ms(300)));
    let refusal = policy.refuse(RefusalReason::QueueFull, ms(300));
    assert_eq!(refusal.retry_after, Some(ms(300)));
}

#[test]
fn a_bounded_read_needs_the_oldest_position_that_is_young_enough() {
    let mut marks = PrimaryPositions::default();
    marks.add(3, ms(1_000), 10);
    marks.add(3, ms(1_600), 20);
    marks.add(3, ms(2_200), 30);
    let bounded = Consistency::BoundedStaleness(ms(1_000));
    let floor = |began_ms| read_floor(bounded, &marks, None, ms(began_ms));
    let at = |position| ReadFloor::AtLeast(LogPosition { term: 3, position });
    assert_eq!(floor(2_400), at(20));
    assert_eq!(floor(2_700), at(30));
    assert_eq!(floor(3_300), ReadFloor::NeedsMark);
}

#[test]
fn a_session_sees_its_own_commits_until_a_change_of_primary_settles_them() {
    let mut marks = PrimaryPositions::default();
    marks.add(3, ms(1_000), 10);
    let own = Some(LogPosition {
        term: 3,
        position: 17,
    });
    let kind = Consistency::ReadYourWrites(ms(2_000));
    let at = |term, position| ReadFloor::AtLeast(LogPosition { term, position });
    assert_eq!(read_floor(kind, &marks, own, ms(1_100)), at(3, 17));
    marks.add(4, ms(1_200), 12);
    assert_eq!(read_floor(kind, &marks, own, ms(1_300)), at(4, 12));
}

#[test]
fn a_read_of_the_newest_data_goes_to_the_primary_alone() {
    let marks = PrimaryPositions::default();
    let floor = read_floor(Consistency::Primary, &marks, None, ms(1_000));
    assert_eq!(floor, ReadFloor::PrimaryOnly);
}

// The day that showed it: 21 connections of a primary were open, 15 of them unused by hosts with few
// callers, while the host with most callers was refused.
#[test]
fn hosts_with_few_callers_leave_room_for_the_busy_one() {
    let (max, hosts) = (21, 6);
    let share = ConnectionShare::new(max, hosts);
    let idle_long = ms(500);
    let unused = (0..share.limit).filter(|rank| !share.is_spare(*rank, idle_long));
    let kept_by_others = unused.count() * (hosts - 1);
    assert!(kept_by_others + share.limit <= max, "{share:?}");
}

#[test]
fn a_connection_is_kept_through_short_pauses() {
    let share = ConnectionShare::new(43, 8);
    assert!(!share.is_spare(5, ms(100)));
    assert!(share.is_spare(5, ms(200)));
    assert!(!share.is_spare(0, ms(1_000)));
    assert!(share.is_spare(0, ms(2_000)));
}

// The day that showed it: 74 hosts before instances that take 61 connections. Each host kept one
// unused for 1.5 s and one to the primary for good, so that four of five connections were refused.
#[test]
fn hosts_that_outnumber_the_connections_leave_most_of_them_free() {
    let (max, hosts) = (61, 74);
    let share = ConnectionShare::new(max, hosts);
    assert!(!share.may_keep_one, "{share:?}");
    // Each host asks the instance about once a second, each at another moment.
    let between_requests = ms(1_000);
    let kept_for = share.allowed_idle.as_micros() * hosts as u128;
    let unused = kept_for / between_requests.as_micros();
    assert!(unused <= max as u128 / 2, "{unused} unused, {share:?}");
    // Transactions of several callers of one host still go on side by side.
    assert!(share.limit >= 6, "{share:?}");
}

#[test]
fn few_hosts_keep_one_connection_to_the_primary() {
    let share = ConnectionShare::new(21, 9);
    assert!(share.may_keep_one);
    assert_eq!(share.allowed_idle, ms(1_500));
}

// The day that showed it: 78 hosts came back at once and each opened eight connections to an instance
// with three slots, each of which takes a slot for 12 ms: two seconds of them.
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

// The same day: the instances' queues were full, and each host went on with as many requests side by
// side as before, whose answers 'busy' went to callers that had no more tries.
#[test]
fn a_busy_instance_gets_less_side_by_side() {
    let mut limit = ConnectionLimit::new(8);
    for _ in 0..6 {
        limit.begin_opening();
        limit.end_opening();
    }
    limit.note_busy(ms(1_000), 1);
    // Five were in use, so that four may be.
    assert!(limit.is_exceeded());
    limit.note_busy(ms(1_010), 1);
    limit.note_closed(2);
    assert!(!limit.is_exceeded());
    assert!(!limit.has_room(ms(1_200)));
    // It never ends at none.
    limit.note_closed(4);
    limit.note_busy(ms(2_000), 0);
    assert!(limit.has_room(ms(2_000)));
}
