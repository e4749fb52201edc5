//! Retry budgets, backoff delays and session floor tables stay within their limits.

use std::time::Duration;

use jujubehold_core::backoff::Backoff;
use jujubehold_core::prelude::*;
use jujubehold_core::retry_budget::{RetryBudget, RetryBudgetSettings};
use jujubehold_core::session_floor::{FloorKnowledge, SessionFloorSettings, SessionFloorTable};

fn secs(value: u64) -> Duration {
    Duration::from_secs(value)
}

fn floor(position: Position) -> Floor {
    Floor {
        service: "shares".into(),
        term: 1,
        position,
    }
}

fn table() -> SessionFloorTable {
    let settings = SessionFloorSettings {
        retention: secs(60),
        capacity: 3,
    };
    SessionFloorTable::new(settings, secs(0))
}

#[test]
fn retries_stay_within_their_share_of_the_requests() {
    let mut budget = RetryBudget::new(RetryBudgetSettings::default());
    let mut retries = 0;
    for _ in 0..1000 {
        budget.count_request();
        while budget.try_retry() {
            retries += 1;
        }
    }
    // 20 retries are saved up and 999 requests add 10 per 100; the first request finds the bucket
    // full.
    assert_eq!(retries, 119);
}

#[test]
fn delays_double_up_to_their_limit_and_vary() {
    let backoff = Backoff::default();
    for attempt in 0..40 {
        let ceiling = Duration::from_millis((50_u64 << attempt.min(20)).min(2000));
        for random in [0, 1, u64::MAX, 0x1234_5678_9abc_def0] {
            let delay = backoff.delay(attempt, random);
            assert!(
                delay >= ceiling / 2 && delay <= ceiling,
                "{attempt} {delay:?}"
            );
        }
    }
    assert_ne!(backoff.delay(3, 5), backoff.delay(3, 500_000));
}

#[test]
fn a_table_that_was_created_recently_does_not_know_a_sessions_writes() {
    let table = table();
    let lookup = |at| table.lookup(secs(at), &"clerk".into(), &"shares".into());
    assert_eq!(lookup(59), FloorKnowledge::Unknown);
    assert_eq!(lookup(60), FloorKnowledge::NoWrites);
}

#[test]
fn a_floor_is_kept_for_the_retention_time_and_never_lowered() {
    let mut table = table();
    table.note(secs(100), &"clerk".into(), &floor(9));
    table.note(secs(101), &"clerk".into(), &floor(7));
    let lookup =
        |table: &SessionFloorTable, at| table.lookup(secs(at), &"clerk".into(), &"shares".into());
    assert_eq!(lookup(&table, 150), FloorKnowledge::Floor(floor(9)));
    table.note(secs(162), &"other".into(), &floor(1));
    assert_eq!(lookup(&table, 162), FloorKnowledge::NoWrites);
}

#[test]
fn after_an_early_eviction_a_missing_floor_is_unknown() {
    let mut table = table();
    for (at, session) in [(100, "a"), (101, "b"), (102, "c"), (103, "d")] {
        table.note(secs(at), &session.into(), &floor(at));
    }
    assert_eq!(table.len(), 3);
    let lookup = |at, session: &str| table.lookup(secs(at), &session.into(), &"shares".into());
    assert_eq!(lookup(104, "a"), FloorKnowledge::Unknown);
    assert_eq!(lookup(104, "d"), FloorKnowledge::Floor(floor(103)));
    assert_eq!(lookup(161, "a"), FloorKnowledge::NoWrites);
}
