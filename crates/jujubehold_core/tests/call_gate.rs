//! Tests how often a host calls a store that refuses its calls.

use std::time::Duration;

use jujubehold_core::call_gate::{CallGate, CallKind};
use jujubehold_core::ids::Monotonic;

/// The calls of the host's tasks: membership, leads, directory.
const CALLS: [CallKind; 3] = [CallKind::Write, CallKind::Read, CallKind::Read];
const STEP: Duration = Duration::from_millis(10);

// The load: the store refuses a third of the hosts for 9 s. Guards against tasks that each try again
// on their own.
#[test]
fn the_tasks_of_a_refused_host_share_one_backoff() {
    let mut gate = CallGate::default();
    let mut calls = 0;
    let mut now = Monotonic::ZERO;
    while now < Duration::from_secs(9) {
        for kind in CALLS {
            if gate.admit(kind, now, u64::MAX / 2).is_ok() {
                gate.note_failed(kind, now, u64::MAX / 2);
                calls += 1;
            }
        }
        now += STEP;
    }
    assert!((10..=30).contains(&calls), "{calls} calls");
}

#[test]
fn all_tasks_go_on_after_the_first_answer() {
    for kind in CALLS {
        let mut gate = CallGate::default();
        let now = Duration::from_secs(1);
        gate.note_failed(kind, now, 0);
        assert!(gate.admit(kind, now, 0).is_err());
        let next_call_at = gate.admit(kind, now, 0).unwrap_err();
        assert!(next_call_at <= now + Duration::from_millis(200));
        assert_eq!(gate.admit(kind, next_call_at, 0), Ok(()));
        assert!(gate.admit(kind, next_call_at, 0).is_err());
        gate.note_answered();
        for other in CALLS {
            assert_eq!(gate.admit(other, next_call_at, 0), Ok(()));
        }
    }
}

// The load: the store loses the answers to a host's writes and answers its reads. Guards against a
// configuration that takes effect late because writes fail.
#[test]
fn writes_that_fail_delay_no_read() {
    let mut gate = CallGate::default();
    let mut now = Monotonic::ZERO;
    while now < Duration::from_secs(9) {
        gate.note_failed(CallKind::Write, now, u64::MAX);
        assert_eq!(gate.admit(CallKind::Read, now, u64::MAX), Ok(()));
        now += STEP;
    }
    assert!(gate.admit(CallKind::Write, Monotonic::ZERO, 0).is_err());
}
