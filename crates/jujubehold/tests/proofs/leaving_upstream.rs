//! A leaving upstream receives no new work.

use std::time::Duration;

use crate::harness::{Answer, Caller, Installation, Layout, wait_until};

/// A layout in which reads accept data of any age, so that replicas serve them.
fn layout() -> Layout {
    Layout {
        read_age: Duration::from_hours(1),
        // Long enough that it does not expire during a test.
        leaving_grace: Duration::from_mins(1),
        ..Layout::default()
    }
}

#[actix_rt::test]
async fn a_leaving_replica_gets_no_new_work_from_any_host() {
    let installation = Installation::start(layout()).await;
    let replica = installation.replica_serving_reads().await;
    installation
        .put_configuration(&installation.config_with_leaving(replica))
        .await;
    for number in 0..installation.hosts.len() {
        wait_until("the host avoids the replica", async || {
            installation.avoids_replica(replica, number).await
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_host_that_is_cut_off_from_the_platform_learns_of_a_leaving_upstream() {
    let installation = Installation::start(layout()).await;
    let replica = installation.replica_serving_reads().await;
    installation
        .faults
        .cut("platform-1")
        .expect("the route exists");
    installation
        .put_configuration(&installation.config_with_leaving(replica))
        .await;
    wait_until("the host avoids the replica", async || {
        installation.avoids_replica(replica, 1).await
    })
    .await;
}

#[actix_rt::test]
async fn what_runs_on_a_leaving_primary_ends_well() {
    let installation = Installation::start(layout()).await;
    let mut caller = installation.caller(0);
    caller.must_begin().await;
    caller
        .must_run("INSERT INTO orders (id, caller) VALUES (1, 1)")
        .await;
    let config = installation.config_with_leaving("a");
    installation.put_configuration(&config).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let committed = caller.write("COMMIT").await;
    assert!(committed.is_ran(), "{committed:?}");
    assert_eq!(installation.row_counts().await.get(&1), Some(&1));
}

/// Opens a transaction at a host, writes in it, and marks the primary as leaving.
async fn leave_with_open_transaction(installation: &Installation, host: usize) -> Caller {
    let mut caller = installation.caller(host);
    caller.must_begin().await;
    caller
        .must_run("INSERT INTO orders (id, caller) VALUES (1, 1)")
        .await;
    let config = installation.config_with_leaving("a");
    installation.put_configuration(&config).await;
    caller
}

#[actix_rt::test]
async fn a_leaving_primary_takes_no_new_transaction_and_waits_for_an_open_transaction() {
    let installation = Installation::start(layout()).await;
    let mut caller = leave_with_open_transaction(&installation, 1).await;
    let mut other = installation.caller(0);
    wait_until("a new transaction is refused", async || {
        if let Answer::NotRun(_, detail) = other.run("BEGIN").await {
            return detail.contains("reason=leaving") && detail.contains("retry_after_ms");
        }
        // The host has not received the configuration yet.
        other.run("ROLLBACK").await;
        false
    })
    .await;
    assert_eq!(installation.primary(), "a");
    let committed = caller.write("COMMIT").await;
    assert!(committed.is_ran(), "{committed:?}");
    installation.wait_for_failover("a").await;
    assert_eq!(installation.row_counts().await.get(&1), Some(&1));
}

#[actix_rt::test]
async fn a_transaction_that_does_not_end_keeps_a_leaving_primary_only_for_the_grace() {
    let layout = Layout {
        leaving_grace: Duration::from_millis(500),
        ..layout()
    };
    let installation = Installation::start(layout).await;
    let mut caller = leave_with_open_transaction(&installation, 1).await;
    installation.wait_for_failover("a").await;
    let committed = caller.write("COMMIT").await;
    assert!(!committed.is_ran(), "{committed:?}");
    assert_eq!(installation.row_counts().await.get(&1), None);
}

#[actix_rt::test]
async fn the_transactions_of_a_dead_host_keep_no_leaving_primary() {
    let mut installation = Installation::start(layout()).await;
    let mut caller = leave_with_open_transaction(&installation, 1).await;
    installation.hosts[1].kill();
    installation.wait_for_failover("a").await;
    assert!(!caller.run("COMMIT").await.is_ran());
    assert_eq!(installation.row_counts().await.get(&1), None);
    let mut other = installation.caller(0);
    wait_until("writes are accepted", async || {
        other.run("DELETE FROM orders WHERE id < 0").await.is_ran()
    })
    .await;
}
