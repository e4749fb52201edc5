//! A named request runs once, whatever happens while its caller retries it from host to host.

use std::time::Duration;

use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Installation, Layout, NamedLoad, RequestKind, check_completed};

const CALLERS: i64 = 6;

/// Resets the connections to the primary after an increasing number of bytes of its answers.
async fn run_once_while_answers_are_cut(kind: RequestKind) {
    let installation = Installation::start(Layout::default()).await;
    let load = NamedLoad::start(CALLERS, &installation.caller_addresses(), kind);
    load.wait_for(20).await;
    let mut step = 0;
    // Each request has three answers, so a reset hits that of the commit only occasionally.
    while step < 24 || load.unknown_count() == 0 {
        let route = installation.primary();
        let faults = LinkFaults {
            reset_after_bytes: Some(step % 24 * 37),
            ..LinkFaults::default()
        };
        installation
            .faults
            .set(route, Direction::Down, faults)
            .expect("the route exists");
        tokio::time::sleep(Duration::from_millis(30)).await;
        installation.faults.heal(route).expect("the route exists");
        load.wait_for(5).await;
        step += 1;
    }
    let completed = load.stop().await;
    check_completed(&completed, &installation.row_counts().await);
}

#[actix_rt::test]
async fn named_statements_run_once_while_answers_are_cut() {
    run_once_while_answers_are_cut(RequestKind::Statement).await;
}

#[actix_rt::test]
async fn named_transactions_run_once_while_answers_are_cut() {
    run_once_while_answers_are_cut(RequestKind::Transaction).await;
}

#[actix_rt::test]
async fn named_statements_run_once_across_failovers() {
    let installation = Installation::start(Layout::default()).await;
    let addresses = installation.caller_addresses();
    let load = NamedLoad::start(CALLERS, &addresses, RequestKind::Statement);
    load.wait_for(20).await;
    // The answers are lost first, so that writes with an unknown outcome exist during the failover.
    let stalled = LinkFaults {
        is_stalled: true,
        ..LinkFaults::default()
    };
    installation
        .faults
        .set("a", Direction::Down, stalled)
        .expect("the route exists");
    installation.wait_for_failover("a").await;
    load.wait_for(20).await;
    installation.faults.heal("a").expect("the route exists");
    let second = installation.primary();
    load.wait_for(20).await;
    installation.databases[second].kill();
    installation.wait_for_failover(second).await;
    load.wait_for(20).await;
    let completed = load.stop().await;
    check_completed(&completed, &installation.row_counts().await);
}

#[actix_rt::test]
async fn named_statements_run_once_while_their_owner_changes() {
    let layout = Layout {
        // The first two hosts own the primary's connections; the third forwards to them.
        host_domains: vec!["east", "east", "west"],
        ..Layout::default()
    };
    let mut installation = Installation::start(layout).await;
    let addresses = installation.caller_addresses();
    let load = NamedLoad::start(CALLERS, &addresses, RequestKind::Statement);
    for round in 0..4 {
        load.wait_for(20).await;
        installation.hosts[round % 2].kill();
        load.wait_for(20).await;
        installation.start_host(round % 2);
        installation.wait_for_host(round % 2).await;
    }
    let completed = load.stop().await;
    check_completed(&completed, &installation.row_counts().await);
}
