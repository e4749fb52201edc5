//! Tests what is known of prepared statements after a failure.

use jujubehold_core::prelude::*;

use crate::raw_caller::{RawCaller, error_code};
use crate::support::Fixture;

/// The most statements that are kept on a connection.
const MAX_STATEMENTS: usize = 256;

fn select(number: usize) -> String {
    format!("SELECT n + {number} FROM counter")
}

// The Close that makes room was skipped after an error, and the statement counted as closed: when
// it was prepared again, every attempt on that connection was told that it already exists.
#[actix_rt::test]
async fn a_statement_whose_close_was_skipped_can_be_used_again() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut caller = RawCaller::connect(&fixture, &[]).await;
    // All in one transaction, and so on one connection.
    caller.query("BEGIN").ask().await;
    for number in 0..MAX_STATEMENTS {
        caller.parse(&format!("s{number}"), &select(number));
    }
    assert_eq!(error_code(&caller.sync().await), "");
    caller.query("SAVEPOINT before").ask().await;
    caller.parse("bad", "SELECT nothing FROM nowhere");
    for number in 0..10 {
        let name = format!("t{number}");
        caller.parse(&name, &select(1000 + number)).bind(&name, &[]);
    }
    assert_ne!(error_code(&caller.sync().await), "");
    caller.query("ROLLBACK TO SAVEPOINT before").ask().await;
    for number in 0..MAX_STATEMENTS {
        let name = format!("s{number}");
        let answer = caller.bind(&name, &[]).execute().sync().await;
        assert_eq!(error_code(&answer), "", "{name}");
    }
    for number in 0..10 {
        let name = format!("t{number}");
        caller.parse(&name, &select(1000 + number));
        let answer = caller.bind(&name, &[]).execute().sync().await;
        assert_eq!(error_code(&answer), "", "{name}");
    }
    assert_eq!(error_code(&caller.query("COMMIT").ask().await), "");
}

// Messages that are skipped after an error changed what the caller's names stand for, and a name
// then ran another statement than at PostgreSQL.
#[actix_rt::test]
async fn skipped_messages_change_no_name() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut caller = RawCaller::connect(&fixture, &[]).await;
    let kept = "SELECT n + 1 FROM counter";
    let skipped = "SELECT n + 2 FROM counter";
    for name in ["s", ""] {
        caller.parse(name, kept);
    }
    assert_eq!(error_code(&caller.sync().await), "");
    // The first error is the upstream's, the second the host's.
    for bad in ["SELECT nothing FROM nowhere", "LISTEN something"] {
        caller.parse("before", kept).parse("bad", bad);
        caller.close("s").parse("s", skipped).parse("", skipped);
        caller.parse("after", skipped).close("before");
        assert_ne!(error_code(&caller.sync().await), "");
        for name in ["s", ""] {
            caller.bind(name, &[]).execute();
            assert_eq!(error_code(&caller.sync().await), "", "{bad}, {name}");
        }
        let runs = fixture.statement_runs();
        assert!(runs.iter().all(|run| run.sql == kept), "{runs:?}");
        for name in ["bad", "after"] {
            caller.bind(name, &[]).execute();
            assert_eq!(error_code(&caller.sync().await), "26000", "{bad}, {name}");
        }
    }
    // Sent before the error, and so not skipped, unless the host refused the whole pipeline.
    caller
        .parse("before", kept)
        .parse("bad", "SELECT nothing FROM nowhere");
    assert_ne!(error_code(&caller.sync().await), "");
    caller.bind("before", &[]).execute();
    assert_eq!(error_code(&caller.sync().await), "");
}

// A session could keep any number of bytes in 4096 statements, and one more ended it without a
// word.
#[actix_rt::test]
async fn the_statements_of_a_session_are_bounded_in_number_and_bytes() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut caller = RawCaller::connect(&fixture, &[]).await;
    let long = format!("SELECT 1 /* {} */", "x".repeat(1024 * 1024));
    for name in ["a", "b", "c"] {
        assert_eq!(error_code(&caller.parse(name, &long).sync().await), "");
    }
    for _ in 0..2 {
        let answer = caller.parse("d", &long).sync().await;
        assert_eq!(error_code(&answer), "08P01");
        let hint = answer[0].error_field(b'H').unwrap_or_default();
        assert!(hint.contains("4 MiB"), "{hint}");
    }
    // A name is kept as well.
    let answer = caller.parse(&long, "SELECT 1").sync().await;
    assert_eq!(error_code(&answer), "08P01");
    // The session goes on, and a Close makes room.
    caller.close("a").parse("d", &long).bind("d", &[]).execute();
    assert_eq!(error_code(&caller.sync().await), "");
    let mut caller = RawCaller::connect(&fixture, &[]).await;
    for number in 0..4096 {
        caller.parse(&number.to_string(), "SELECT 1");
    }
    assert_eq!(error_code(&caller.sync().await), "");
    let answer = caller.parse("one more", "SELECT 1").sync().await;
    assert_eq!(error_code(&answer), "08P01");
    caller
        .close("0")
        .parse("one more", "SELECT 1")
        .bind("one more", &[]);
    assert_eq!(error_code(&caller.execute().sync().await), "");
}

// A block of code can remove a connection's statements unseen. Every use on that connection was
// then told that the statement does not exist, for as long as the connection was open.
#[actix_rt::test]
async fn a_connection_that_lacks_its_statements_is_not_used_again() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut caller = RawCaller::connect(&fixture, &[]).await;
    caller.parse("s", "UPDATE counter SET n = n + 1");
    assert_eq!(error_code(&caller.sync().await), "");
    // In one transaction, and so on one connection.
    caller.query("BEGIN").ask().await;
    caller.bind("s", &[]).execute();
    assert_eq!(error_code(&caller.sync().await), "");
    let block = "DO $$ BEGIN EXECUTE 'DEALLOCATE ALL'; END $$";
    assert_eq!(error_code(&caller.query(block).ask().await), "");
    caller.bind("s", &[]).execute();
    assert_eq!(error_code(&caller.sync().await), "26000");
    caller.query("ROLLBACK").ask().await;
    for _ in 0..10 {
        caller.bind("s", &[]).execute();
        assert_eq!(error_code(&caller.sync().await), "");
    }
}
