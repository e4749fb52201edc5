//! An upstream that is leaving gets no new work.

use std::time::Duration;

use crate::harness::{Installation, Layout, until};

/// Reads of any age, so that replicas serve them.
fn layout() -> Layout {
    Layout {
        read_age: Duration::from_hours(1),
        ..Layout::default()
    }
}

#[actix_rt::test]
async fn a_leaving_replica_gets_no_new_work_from_any_host() {
    let installation = Installation::start(layout()).await;
    let replica = installation.reading_replica().await;
    installation
        .put_configuration(&installation.without(replica))
        .await;
    for number in 0..installation.hosts.len() {
        until("the host avoids the replica", async || {
            installation.avoids(replica, number).await
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_host_that_is_cut_off_from_the_platform_learns_of_a_leaving_upstream() {
    let installation = Installation::start(layout()).await;
    let replica = installation.reading_replica().await;
    installation
        .faults
        .cut("platform-1")
        .expect("the route stands");
    installation
        .put_configuration(&installation.without(replica))
        .await;
    until("the host avoids the replica", async || {
        installation.avoids(replica, 1).await
    })
    .await;
}

#[actix_rt::test]
#[ignore = "known red: what_runs_on_a_leaving_primary_ends_well"]
async fn what_runs_on_a_leaving_primary_ends_well() {
    let installation = Installation::start(layout()).await;
    let mut caller = installation.caller(0);
    caller.must_begin().await;
    caller
        .must_run("INSERT INTO orders (id, caller) VALUES (1, 1)")
        .await;
    let config = installation.without("a");
    installation.put_configuration(&config).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let committed = caller.write("COMMIT").await;
    assert!(committed.is_ran(), "{committed:?}");
    assert_eq!(installation.rows().await.get(&1), Some(&1));
}
