//! Tests that a statement's name on a connection stands for that statement alone.

use jujubehold_core::prelude::*;

use crate::raw_caller::{RawCaller, error_code};
use crate::support::{Fixture, run, text};

const INCREMENT: &str = "UPDATE counter SET n = n + 1";

// A name that a caller never prepared was sent on as it was, and ran the statement that the proxy
// had prepared under it for another session.
#[actix_rt::test]
async fn a_name_of_the_proxys_form_runs_no_statement_of_another_session() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut owner = RawCaller::connect(&fixture, &[]).await;
    owner.parse("s", INCREMENT).bind("s", &[]).execute();
    assert_eq!(error_code(&owner.sync().await), "");
    let runs = fixture.statement_runs();
    let name = runs.last().unwrap().name.clone();
    assert!(name.starts_with("jb"), "{name}");
    let mut other = RawCaller::connect(&fixture, &[]).await;
    // In a transaction, so that the statement is sent to the primary.
    other.query("BEGIN").ask().await;
    let answer = other.describe(&name).sync().await;
    assert_eq!(error_code(&answer), "26000");
    other.query("ROLLBACK").ask().await;
    other.query("BEGIN").ask().await;
    let answer = other.bind(&name, &[]).execute().sync().await;
    assert_eq!(error_code(&answer), "26000");
    let error = answer[0].error_field(b'M').unwrap_or_default();
    assert!(error.contains(&name), "{error}");
    other.query("ROLLBACK").ask().await;
    // Its own statement of that name is another one.
    other.parse(&name, "SELECT 5").bind(&name, &[]).execute();
    assert_eq!(error_code(&other.sync().await), "");
    other.bind(&name, &[]).execute();
    assert_eq!(error_code(&other.sync().await), "");
    let runs = fixture.statement_runs();
    let mut texts: Vec<_> = runs.iter().map(|run| run.sql.as_str()).collect();
    texts.sort_unstable();
    assert_eq!(texts, ["SELECT 5", "SELECT 5", INCREMENT]);
    let client = fixture.connect().await;
    run(&client, "BEGIN").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "1");
}

// Statements of SQL that name prepared statements reach those of other sessions, or remove them
// from a connection that believes that it has them.
#[actix_rt::test]
async fn commands_on_prepared_statements_are_refused() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut owner = RawCaller::connect(&fixture, &[]).await;
    owner.parse("s", INCREMENT).bind("s", &[]).execute();
    owner.sync().await;
    let runs = fixture.statement_runs();
    let name = &runs.last().unwrap().name;
    let mut other = RawCaller::connect(&fixture, &[]).await;
    for command in [
        format!("PREPARE {name} AS SELECT 1"),
        format!("EXECUTE {name}"),
        format!("/* a comment */ EXECUTE {name}"),
        format!("SELECT 1; EXECUTE {name}"),
        format!("EXPLAIN ANALYZE EXECUTE {name}"),
        format!("EXPLAIN (ANALYZE, COSTS off) EXECUTE {name}"),
        format!("EXPLAIN EXECUTE {name}"),
        format!("CREATE TABLE copied AS EXECUTE {name}"),
        format!("EXPLAIN ANALYZE CREATE TABLE copied AS EXECUTE {name}"),
        format!("DEALLOCATE {name}"),
        "DEALLOCATE ALL".to_owned(),
        "DEALLOCATE PREPARE ALL".to_owned(),
        "DISCARD ALL".to_owned(),
        "SELECT 1; DISCARD ALL".to_owned(),
        // Valid for the upstream, but not for the proxy's tokenizer.
        "SELECT U&'!0041\\q' UESCAPE '!'; DEALLOCATE ALL".to_owned(),
        "DEALLOCATE U&\"\\q\" UESCAPE '!'".to_owned(),
    ] {
        let answer = other.query(&command).ask().await;
        assert_eq!(error_code(&answer), "0A000", "{command}");
        let answer = other.parse("", &command).bind("", &[]).execute().sync();
        assert_eq!(error_code(&answer.await), "0A000", "{command}");
    }
    owner.bind("s", &[]).execute();
    assert_eq!(error_code(&owner.sync().await), "");
}

// A literal was read by the time zone of the session that had prepared the same text first.
#[actix_rt::test]
async fn a_statement_runs_under_the_settings_that_it_was_prepared_under() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let zones = ["Asia/Tokyo", "", "Europe/Paris", "Asia/Tokyo"];
    let mut callers = Vec::new();
    for zone in zones {
        let settings = [("TimeZone", zone)];
        let settings = if zone.is_empty() { &[][..] } else { &settings };
        callers.push(RawCaller::connect(&fixture, settings).await);
    }
    for _ in 0..3 {
        for caller in &mut callers {
            caller.parse("", INCREMENT).bind("", &[]).execute();
            assert_eq!(error_code(&caller.sync().await), "");
        }
    }
    let runs = fixture.statement_runs();
    assert_eq!(runs.len(), 12);
    for run in &runs {
        assert_eq!(run.prepared_under, run.ran_under);
    }
    for (run, zone) in runs.iter().zip(zones.iter().cycle()) {
        let ran_under = run.ran_under.get("timezone").map_or("", String::as_str);
        assert_eq!(ran_under, *zone);
    }
}
