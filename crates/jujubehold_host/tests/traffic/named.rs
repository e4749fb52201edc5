//! Tests that a named write runs once, and that retries of it are answered from its record.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;
use tokio_postgres::{Client, SimpleQueryMessage};

use crate::support::{Fixture, HANG_TIMEOUT, connect, error_text, run, text, try_run};

const ADD: &str = "UPDATE counter SET n = n + 1";

async fn start() -> Fixture {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    fixture
}

async fn name(client: &Client, request: &str) {
    run(client, &format!("SET jujubehold.request = '{request}'")).await;
}

/// Runs a write under a name and returns the row count of its answer.
async fn run_named(client: &Client, request: &str, sql: &str) -> u64 {
    name(client, request).await;
    let messages = client.simple_query(sql).await.expect(sql);
    let counts = messages.iter().filter_map(|message| match message {
        SimpleQueryMessage::CommandComplete(rows) => Some(*rows),
        _ => None,
    });
    counts.last().expect("the answer has a command tag")
}

async fn counter(client: &Client) -> String {
    text(client, "SELECT n FROM counter").await
}

async fn records(fixture: &Fixture) -> i64 {
    let direct = connect(fixture.databases[0].address(), "").await;
    let count = text(&direct, "SELECT count(*) FROM jujubehold_outcomes").await;
    count.parse().expect("a number")
}

#[actix_rt::test]
async fn a_retried_write_is_answered_from_its_record() {
    let fixture = start().await;
    let first = fixture.connect().await;
    let second = fixture.connect().await;
    assert_eq!(run_named(&first, "order-1", ADD).await, 1);
    assert_eq!(run_named(&second, "order-1", ADD).await, 1);
    assert_eq!(counter(&second).await, "1");
    // The name applied to that write only.
    run(&second, ADD).await;
    assert_eq!(counter(&second).await, "2");
    assert_eq!(records(&fixture).await, 1);
}

#[actix_rt::test]
async fn another_statement_under_the_same_name_is_refused() {
    let fixture = start().await;
    let client = fixture.connect().await;
    run_named(&client, "order-1", ADD).await;
    name(&client, "order-1").await;
    for sql in ["UPDATE counter SET n = n + 5", "BEGIN"] {
        let (sqlstate, detail) = try_run(&client, sql).await.unwrap_err();
        assert_eq!(sqlstate, "22023", "{sql}");
        let is_name_reuse = detail.contains("verdict=not_run reason=request_name_reused");
        assert!(is_name_reuse, "{sql}: {detail}");
    }
    assert_eq!(counter(&client).await, "1");
}

#[actix_rt::test]
async fn a_write_that_fails_leaves_no_record() {
    let fixture = start().await;
    let client = fixture.connect().await;
    name(&client, "order-1").await;
    let (sqlstate, _) = try_run(&client, "INSERT INTO missing VALUES (1)")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "42P01");
    assert_eq!(records(&fixture).await, 0);
    assert_eq!(run_named(&client, "order-1", ADD).await, 1);
    assert_eq!(counter(&client).await, "1");
}

#[actix_rt::test]
async fn a_named_transaction_runs_once() {
    let fixture = start().await;
    let client = fixture.connect().await;
    name(&client, "order-1").await;
    run(&client, "BEGIN").await;
    run(&client, ADD).await;
    run(&client, "ROLLBACK").await;
    assert_eq!(records(&fixture).await, 0);
    name(&client, "order-1").await;
    run(&client, "BEGIN -- with a remark").await;
    run(&client, ADD).await;
    run(&client, "COMMIT").await;
    name(&client, "order-1").await;
    let (sqlstate, detail) = try_run(&client, "BEGIN").await.unwrap_err();
    assert_eq!(sqlstate, "23505");
    assert_eq!(detail, "verdict=ran reason=already_ran");
    assert_eq!(counter(&client).await, "1");
    assert_eq!(records(&fixture).await, 1);
}

#[actix_rt::test]
async fn an_open_transaction_cannot_be_named() {
    let fixture = start().await;
    let client = fixture.connect().await;
    run(&client, "BEGIN").await;
    let (sqlstate, _) = try_run(&client, "SET jujubehold.request = 'order-1'")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "0A000");
    run(&client, ADD).await;
    run(&client, "COMMIT").await;
    assert_eq!(counter(&client).await, "1");
}

