//! Tests that a failed primary is replaced and that a living one is not.

mod support;

use std::time::Duration;

use jujubehold_core::failover::{Failover, FailoverSettings};
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::{FailoverEvent, RecordOutcome};
use jujubehold_core::ownership::Watcher;

use support::{config, ms, status};

/// Feeds a probe result of each instance every 100 ms, from `from_ms` to `until_ms`: two replicas
/// answer and the primary does not.
fn run_with_silent_primary(
    failover: &mut Failover,
    from_ms: u64,
    until_ms: u64,
) -> Vec<FailoverAction> {
    let mut actions = Vec::new();
    for at_ms in (from_ms..=until_ms).step_by(100) {
        let now = ms(at_ms);
        for (name, answer) in [
            ("a", None),
            ("b", Some(status("b", "replica", 1, 10, "1:0"))),
            ("c", Some(status("c", "replica", 1, 10, "1:0"))),
        ] {
            actions.extend(failover.on_event(
                now,
                FailoverEvent::Probed {
                    instance: name.into(),
                    sent_at: now,
                    status: answer,
                },
            ));
        }
    }
    actions
}

fn failover_with_two_watchers() -> Failover {
    let settings = FailoverSettings::default();
    let mut failover = Failover::new(settings, &config(), "h1".into(), "delta".into(), 7);
    failover.set_watchers(vec![
        Watcher {
            host: "h1".into(),
            domain: "delta".into(),
        },
        Watcher {
            host: "h2".into(),
            domain: "gulf".into(),
        },
    ]);
    failover.on_event(
        ms(0),
        FailoverEvent::Probed {
            instance: "a".into(),
            sent_at: ms(0),
            status: Some(status("a", "primary", 1, 10, "1:0")),
        },
    );
    failover
}

fn suspicion(domain: &str) -> FailoverEvent {
    FailoverEvent::SuspicionReceived {
        host: "h2".into(),
        domain: domain.into(),
        term: 1,
    }
}

fn has_record(actions: &[FailoverAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, FailoverAction::Record { .. }))
}

#[test]
fn a_single_host_starts_no_attempt_without_a_second_suspicion() {
    let mut failover = failover_with_two_watchers();
    failover.on_event(ms(10), suspicion("gulf"));
    let actions = run_with_silent_primary(&mut failover, 100, 3000);
    assert!(actions.contains(&FailoverAction::ShareSuspicion { term: 1 }));
    // The other host's suspicion from 10 ms has expired by the time this host has its own.
    assert!(!has_record(&run_with_silent_primary(
        &mut failover,
        3100,
        4000
    )));
}

#[test]
fn a_suspicion_from_a_second_domain_completes_the_quorum() {
    let mut failover = failover_with_two_watchers();
    run_with_silent_primary(&mut failover, 100, 800);
    let actions = failover.on_event(ms(810), suspicion("gulf"));
    let nonce = actions.iter().find_map(|action| match action {
        FailoverAction::Record { term: 2, nonce } => Some(*nonce),
        _ => None,
    });
    let nonce = nonce.expect("the attempt is recorded first");
    let actions = failover.on_event(
        ms(820),
        FailoverEvent::Recorded {
            term: 2,
            outcome: RecordOutcome::Unavailable,
        },
    );
    let fences = actions
        .iter()
        .filter(|action| matches!(action, FailoverAction::Fence { term: 2, .. }));
    assert_eq!(fences.count(), 3);
    for (name, received) in [("b", 10), ("c", 12)] {
        let mut granted = status(name, "replica", 1, received, "1:0");
        granted.fence_term = 2;
        granted.fence_nonce = nonce;
        failover.on_event(
            ms(830),
            FailoverEvent::Fenced {
                instance: name.into(),
                term: 2,
                nonce,
                status: Some(granted),
            },
        );
    }
    let promote = FailoverAction::Promote {
        instance: "c".into(),
        term: 2,
        nonce,
    };
    let early = failover.on_event(ms(1240), FailoverEvent::Tick);
    assert!(!early.contains(&promote), "a window may still be open");
    let actions = failover.on_event(ms(1251), FailoverEvent::Tick);
    assert!(actions.contains(&promote), "{actions:?}");
    let mut promoted = status("c", "primary", 2, 12, "1:0,2:12");
    promoted.fence_term = 2;
    promoted.fence_nonce = nonce;
    let actions = failover.on_event(
        ms(1260),
        FailoverEvent::Promoted {
            instance: "c".into(),
            term: 2,
            status: Some(promoted),
        },
    );
    assert!(actions.contains(&FailoverAction::Announce {
        term: 2,
        primary: "c".into()
    }));
    assert_eq!(failover.view().primary.as_deref(), Some("c"));
    let phases = failover.phases().expect("this host completed the failover");
    assert_eq!(phases.wait, Duration::from_millis(421));
}

#[test]
fn a_host_does_not_suspect_the_primary_after_its_own_pause() {
    let mut failover = failover_with_two_watchers();
    run_with_silent_primary(&mut failover, 100, 400);
    failover.on_event(ms(9000), suspicion("gulf"));
    let actions = failover.on_event(
        ms(9001),
        FailoverEvent::Probed {
            instance: "a".into(),
            sent_at: ms(400),
            status: None,
        },
    );
    assert!(!has_record(&actions));
    assert!(!failover.is_suspecting(ms(9001)));
}

#[test]
fn a_host_that_reaches_the_primary_answers_a_suspicion() {
    let mut failover = failover_with_two_watchers();
    let actions = failover.on_event(ms(50), suspicion("gulf"));
    assert!(actions.contains(&FailoverAction::ShareLiveness { term: 1 }));
}

#[test]
fn an_old_primary_that_comes_back_follows_the_new_one() {
    let mut failover = failover_with_two_watchers();
    failover.on_event(
        ms(60),
        FailoverEvent::Announced {
            term: 2,
            primary: "b".into(),
        },
    );
    let actions = failover.on_event(
        ms(70),
        FailoverEvent::Probed {
            instance: "a".into(),
            sent_at: ms(65),
            status: Some(status("a", "primary", 1, 14, "1:0")),
        },
    );
    assert!(actions.contains(&FailoverAction::Follow {
        instance: "a".into(),
        primary: "b".into(),
        term: 2
    }));
}

#[test]
fn a_primary_whose_replicas_were_left_fenced_is_suspected() {
    let mut failover = failover_with_two_watchers();
    for at_ms in (100..=900).step_by(100) {
        let now = ms(at_ms);
        for name in ["a", "b", "c"] {
            let role = if name == "a" { "primary" } else { "replica" };
            let mut answer = status(name, role, 1, 10, "1:0");
            if name != "a" {
                answer.fence_term = 2;
                answer.fence_nonce = 99;
            }
            failover.on_event(
                now,
                FailoverEvent::Probed {
                    instance: name.into(),
                    sent_at: now,
                    status: Some(answer),
                },
            );
        }
    }
    assert!(failover.is_suspecting(ms(900)));
}

#[test]
fn a_primary_that_lost_its_log_is_rejected() {
    let mut failover = failover_with_two_watchers();
    for at_ms in (100..=2000).step_by(100) {
        let now = ms(at_ms);
        failover.on_event(
            now,
            FailoverEvent::Probed {
                instance: "a".into(),
                sent_at: now,
                status: Some(status("a", "primary", 1, 2, "1:0")),
            },
        );
    }
    assert_eq!(failover.view().primary, None);
    assert!(failover.is_suspecting(ms(2000)));
}
