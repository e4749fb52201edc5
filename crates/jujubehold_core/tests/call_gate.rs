//! Tests how often a host calls a store that refuses its calls.

use std::time::Duration;

use jujubehold_core::call_gate::CallGate;
use jujubehold_core::ids::Monotonic;

/// The host's tasks that call the store: membership, leads, directory.
const TASKS: usize = 3;
const STEP: Duration = Duration::from_millis(10);

// The load: the store refuses a third of the hosts for 9 s. Guards against tasks that each try again
// on their own.
#[test]
fn the_tasks_of_a_refused_host_share_one_backoff() {
    let mut gate = CallGate::default();
    let mut calls = 0;
    let mut now = Monotonic::ZERO;
    while now < Duration::from_secs(9) {
        for _ in 0..TASKS {
            if gate.admit(now, u64::MAX / 2).is_ok() {
                gate.note_failed(now, u64::MAX / 2);
                calls += 1;
            }
        }
        now += STEP;
    }
    assert!((10..=30).contains(&calls), "{calls} calls");
}

#[test]
fn all_tasks_go_on_after_the_first_answer() {
    let mut gate = CallGate::default();
    let now = Duration::from_secs(1);
    gate.note_failed(now, 0);
    assert!(gate.admit(now, 0).is_err());
    let next_call_at = gate.admit(now, 0).unwrap_err();
    assert!(next_call_at <= now + Duration::from_millis(200));
    assert_eq!(gate.admit(next_call_at, 0), Ok(()));
    assert!(gate.admit(next_call_at, 0).is_err());
    gate.note_answered();
    for _ in 0..TASKS {
        assert_eq!(gate.admit(next_call_at, 0), Ok(()));
    }
}
