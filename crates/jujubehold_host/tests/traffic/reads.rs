//! Each session sees its own writes, and reads go to replicas where that is safe.

use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::support::{Bench, HANG, SERVICE, run, text, try_run};

#[actix_rt::test]
async fn a_session_sees_its_own_write_while_replicas_lag() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    for database in &bench.databases[1..] {
        database.set_apply_lag(Duration::from_millis(300));
    }
    let client = bench.connect().await;
    for n in 1..6 {
        run(&client, &format!("UPDATE counter SET n = {n}")).await;
        // The host takes the lagging replicas for fresh.
        bench.probe();
        bench.edit_view(|view| {
            for sample in view.samples.values_mut() {
                sample.status.applied = sample.status.applied.max(1000);
            }
        });
        assert_eq!(text(&client, "SELECT n FROM counter").await, n.to_string());
    }
}

#[actix_rt::test]
async fn a_session_that_roams_with_its_token_sees_its_write() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    for database in &bench.databases[1..] {
        database.set_apply_lag(Duration::from_millis(300));
    }
    let client = bench.connect().await;
    run(&client, "UPDATE counter SET n = 7").await;
    let token = text(&client, "SHOW jujubehold.session").await;
    let roamed = bench.connect_with(&token).await;
    assert_eq!(text(&roamed, "SELECT n FROM counter").await, "7");
    let later = bench.connect().await;
    run(&later, &format!("SET jujubehold.session = '{token}'")).await;
    assert_eq!(text(&later, "SELECT n FROM counter").await, "7");
}

#[actix_rt::test]
async fn a_session_without_a_token_sees_what_was_acknowledged_to_others() {
    let mut bench = Bench::start(ServiceConfig {
        read_age: Duration::from_mins(1),
        ..ServiceConfig::default()
    })
    .await;
    bench.create_counter().await;
    for database in &bench.databases[1..] {
        database.set_apply_lag(Duration::from_millis(500));
    }
    let writer = bench.connect().await;
    run(&writer, "UPDATE counter SET n = 9").await;
    let reader = bench.connect().await;
    bench.probe();
    assert_eq!(text(&reader, "SELECT n FROM counter").await, "9");
}

#[actix_rt::test]
async fn replicas_serve_a_session_whose_floor_they_have_reached() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    run(&client, "UPDATE counter SET n = 3").await;
    bench.wait_applied().await;
    let primary_before = bench.databases[0].statement_count();
    for _ in 0..20 {
        assert_eq!(text(&client, "SELECT n FROM counter").await, "3");
    }
    assert_eq!(bench.databases[0].statement_count(), primary_before);
}

#[actix_rt::test]
async fn a_read_moves_on_when_its_replica_dies() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    run(&client, "UPDATE counter SET n = 4").await;
    bench.wait_applied().await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "4");
    bench.databases[1].kill();
    bench.databases[2].kill();
    for _ in 0..5 {
        assert_eq!(text(&client, "SELECT n FROM counter").await, "4");
    }
}

#[actix_rt::test]
async fn a_read_that_writes_after_all_runs_on_the_primary_once() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    let sql = "WITH x AS (UPDATE counter SET n = n + 1 RETURNING n) SELECT n FROM x";
    // The stand-in may not take the form; what matters is that it is never taken for a read.
    let _ = try_run(&client, sql).await;
    assert_eq!(bench.databases[1].statement_count(), 0);
    assert_eq!(bench.databases[2].statement_count(), 0);
}

#[actix_rt::test]
async fn a_floor_that_a_failover_cut_is_told_until_it_is_reset() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let lost = Floor {
        service: "ledger".into(),
        term: 1,
        position: 1_000_000,
    };
    let key = bench.shared.settings.token_key.clone();
    let token = jujubehold_core::session_token::sign_token(key.as_bytes(), &lost);
    // The group has gone on in term 2, without what the floor's write left.
    for index in [0, 1, 2] {
        crate::support::call(&bench.databases[index], "SELECT group_fence(2, 7)").await;
    }
    crate::support::call(&bench.databases[1], "SELECT group_promote(2, 7)").await;
    let follow = format!("SELECT group_follow(2, '{}')", bench.databases[1].address());
    crate::support::call(&bench.databases[0], &follow).await;
    crate::support::call(&bench.databases[2], &follow).await;
    bench.probe();
    let client = bench.connect_with(&token).await;
    let (sqlstate, detail) = try_run(&client, "SELECT n FROM counter").await.unwrap_err();
    assert_eq!(sqlstate, "40001", "{detail}");
    assert!(detail.contains("floor_lost"), "{detail}");
    run(&client, "RESET jujubehold.session").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn a_replica_that_answers_nothing_does_not_keep_reads_waiting() {
    let mut bench = Bench::start(ServiceConfig {
        read_age: Duration::from_mins(1),
        statement_timeout: 10 * HANG,
        ..ServiceConfig::default()
    })
    .await;
    bench.create_counter().await;
    let client = bench.connect().await;
    // Both replicas have a connection that is open already.
    let pools = &bench.shared.pools;
    let has_idle = |name: &str| pools.idle_count(&SERVICE.into(), &name.into()) > 0;
    for _ in 0..100 {
        text(&client, "SELECT n FROM counter").await;
        if has_idle("b") && has_idle("c") {
            break;
        }
    }
    bench.stop_probing();
    bench.databases[1].freeze();
    for _ in 0..20 {
        assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
    }
    bench.databases[1].thaw();
}
