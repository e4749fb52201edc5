//! Statements of one caller's transaction never mix with another's.

use std::time::Duration;

use tokio_postgres::NoTls;

use crate::harness::{Answer, Installation, Layout, wait_until};

/// The number of concurrent callers.
const CALLERS: i64 = 8;

#[actix_rt::test]
async fn a_transaction_whose_host_dies_leaves_nothing() {
    let layout = Layout {
        host_domains: vec!["east", "west", "east"],
        ..Layout::default()
    };
    let mut installation = Installation::start(layout).await;
    let mut caller = installation.caller(0);
    caller.must_begin().await;
    caller
        .must_run("INSERT INTO orders (id, caller) VALUES (1, 1)")
        .await;
    installation.hosts[0].kill();
    assert!(!caller.run("COMMIT").await.is_ran());
    let mut second = installation.caller(1);
    let insert = "INSERT INTO orders (id, caller) VALUES (2, 2)";
    wait_until("the lock is released", async || {
        second.write(insert).await.is_ran()
    })
    .await;
    let rows = installation.row_counts().await;
    assert!(
        !rows.contains_key(&1),
        "part of a transaction is stored: {rows:?}"
    );
}

#[actix_rt::test]

async fn the_death_of_a_domains_last_host_leaves_its_instance_in_reach() {
    let mut installation = Installation::start(Layout::default()).await;
    installation.hosts[0].kill();
    let mut caller = installation.caller(1);
    let insert = "INSERT INTO orders (id, caller) VALUES (1, 1)";
    wait_until("the other domain's host writes", async || {
        caller.write(insert).await.is_ran()
    })
    .await;
}

#[actix_rt::test]
async fn a_transaction_whose_caller_vanishes_is_rolled_back_before_its_connection_is_reused() {
    let installation = Installation::start(Layout::default()).await;
    for id in 0..20 {
        let mut departing = installation.caller(0);
        departing.must_begin().await;
        let insert = format!("INSERT INTO orders (id, caller) VALUES ({}, 1)", 1000 + id);
        departing.must_run(&insert).await;
        departing.disconnect();
        let mut remaining = installation.caller(0);
        let insert = format!("INSERT INTO orders (id, caller) VALUES ({id}, 2)");
        let answer = remaining.write(&insert).await;
        assert!(answer.is_ran(), "{answer:?}");
    }
    let rows = installation.row_counts().await;
    let foreign_ids: Vec<_> = rows.keys().filter(|id| **id >= 1000).collect();
    assert!(
        foreign_ids.is_empty(),
        "committed by another caller: {foreign_ids:?}"
    );
    assert_eq!(rows.len(), 20);
}

#[actix_rt::test]
async fn a_caller_that_leaves_its_results_unread_disturbs_no_other() {
    let installation = Installation::start(Layout::default()).await;
    for number in 0..20 {
        let mut departing = installation.caller(0);
        let sql = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n \
                   WHERE i < 20000) SELECT 'left unread', i FROM n";
        // The caller disconnects while rows are in transit.
        let unread = departing.run(sql);
        let _ = tokio::time::timeout(Duration::from_millis(3), unread).await;
        departing.disconnect();
        let mut remaining = installation.caller(0);
        let answer = remaining.run(&format!("SELECT 'own {number}'")).await;
        assert_eq!(answer.value(), Some(format!("own {number}").as_str()));
    }
}

#[actix_rt::test]
async fn concurrent_transactions_see_only_their_own_statements() {
    let installation = Installation::start(Layout::default()).await;
    let addresses = installation.caller_addresses();
    let tasks = (0..CALLERS).map(|number| {
        let host = usize::try_from(number).unwrap_or(0) % addresses.len();
        let mut caller = installation.caller(host);
        async move {
            for step in 0..5 {
                let id = number * 100 + step;
                let mine = format!("SELECT count(*) FROM orders WHERE caller = {number}");
                caller.must_begin().await;
                for _ in 0..2 {
                    let sql = format!("INSERT INTO orders (id, caller) VALUES ({id}, {number})");
                    let answer = caller.run(&sql).await;
                    assert!(answer.is_ran(), "{answer:?}");
                }
                let count = caller.run(&mine).await;
                // The rows of every second earlier step, which committed, and the two rows of this
                // one.
                assert_eq!(
                    count.value(),
                    Some(format!("{}", (step + 1) / 2 * 2 + 2).as_str())
                );
                let is_kept = step % 2 == 0;
                let end = if is_kept { "COMMIT" } else { "ROLLBACK" };
                caller.must_write(end).await;
                caller.must_run("SELECT 1").await;
                if !is_kept {
                    // The next transaction does not see a row that was rolled back.
                    let sql = format!("SELECT count(*) FROM orders WHERE id = {id}");
                    assert_eq!(caller.run(&sql).await.value(), Some("0"));
                }
            }
        }
    });
    futures_util::future::join_all(tasks).await;
}

#[actix_rt::test]
async fn a_cancel_at_the_moment_of_reuse_meets_no_other_caller() {
    let installation = Installation::start(Layout::default()).await;
    let canceller = async {
        let mut caller = installation.caller(0);
        for step in 0..40u64 {
            let client = caller
                .client()
                .await
                .expect("the host accepts a connection");
            let token = client.cancel_token();
            let cancel = async {
                tokio::time::sleep(Duration::from_micros(step * 300)).await;
                // A cancel request that arrives too late has no effect.
                let _ = token.cancel_query(NoTls).await;
            };
            let statement = caller.run("SELECT pg_sleep(0.005)");
            futures_util::future::join(statement, cancel).await;
        }
    };
    let others = (0..CALLERS).map(|number| {
        let mut caller = installation.caller(0);
        async move {
            for step in 0..60 {
                let answer = caller.run(&format!("SELECT 'own {number} {step}'")).await;
                // A temporary refusal is allowed; a cancellation meant for another caller is not.
                let refused = matches!(&answer, Answer::NotRun(code, _) if code != "57014");
                let own = format!("own {number} {step}");
                assert!(
                    refused || answer.value() == Some(own.as_str()),
                    "{answer:?}"
                );
            }
        }
    });
    futures_util::future::join(canceller, futures_util::future::join_all(others)).await;
}
