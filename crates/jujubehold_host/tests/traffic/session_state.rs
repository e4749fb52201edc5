//! Tests that session state which pooled connections can't hold is refused, and that settings are
//! applied to each connection.

use jujubehold_core::prelude::*;

use crate::raw_caller::{RawCaller, error_code};
use crate::support::{Fixture, error_text, run, text, try_run};

#[actix_rt::test]
async fn session_state_is_refused_with_a_hint() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    for sql in [
        "CREATE TEMP TABLE t (a int)",
        "LISTEN a",
        "NOTIFY a",
        "COPY counter TO STDOUT",
        "SELECT pg_advisory_lock(1)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "PREPARE p AS SELECT 1",
        "EXECUTE p",
        "COMMIT AND CHAIN",
        "SET role = admin",
        // The statement after a SET was dropped without a word.
        "SET a.b = 1; UPDATE counter SET n = 1",
        "RESET a.b; UPDATE counter SET n = 1",
        "SHOW jujubehold.session; UPDATE counter SET n = 1",
    ] {
        let (sqlstate, detail) = try_run(&client, sql).await.unwrap_err();
        assert_eq!(sqlstate, "0A000", "{sql}");
        assert!(detail.contains("verdict=not_run"), "{sql}: {detail}");
    }
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn a_setting_applies_to_its_session_only() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let first = fixture.connect().await;
    let second = fixture.connect().await;
    run(&first, "SET search_path = 'mine'").await;
    for _ in 0..3 {
        assert_eq!(text(&first, "SHOW search_path").await, "mine");
        assert_ne!(text(&second, "SHOW search_path").await, "mine");
    }
    run(&first, "RESET search_path").await;
    assert_ne!(text(&first, "SHOW search_path").await, "mine");
}

// A quote within a value ended it, and the rest of the value ran as statements on any instance.
#[actix_rt::test]
async fn the_value_of_a_setting_runs_no_statement() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "SET a.b = 'x''; UPDATE counter SET n = 7; --'").await;
    run(&client, "INSERT INTO counter VALUES (8)").await;
    let other = fixture.connect().await;
    run(&other, "BEGIN").await;
    assert_eq!(text(&other, "SELECT min(n) FROM counter").await, "0");
}

// Options were split wherever "-c" stands, also within a value; every fiftieth token contains it.
#[actix_rt::test]
async fn an_option_is_one_setting_whatever_its_value_contains() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    for (options, value) in [
        ("-c a.b=my-catalog", "my-catalog"),
        ("-ca.b=x-c=y", "x-c=y"),
        ("--a.b=x--c", "x--c"),
        ("-c a.b=two\\ words\\ -c\\ c.d=e", "two words -c c.d=e"),
        ("  -c  a.b=it's;  -c e.f=1 ", "it's;"),
    ] {
        let mut caller = RawCaller::connect(&fixture, &[("options", options)]).await;
        let mut answer = caller.query("BEGIN").ask().await;
        assert_eq!(error_code(&answer), "", "{options}");
        caller.parse("", "UPDATE counter SET n = 1").bind("", &[]);
        answer = caller.execute().sync().await;
        assert_eq!(error_code(&answer), "", "{options}");
        let run = fixture.statement_runs().pop().unwrap();
        assert_eq!(
            run.ran_under.get("a.b").unwrap(),
            &value.replace('\'', "''"),
            "{options}"
        );
        caller.query("ROLLBACK").ask().await;
    }
    for options in ["-c", "-c a.b", "-x a.b=c", "a.b=c", "-c a.b=c \\"] {
        let mut config = tokio_postgres::Config::new();
        config.host("127.0.0.1").port(fixture.address.port());
        config.user("clerk").dbname("ledger").options(options);
        let refused = config.connect(tokio_postgres::NoTls).await;
        let error = refused.err().expect("the options are refused");
        assert_eq!(error_text(&error).0, "08P01", "{options}");
    }
}

#[actix_rt::test]
async fn a_forged_token_is_refused() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 1").await;
    let token = text(&client, "SHOW jujubehold.session").await;
    let forged = format!("{}x", &token[..token.len() - 1]);
    let sql = format!("SET jujubehold.session = '{forged}'");
    let (sqlstate, detail) = try_run(&client, &sql).await.unwrap_err();
    assert_eq!(sqlstate, "22023");
    assert!(detail.contains("token_invalid"), "{detail}");
    assert_eq!(text(&client, "SELECT n FROM counter").await, "1");
}

#[actix_rt::test]
async fn an_unknown_service_is_reported() {
    let fixture = Fixture::start(ServiceConfig::default()).await;
    let mut config = tokio_postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(fixture.address.port())
        .user("clerk")
        .dbname("nowhere");
    let refused = config.connect(tokio_postgres::NoTls).await;
    let error = refused.err().expect("the service does not exist");
    assert_eq!(error_text(&error).0, "3D000");
}
