//! A non-idempotent write runs at most once.

use std::time::Duration;

use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Answer, Caller, Installation, Layout, wait_until};

/// Names the request before the write, as a caller that may have to retry does.
async fn write_named(caller: &mut Caller, request: &str, id: i64) -> Answer {
    let named = caller
        .run(&format!("SET jujubehold.request = '{request}'"))
        .await;
    if !named.is_ran() {
        return named;
    }
    caller
        .write(&format!("INSERT INTO orders (id, caller) VALUES ({id}, 1)"))
        .await
}

/// Returns whether the host reports that the request has already run.
fn is_already_ran(answer: &Answer) -> bool {
    match answer {
        Answer::Ran(_) => true,
        Answer::Failed(reason) | Answer::NotRun(_, reason) => reason.contains("already"),
        Answer::Unknown(_) => false,
    }
}

#[actix_rt::test]
async fn the_hosts_never_send_a_write_again_on_their_own() {
    let (installation, workload) = Installation::start_under_load(Layout::default()).await;
    for _ in 0..5 {
        installation
            .faults
            .reset(installation.primary())
            .expect("the route exists");
        workload.wait_for(10).await;
    }
    let report = workload.stop().await;
    report.check(&installation.row_counts().await);
}

#[actix_rt::test]
async fn a_named_request_that_is_asked_again_at_another_host_runs_once() {
    let installation = Installation::start(Layout::default()).await;
    for id in 0..10 {
        let request = format!("order-{id}");
        let mut caller = installation.caller(0);
        // The answer is lost between the primary and the host.
        let lost = LinkFaults {
            reset_after_bytes: Some(u64::try_from(id).unwrap_or(0) * 60),
            ..LinkFaults::default()
        };
        let route = installation.primary();
        installation
            .faults
            .set(route, Direction::Down, lost)
            .expect("the route exists");
        let first = write_named(&mut caller, &request, id).await;
        installation.faults.heal(route).expect("the route exists");
        if first.is_ran() {
            continue;
        }
        caller.move_to(installation.caller_address(1));
        wait_until("the request is completed", async || {
            let again = write_named(&mut caller, &request, id).await;
            is_already_ran(&again)
        })
        .await;
    }
    let rows = installation.row_counts().await;
    assert_eq!(rows, (0..10).map(|id| (id, 1)).collect());
}

#[actix_rt::test]
async fn a_named_request_that_is_asked_again_after_a_failover_runs_once() {
    let installation = Installation::start(Layout::default()).await;
    let mut caller = installation.caller(0);
    let stalled = LinkFaults {
        is_stalled: true,
        ..LinkFaults::default()
    };
    installation
        .faults
        .set("a", Direction::Down, stalled)
        .expect("the route exists");
    let attempts = async {
        let first = write_named(&mut caller, "order-1", 1).await;
        assert!(!first.is_ran(), "{first:?}");
        caller.move_to(installation.caller_address(1));
        wait_until("the request is completed", async || {
            let again = write_named(&mut caller, "order-1", 1).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            is_already_ran(&again)
        })
        .await;
    };
    futures_util::future::join(attempts, installation.wait_for_failover("a")).await;
    assert_eq!(installation.row_counts().await.get(&1), Some(&1));
}

#[actix_rt::test]
async fn a_named_request_that_was_lost_with_its_primary_runs_on_the_next_one() {
    let installation = Installation::start(Layout::default()).await;
    let stalled = LinkFaults {
        is_stalled: true,
        ..LinkFaults::default()
    };
    // The primary commits, but no replica receives the commit.
    installation
        .faults
        .set("replication", Direction::Down, stalled)
        .expect("the route exists");
    let old = &installation.databases["a"];
    let before = old.status().applied;
    let mut caller = installation.caller(0);
    let attempts = async {
        let first = write_named(&mut caller, "order-1", 1).await;
        assert!(matches!(first, Answer::Unknown(_)), "{first:?}");
    };
    let kill_primary = async {
        // The primary applies the table, its index, and then the write with its record.
        wait_until("the primary has the write", async || {
            old.status().applied >= before + 3
        })
        .await;
        old.kill();
    };
    futures_util::future::join(attempts, kill_primary).await;
    installation.wait_for_failover("a").await;
    caller.move_to(installation.caller_address(1));
    // A token of the discarded history would be refused, and no write of this session was
    // acknowledged.
    caller.token = None;
    for _ in 0..2 {
        wait_until("the request is completed", async || {
            is_already_ran(&write_named(&mut caller, "order-1", 1).await)
        })
        .await;
    }
    assert_eq!(installation.row_counts().await.get(&1), Some(&1));
}
