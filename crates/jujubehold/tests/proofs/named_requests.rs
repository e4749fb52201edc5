//! A named request runs once, whatever happens while its caller asks again from host to host.

use std::time::Duration;

use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Installation, Layout, Named, NamedLoad, check_settled};

const CALLERS: i64 = 6;

/// Cuts the connections to the primary after growing counts of bytes of its answers.
async fn run_once_while_answers_are_cut(named: Named) {
    let installation = Installation::start(Layout::default()).await;
    let load = NamedLoad::start(CALLERS, &installation.caller_addresses(), named);
    load.wait_for(20).await;
    let mut step = 0;
    // Each request has three answers, so a cut meets the commit's only now and then.
    while step < 24 || load.unknown() == 0 {
        let route = installation.primary();
        let faults = LinkFaults {
            reset_after_bytes: Some(step % 24 * 37),
            ..LinkFaults::default()
        };
        installation
            .faults
            .set(route, Direction::Down, faults)
            .expect("the route stands");
        tokio::time::sleep(Duration::from_millis(30)).await;
        installation.faults.heal(route).expect("the route stands");
        load.wait_for(5).await;
        step += 1;
    }
    let settled = load.stop().await;
    check_settled(&settled, &installation.rows().await);
}

#[actix_rt::test]
async fn named_statements_run_once_while_answers_are_cut() {
    run_once_while_answers_are_cut(Named::Statement).await;
}

#[actix_rt::test]
async fn named_transactions_run_once_while_answers_are_cut() {
    run_once_while_answers_are_cut(Named::Transaction).await;
}

#[actix_rt::test]
async fn named_statements_run_once_across_failovers() {
    let installation = Installation::start(Layout::default()).await;
    let addresses = installation.caller_addresses();
    let load = NamedLoad::start(CALLERS, &addresses, Named::Statement);
    load.wait_for(20).await;
    // The answers are lost first, so that the failover meets writes whose fate is not known.
    let held = LinkFaults {
        is_stalled: true,
        ..LinkFaults::default()
    };
    installation
        .faults
        .set("a", Direction::Down, held)
        .expect("the route stands");
    installation.wait_for_failover("a").await;
    load.wait_for(20).await;
    installation.faults.heal("a").expect("the route stands");
    let second = installation.primary();
    load.wait_for(20).await;
    installation.databases[second].kill();
    installation.wait_for_failover(second).await;
    load.wait_for(20).await;
    let settled = load.stop().await;
    check_settled(&settled, &installation.rows().await);
}

#[actix_rt::test]
async fn named_statements_run_once_while_their_owner_changes() {
    let layout = Layout {
        // The first two own the primary's connections; the third borrows them.
        host_domains: vec!["east", "east", "west"],
        ..Layout::default()
    };
    let mut installation = Installation::start(layout).await;
    let addresses = installation.caller_addresses();
    let load = NamedLoad::start(CALLERS, &addresses, Named::Statement);
    for round in 0..4 {
        load.wait_for(20).await;
        installation.hosts[round % 2].kill();
        load.wait_for(20).await;
        installation.start_host(round % 2);
        installation.wait_for_host(round % 2).await;
    }
    let settled = load.stop().await;
    check_settled(&settled, &installation.rows().await);
}
