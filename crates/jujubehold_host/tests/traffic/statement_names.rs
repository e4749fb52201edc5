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
