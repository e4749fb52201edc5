//! Tests that connections to upstreams are few, shared and within their limits.

use jujubehold_core::prelude::*;
use jujubehold_host::pool::UpstreamConnection;
use jujubehold_pg::{backend, query};

use crate::support::{Fixture, HANG_TIMEOUT, SERVICE, run, text, try_run};

#[actix_rt::test]
async fn many_callers_share_few_connections() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    // 60 connections in three shares; the group's own direct connections are not included.
    let before = fixture.databases[0].connection_count();
    let mut clients = Vec::new();
    for _ in 0..60 {
        clients.push(fixture.connect().await);
    }
    let updates = clients
        .iter()
        .map(|client| run(client, "UPDATE counter SET n = n + 1"));
    futures_util::future::join_all(updates).await;
    assert_eq!(text(&clients[0], "SELECT n FROM counter").await, "60");
    assert!(fixture.databases[0].connection_count() <= before + 20);
}

#[actix_rt::test]
async fn a_broken_pooled_connection_is_not_used() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 1").await;
    fixture.databases[0].kill();
    let primary = &fixture.databases[0];
    crate::support::wait_until(|| primary.connection_count() == 0).await;
    fixture.databases[0].revive();
    // The upstream closed every pooled connection. No write may be lost on one of them once the
    // host's threads have been notified.
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let mut done = 0;
    while done < 3 {
        match try_run(&client, "UPDATE counter SET n = n + 1").await {
            Ok(_) => done += 1,
            Err((sqlstate, detail)) => assert_eq!(sqlstate, "57P03", "{detail}"),
        }
    }
    assert_eq!(text(&client, "SELECT n FROM counter").await, "4");
}

#[actix_rt::test]
async fn a_full_upstream_is_reported_and_not_retried_for_a_while() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut direct = Vec::new();
    let primary = fixture.databases[0].address();
    while let Some(client) = crate::support::try_connect(primary).await {
        direct.push(client);
    }
    let mut sessions = Vec::new();
    for _ in 0..4 {
        sessions.push(fixture.connect().await);
    }
    let mut refused = 0;
    for session in &sessions {
        match try_run(session, "BEGIN").await {
            Ok(_) => {}
            Err((sqlstate, detail)) => {
                assert_eq!(sqlstate, "57P03");
                assert!(detail.contains("verdict=not_run"), "{detail}");
                assert!(detail.contains("retry_after_ms="), "{detail}");
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
    drop(direct);
    let start = std::time::Instant::now();
    while try_run(&sessions[3], "UPDATE counter SET n = 1")
        .await
        .is_err()
    {
        assert!(start.elapsed() < crate::support::HANG_TIMEOUT);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

#[actix_rt::test]
async fn the_next_connection_is_opened_while_the_last_one_is_in_use() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let (service, primary) = ("ledger".into(), "a".into());
    fixture.shared.pools.close_idle(&service, &primary);
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 1").await;
    run(&client, "BEGIN").await;
    let pools = &fixture.shared.pools;
    crate::support::wait_until(|| pools.idle_count(&service, &primary) == 1).await;
}

#[actix_rt::test]
async fn a_request_that_gets_no_connection_in_time_is_refused_as_not_run() {
    let mut fixture = Fixture::start(ServiceConfig {
        statement_timeout: std::time::Duration::from_secs(3),
        ..ServiceConfig::default()
    })
    .await;
    fixture.create_counter().await;
    let mut holders = Vec::new();
    for _ in 0..20 {
        let holder = fixture.connect().await;
        run(&holder, "BEGIN").await;
        holders.push(holder);
    }
    let client = fixture.connect().await;
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "53300", "{detail}");
    assert!(detail.contains("verdict=not_run"), "{detail}");
}

#[actix_rt::test]
async fn a_closed_connection_is_not_handed_out() {
    let fixture = Fixture::start(ServiceConfig::default()).await;
    let instance = InstanceConfig {
        address: fixture.databases[0].address(),
        domain: "local".into(),
        region: "local".into(),
        state: InstanceState::Active,
        connections: 10,
    };
    let (service, name) = ("ledger".into(), "a".into());
    let wait = crate::support::HANG_TIMEOUT;
    let pools = &fixture.shared.pools;
    let acquire = || pools.acquire(&service, &name, &instance, 3, wait);
    acquire().await.unwrap().put_back();
    fixture.databases[0].kill();
    let primary = &fixture.databases[0];
    crate::support::wait_until(|| primary.connection_count() == 0).await;
    fixture.databases[0].revive();
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    assert_eq!(pools.idle_count(&service, &name), 1);
    let mut connection = acquire().await.unwrap();
    let query = jujubehold_pg::query("SELECT 1");
    connection.connection().send(query.bytes()).await.unwrap();
    connection.connection().receive().await.unwrap();
}

#[actix_rt::test]
async fn a_moved_connection_does_not_need_the_thread_that_opened_it() {
    let fixture = Fixture::start(ServiceConfig::default()).await;
    let address = fixture.databases[0].address();
    let opening = std::thread::spawn(move || {
        actix_rt::System::new().block_on(UpstreamConnection::open(address, SERVICE))
    });
    let opened = opening
        .join()
        .expect("the thread does not panic")
        .expect("the connection opens");
    assert_ne!(opened.thread(), std::thread::current().id());
    let mut moved = opened.move_here().expect("the connection moves");
    assert_eq!(moved.thread(), std::thread::current().id());
    moved
        .send(query("SELECT 1").bytes())
        .await
        .expect("the query is sent");
    let mut has_row = false;
    loop {
        let answer = tokio::time::timeout(HANG_TIMEOUT, moved.receive()).await;
        let frame = answer
            .expect("the operation timed out")
            .expect("the query is answered");
        has_row |= frame.tag() == backend::DATA_ROW;
        if frame.tag() == backend::READY_FOR_QUERY {
            break;
        }
    }
    assert!(has_row);
}
