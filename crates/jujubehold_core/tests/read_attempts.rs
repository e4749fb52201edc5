//! A read tries other instances within the retry budget, and is refused for the right reason.

use jujubehold_core::prelude::*;
use jujubehold_core::read_attempts::{ReadAttempts, ReadStep};

const BEHIND: RetryReason = RetryReason::ReplicaBehind;

/// Returns all steps of a read whose attempts all fail with `failed`, with `budget` retries left.
fn steps(candidates: &[&str], failed: RetryReason, mut budget: u32) -> String {
    let candidates = candidates.iter().map(|&name| name.into()).collect();
    let mut attempts = ReadAttempts::new(candidates, Some("a".into()));
    let mut step = attempts.first();
    let mut words = Vec::new();
    loop {
        match &step {
            ReadStep::Try(instance) => words.push(instance.to_string()),
            ReadStep::TryAgain(instance, pause) => {
                words.push(format!("{instance}+{}ms", pause.as_millis()));
            }
            ReadStep::Refuse(reason) => {
                words.push(reason.as_str().to_owned());
                return words.join(" ");
            }
        }
        step = attempts.next(failed, || {
            let has_retry = budget > 0;
            budget = budget.saturating_sub(1);
            has_retry
        });
    }
}

#[test]
fn a_replica_that_is_behind_is_retried_before_the_primary() {
    assert_eq!(
        steps(&["b", "a", "c"], BEHIND, 9),
        "b b+1ms b+2ms b+4ms a c no_fresh_replica"
    );
}

#[test]
fn a_read_takes_each_pause_once_over_all_replicas() {
    assert_eq!(
        steps(&["b", "c", "a"], BEHIND, 9),
        "b b+1ms b+2ms b+4ms c a no_fresh_replica"
    );
}

#[test]
fn no_replica_is_retried_after_the_primary() {
    assert_eq!(steps(&["a", "b"], BEHIND, 9), "a b no_fresh_replica");
}

#[test]
fn without_a_budget_a_read_that_a_replica_cannot_serve_goes_only_to_the_primary() {
    assert_eq!(
        steps(&["b", "c", "a"], BEHIND, 0),
        "b b+1ms b+2ms b+4ms a no_fresh_replica"
    );
    assert_eq!(steps(&["a", "b", "c"], BEHIND, 0), "a retry_budget_spent");
}

#[test]
fn without_a_budget_a_broken_read_is_refused() {
    assert_eq!(
        steps(&["b", "a"], RetryReason::BrokenDuringRead, 0),
        "b retry_budget_spent"
    );
}

#[test]
fn the_last_failure_determines_the_refusal_reason() {
    assert_eq!(
        steps(&["b"], RetryReason::OwnerMoved, 9),
        "b owner_unreachable"
    );
    assert_eq!(
        steps(&["b", "a"], RetryReason::ConnectRefused, 9),
        "b a upstream_unreachable"
    );
    assert_eq!(steps(&[], BEHIND, 9), "no_fresh_replica");
}
