//! Under overload, admission runs only requests that can finish in time, and callers share the
//! slots.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubehold_core::admission::{
    Admission, AdmissionRequest, AdmissionSettings, Admitted, OfferResult, RequestClass,
    SlotTarget, Ticket,
};
use jujubehold_core::prelude::*;

const SERVICE_TIME: Duration = Duration::from_millis(10);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn admission(slots: usize, queue: usize) -> Admission {
    Admission::new(AdmissionSettings {
        slots,
        queue,
        initial_service_time: SERVICE_TIME,
        ..AdmissionSettings::default()
    })
}

fn request(ticket: Ticket, caller: &str, class: RequestClass, due_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        ticket,
        caller: caller.into(),
        class,
        deadline: ms(due_ms),
    }
}

fn refusal(offered: &OfferResult) -> Option<RefusalReason> {
    offered
        .decision
        .as_ref()
        .err()
        .map(|refusal| refusal.reason)
}

#[test]
fn a_request_that_cannot_finish_in_time_is_refused_at_once_with_a_retry_delay() {
    let mut admission = admission(1, 64);
    for ticket in 0..5 {
        let offered = admission.offer(ms(0), request(ticket, "x", RequestClass::Write, 500));
        assert!(offered.decision.is_ok(), "{ticket}");
    }
    let offered = admission.offer(ms(0), request(9, "x", RequestClass::Write, 20));
    assert_eq!(refusal(&offered), Some(RefusalReason::DeadlineTooShort));
    let refusal = offered.decision.expect_err("the request is refused");
    assert_eq!(refusal.retry_after, Some(ms(50)));
}

#[test]
fn a_caller_with_few_requests_displaces_one_of_a_caller_with_many() {
    let mut admission = admission(1, 8);
    for ticket in 0..9 {
        let request = request(ticket, "greedy", RequestClass::Write, 5000);
        assert!(admission.offer(ms(0), request).decision.is_ok());
    }
    let offered = admission.offer(ms(0), request(50, "modest", RequestClass::Write, 5000));
    assert_eq!(offered.decision, Ok(Admitted::Wait));
    let displaced = offered.displaced.expect("the queue is full");
    assert_eq!(displaced.ticket, 8);
    assert_eq!(displaced.refusal.reason, RefusalReason::CallerOverShare);
    let released = admission.release(ms(10), 0);
    let next = admission.release(ms(20), released.started[0]);
    let first_two = [released.started[0], next.started[0]];
    assert!(first_two.contains(&50), "{first_two:?}");
}

#[test]
fn lookups_pass_a_long_queue_of_deferrable_writes() {
    let mut admission = admission(2, 200);
    for ticket in 0..100 {
        let request = request(ticket, "yard", RequestClass::Deferrable, 5000);
        assert!(admission.offer(ms(0), request).decision.is_ok());
    }
    assert_eq!(
        admission.running_count(),
        1,
        "one slot is left for other classes"
    );
    let offered = admission.offer(ms(1), request(500, "member", RequestClass::Lookup, 100));
    assert_eq!(offered.decision, Ok(Admitted::Start));
}

#[test]
fn a_request_that_waits_too_long_is_refused_and_the_queue_stays_bounded() {
    let mut admission = admission(1, 4);
    for ticket in 0..8 {
        admission.offer(ms(0), request(ticket, "x", RequestClass::Lookup, 100));
        assert!(admission.waiting_count() <= 4);
    }
    let due = admission.next_expiry().expect("four requests wait");
    let released = admission.tick(due);
    let expired: Vec<_> = released.expired.iter().map(|one| one.ticket).collect();
    assert_eq!(expired, [1, 2, 3, 4]);
    assert_eq!(admission.next_expiry(), None);
}

#[test]
fn an_offer_returns_when_a_waiting_request_expires() {
    let mut admission = admission(1, 4);
    let first = admission.offer(ms(0), request(0, "x", RequestClass::Write, 60_000));
    assert_eq!(first.expires_at, None);
    let soon = admission.offer(ms(0), request(1, "x", RequestClass::Write, 100));
    assert_eq!(soon.expires_at, Some(ms(90)));
    let late = admission.offer(ms(0), request(2, "x", RequestClass::Write, 60_000));
    let longest = AdmissionSettings::default().max_wait;
    assert_eq!(late.expires_at, Some(longest));
    let expired = admission.tick(longest).expired;
    assert_eq!(expired.len(), 2);
    assert!(expired.iter().all(|one| one.refusal.retry_after.is_some()));
}

#[test]
fn a_target_has_the_slots_of_the_instances_that_run_its_statements() {
    let instance = |state| InstanceConfig {
        address: ([127, 0, 0, 1], 5432).into(),
        domain: "delta".into(),
        region: "south".into(),
        state,
        connections: 20,
    };
    let active = instance(InstanceState::Active);
    let mut config = ServiceConfig {
        slots: 3,
        ..ServiceConfig::default()
    };
    config.instances.insert("a".into(), active.clone());
    let primary = Some(&"a".into());
    assert_eq!(SlotTarget::Readers.slots(&config, primary), 3);
    config.instances.insert("b".into(), active.clone());
    config.instances.insert("c".into(), active);
    let leaving = instance(InstanceState::Leaving);
    config.instances.insert("d".into(), leaving);
    assert_eq!(SlotTarget::Readers.slots(&config, primary), 6);
    assert_eq!(SlotTarget::Readers.slots(&config, None), 9);
    assert_eq!(SlotTarget::Primary.slots(&config, primary), 3);
    assert_eq!(SlotTarget::of(StatementClass::Read), SlotTarget::Readers);
    assert_eq!(SlotTarget::of(StatementClass::Begin), SlotTarget::Primary);
}

/// Offers `load_percent` of the requests that the slots can finish, and returns how many finished
/// in time and how many were refused, by reason.
fn goodput(load_percent: u64) -> (u64, BTreeMap<RefusalReason, u64>) {
    let mut admission = admission(3, 64);
    let mut due = BTreeMap::new();
    let mut ends = BTreeSet::new();
    let (mut in_time, mut refused) = (0, BTreeMap::new());
    // Three slots of 10 ms finish 300 requests a second.
    let gap_us = 1_000_000 * 100 / (300 * load_percent);
    for ticket in 0..(5_000_000 / gap_us) {
        let now = Duration::from_micros(ticket * gap_us);
        while let Some((end, ended)) = ends.first().copied() {
            if end > now {
                break;
            }
            ends.remove(&(end, ended));
            in_time += u64::from(due[&ended] >= end);
            for started in admission.release(end, ended).started {
                ends.insert((end + SERVICE_TIME, started));
            }
        }
        let caller = format!("c{}", ticket % 7);
        let deadline = now + ms(100);
        due.insert(ticket, deadline);
        let offered = admission.offer(
            now,
            AdmissionRequest {
                ticket,
                caller: caller.as_str().into(),
                class: RequestClass::Lookup,
                deadline,
            },
        );
        match offered.decision {
            Ok(Admitted::Start) => {
                ends.insert((now + SERVICE_TIME, ticket));
            }
            Ok(Admitted::Wait) => {}
            Err(refusal) => *refused.entry(refusal.reason).or_default() += 1,
        }
    }
    (in_time, refused)
}

#[test]
fn goodput_does_not_collapse_at_five_times_the_load() {
    let (at_capacity, _) = goodput(95);
    let (overloaded, refused) = goodput(500);
    assert!(
        overloaded * 100 >= at_capacity * 95,
        "{overloaded} of {at_capacity}; {refused:?}"
    );
}