#[actix_rt::test]
async fn an_unknown_outcome_hints_whether_to_retry_by_name() {
    let config = ServiceConfig {
        statement_timeout: Duration::from_secs(1),
        ..ServiceConfig::default()
    };
    let mut fixture = Fixture::start(config).await;
    fixture.create_counter().await;
    let unnamed = fixture.connect().await;
    run(&unnamed, "BEGIN").await;
    let named = fixture.connect().await;
    name(&named, "order-1").await;
    run(&named, "BEGIN").await;
    fixture.databases[0].freeze();
    for (client, hint) in [
        (unnamed, "Look at the data"),
        (named, "under the same name"),
    ] {
        let error = client.simple_query(ADD).await.unwrap_err();
        let reported_hint = error.as_db_error().and_then(|known| known.hint());
        assert!(
            reported_hint.is_some_and(|reported_hint| reported_hint.contains(hint)),
            "{error:?}"
        );
    }
    fixture.databases[0].thaw();
}

#[actix_rt::test]
async fn a_prepared_write_runs_once_for_each_name_and_parameters() {
    let fixture = start().await;
    let client = fixture.connect().await;
    let sql = "UPDATE counter SET n = n + $1";
    for _ in 0..2 {
        name(&client, "order-1").await;
        assert_eq!(
            client
                .execute(sql, &[&3_i32])
                .await
                .expect("the statement runs"),
            1
        );
    }
    assert_eq!(counter(&client).await, "3");
    name(&client, "order-1").await;
    let error = client.execute(sql, &[&4_i32]).await.unwrap_err();
    assert_eq!(error_text(&error).0, "22023");
    assert_eq!(counter(&client).await, "3");
}

#[actix_rt::test]
async fn statements_that_cannot_be_named_are_refused_and_do_not_run() {
    let fixture = start().await;
    let client = fixture.connect().await;
    name(&client, "order-1").await;
    for sql in [
        "UPDATE counter SET n = 7; UPDATE counter SET n = 8",
        "ROLLBACK; UPDATE counter SET n = 7",
        "BEGIN; UPDATE counter SET n = 7",
        "UPDATE counter SET n = 7 RETURNING n",
    ] {
        let (sqlstate, detail) = try_run(&client, sql).await.unwrap_err();
        assert_eq!(sqlstate, "0A000", "{sql}");
        assert!(detail.contains("verdict=not_run"), "{sql}: {detail}");
        assert_eq!(counter(&client).await, "0", "{sql}");
    }
    for bad in ["two words", "back\\slash"] {
        let sql = format!("SET jujubehold.request = '{bad}'");
        let (sqlstate, _) = try_run(&client, &sql).await.unwrap_err();
        assert_eq!(sqlstate, "08P01", "{bad}");
    }
    // A semicolon in a string literal does not make it two statements.
    let sql = "UPDATE counter SET n = 1 WHERE 'a;b' = 'a;b'";
    assert_eq!(run_named(&client, "order-2", sql).await, 1);
}

#[actix_rt::test]
async fn concurrent_sessions_with_one_name_share_one_run() {
    let fixture = start().await;
    for round in 0..5 {
        let request = format!("order-{round}");
        let asks = (0..8).map(async |_| {
            let client = fixture.connect().await;
            run_named(&client, &request, ADD).await
        });
        let counts = futures_util::future::join_all(asks).await;
        assert_eq!(counts, [1; 8]);
    }
    let client = fixture.connect().await;
    assert_eq!(counter(&client).await, "5");
}

#[actix_rt::test]
async fn the_request_name_is_shown_and_reset() {
    let fixture = start().await;
    let client = fixture.connect().await;
    name(&client, "order-1").await;
    assert_eq!(text(&client, "SHOW jujubehold.request").await, "order-1");
    run(&client, "RESET jujubehold.request").await;
    assert_eq!(text(&client, "SHOW jujubehold.request").await, "");
    run(&client, ADD).await;
    let direct = connect(fixture.databases[0].address(), "").await;
    let missing = try_run(&direct, "SELECT count(*) FROM jujubehold_outcomes").await;
    assert_eq!(missing.unwrap_err().0, "42P01");
}

#[actix_rt::test]
async fn records_that_are_old_enough_are_deleted() {
    let settings = HostSettings {
        outcome_kept: Duration::from_secs(1),
        ..HostSettings::default()
    };
    let mut fixture = Fixture::start_with(ServiceConfig::default(), settings).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    let start = std::time::Instant::now();
    let mut written = 0;
    // Each write adds a record, so fewer records than writes means that some were deleted.
    loop {
        run_named(&client, &format!("order-{written}"), ADD).await;
        written += 1;
        if records(&fixture).await < written {
            break;
        }
        assert!(
            start.elapsed() < HANG_TIMEOUT,
            "no record was deleted in time"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The newest records are kept.
    let last = format!("order-{}", written - 1);
    run_named(&client, &last, ADD).await;
    assert_eq!(counter(&client).await, written.to_string());
}
