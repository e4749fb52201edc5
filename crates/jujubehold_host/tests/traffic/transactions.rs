//! Tests that the statements of a caller's transaction stay separate from other callers'
//! statements.

use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::support::{Fixture, HANG_TIMEOUT, run, text, try_run, wait_until};

#[actix_rt::test]
async fn a_disconnected_caller_s_transaction_is_rolled_back_and_its_connection_not_reused() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let dying = fixture.connect().await;
    run(&dying, "BEGIN").await;
    run(&dying, "UPDATE counter SET n = 99").await;
    let idle_before = fixture
        .shared
        .pools
        .idle_count(&"ledger".into(), &"a".into());
    let connections_before = fixture.databases[0].connection_count();
    drop(dying);
    let primary = &fixture.databases[0];
    wait_until(|| primary.connection_count() < connections_before).await;
    assert_eq!(
        fixture
            .shared
            .pools
            .idle_count(&"ledger".into(), &"a".into()),
        idle_before
    );
    let client = fixture.connect().await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
    run(&client, "UPDATE counter SET n = 1").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "1");
}

#[actix_rt::test]
async fn a_transaction_sees_its_own_changes_and_others_do_not() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let first = fixture.connect().await;
    let second = fixture.connect().await;
    run(&first, "BEGIN").await;
    run(&first, "UPDATE counter SET n = 5").await;
    assert_eq!(text(&first, "SELECT n FROM counter").await, "5");
    assert_eq!(text(&second, "SELECT n FROM counter").await, "0");
    run(&first, "SAVEPOINT s").await;
    run(&first, "UPDATE counter SET n = 6").await;
    run(&first, "ROLLBACK TO SAVEPOINT s").await;
    run(&first, "COMMIT").await;
    assert_eq!(text(&first, "SELECT n FROM counter").await, "5");
    assert_eq!(text(&second, "SELECT n FROM counter").await, "5");
}

#[actix_rt::test]
async fn a_failed_transaction_s_commit_is_reported_as_a_rollback() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "BEGIN").await;
    run(&client, "UPDATE counter SET n = 5").await;
    try_run(&client, "SELECT nothing FROM nowhere")
        .await
        .unwrap_err();
    let (sqlstate, _) = try_run(&client, "SELECT 1").await.unwrap_err();
    assert_eq!(sqlstate, "25P02");
    run(&client, "COMMIT").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn a_lost_transaction_ends_the_session() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "BEGIN").await;
    run(&client, "UPDATE counter SET n = 5").await;
    fixture.databases[0].kill();
    try_run(&client, "UPDATE counter SET n = 6")
        .await
        .unwrap_err();
    // Later statements would otherwise run outside of the transaction that they were meant for.
    wait_until(|| client.is_closed()).await;
}

#[actix_rt::test]
async fn a_multi_statement_text_that_ends_a_transaction_is_acknowledged() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "BEGIN").await;
    run(&client, "UPDATE counter SET n = 5; COMMIT").await;
    let position = fixture.databases[0].status().applied;
    let received = fixture.databases[1..].iter().map(|db| db.status().received);
    assert!(received.max() >= Some(position));
    assert_ne!(text(&client, "SHOW jujubehold.session").await, "");
}

#[actix_rt::test]
async fn a_read_only_transaction_runs_on_a_replica_that_is_fresh() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 2").await;
    fixture.wait_applied().await;
    let before = fixture.databases[0].statement_count();
    run(&client, "BEGIN READ ONLY").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "2");
    run(&client, "COMMIT").await;
    assert_eq!(fixture.databases[0].statement_count(), before);
}

#[actix_rt::test]
async fn a_statement_timeout_in_a_transaction_ends_the_session() {
    let mut fixture = Fixture::start(ServiceConfig {
        statement_timeout: Duration::from_secs(3),
        ..ServiceConfig::default()
    })
    .await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "BEGIN").await;
    run(&client, "UPDATE counter SET n = 5").await;
    let (sqlstate, _) = try_run(&client, "SELECT pg_sleep(5)").await.unwrap_err();
    assert_eq!(sqlstate, "08007");
    wait_until(|| client.is_closed()).await;
    // The short timeout applies to the whole service, so on a slow machine a read may be refused as
    // not run.
    let other = fixture.connect().await;
    let read = async {
        loop {
            match try_run(&other, "SELECT n FROM counter").await {
                Ok(read) => break read,
                Err((_, detail)) => assert!(detail.contains("verdict=not_run"), "{detail}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let read = tokio::time::timeout(HANG_TIMEOUT, read)
        .await
        .expect("the operation timed out");
    assert_eq!(read, "0");
}
