//! Tests that each session sees its own writes, and that reads use replicas where that is safe.

use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::support::{Fixture, HANG_TIMEOUT, SERVICE, run, text, try_run};

#[actix_rt::test]
async fn a_session_sees_its_own_write_while_replicas_lag() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    for database in &fixture.databases[1..] {
        database.set_apply_lag(Duration::from_millis(300));
    }
    let client = fixture.connect().await;
    for n in 1..6 {
        run(&client, &format!("UPDATE counter SET n = {n}")).await;
        // Makes the host regard the lagging replicas as up to date.
        fixture.probe();
        fixture.edit_view(|view| {
            for sample in view.samples.values_mut() {
                sample.status.applied = sample.status.applied.max(1000);
            }
        });
        assert_eq!(text(&client, "SELECT n FROM counter").await, n.to_string());
    }
}

#[actix_rt::test]
async fn a_session_that_reconnects_with_its_token_sees_its_write() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    for database in &fixture.databases[1..] {
        database.set_apply_lag(Duration::from_millis(300));
    }
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 7").await;
    let token = text(&client, "SHOW jujubehold.session").await;
    let reconnected = fixture.connect_with(&token).await;
    assert_eq!(text(&reconnected, "SELECT n FROM counter").await, "7");
    let later = fixture.connect().await;
    run(&later, &format!("SET jujubehold.session = '{token}'")).await;
    assert_eq!(text(&later, "SELECT n FROM counter").await, "7");
}

#[actix_rt::test]
async fn a_session_without_a_token_sees_what_was_acknowledged_to_others() {
    let mut fixture = Fixture::start(ServiceConfig {
        read_age: Duration::from_mins(1),
        ..ServiceConfig::default()
    })
    .await;
    fixture.create_counter().await;
    for database in &fixture.databases[1..] {
        database.set_apply_lag(Duration::from_millis(500));
    }
    let writer = fixture.connect().await;
    run(&writer, "UPDATE counter SET n = 9").await;
    let reader = fixture.connect().await;
    fixture.probe();
    assert_eq!(text(&reader, "SELECT n FROM counter").await, "9");
}

#[actix_rt::test]
async fn replicas_serve_a_session_whose_floor_they_have_reached() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 3").await;
    fixture.wait_applied().await;
    let primary_before = fixture.databases[0].statement_count();
    for _ in 0..20 {
        assert_eq!(text(&client, "SELECT n FROM counter").await, "3");
    }
    assert_eq!(fixture.databases[0].statement_count(), primary_before);
}

#[actix_rt::test]
async fn a_read_fails_over_when_its_replica_dies() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 4").await;
    fixture.wait_applied().await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "4");
    fixture.databases[1].kill();
    fixture.databases[2].kill();
    for _ in 0..5 {
        assert_eq!(text(&client, "SELECT n FROM counter").await, "4");
    }
}

#[actix_rt::test]
async fn a_select_that_writes_is_not_sent_to_replicas() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    let sql = "WITH x AS (UPDATE counter SET n = n + 1 RETURNING n) SELECT n FROM x";
    // The stand-in may reject this syntax; what matters is that it is never treated as a read.
    let _ = try_run(&client, sql).await;
    assert_eq!(fixture.databases[1].statement_count(), 0);
    assert_eq!(fixture.databases[2].statement_count(), 0);
}

#[actix_rt::test]
async fn a_floor_lost_in_a_failover_is_reported_until_it_is_reset() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let lost = Floor {
        service: "ledger".into(),
        term: 1,
        position: 1_000_000,
    };
    let key = fixture.shared.settings.token_key.clone();
    let token = jujubehold_core::session_token::sign_token(key.as_bytes(), &lost);
    // The group has moved on to term 2 without the write that set the floor.
    for index in [0, 1, 2] {
        crate::support::call(&fixture.databases[index], "SELECT group_fence(2, 7)").await;
    }
    crate::support::call(&fixture.databases[1], "SELECT group_promote(2, 7)").await;
    let follow = format!(
        "SELECT group_follow(2, '{}')",
        fixture.databases[1].address()
    );
    crate::support::call(&fixture.databases[0], &follow).await;
    crate::support::call(&fixture.databases[2], &follow).await;
    fixture.probe();
    let client = fixture.connect_with(&token).await;
    let (sqlstate, detail) = try_run(&client, "SELECT n FROM counter").await.unwrap_err();
    assert_eq!(sqlstate, "40001", "{detail}");
    assert!(detail.contains("floor_lost"), "{detail}");
    run(&client, "RESET jujubehold.session").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn a_silent_replica_does_not_delay_reads() {
    let mut fixture = Fixture::start(ServiceConfig {
        read_age: Duration::from_mins(1),
        statement_timeout: 10 * HANG_TIMEOUT,
        ..ServiceConfig::default()
    })
    .await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    // Waits until both replicas have an open connection.
    let pools = &fixture.shared.pools;
    let has_idle = |name: &str| pools.idle_count(&SERVICE.into(), &name.into()) > 0;
    for _ in 0..100 {
        text(&client, "SELECT n FROM counter").await;
        if has_idle("b") && has_idle("c") {
            break;
        }
    }
    fixture.stop_probing();
    fixture.databases[1].freeze();
    for _ in 0..20 {
        assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
    }
    fixture.databases[1].thaw();
}
