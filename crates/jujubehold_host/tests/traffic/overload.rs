//! Tests requests that exceed the number of slots.

use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::support::{Fixture, HANG_TIMEOUT, run, text, try_run};

/// More than the primary's slots, but no more than the slots and the queue together.
const WRITERS: usize = 60;

#[actix_rt::test]
async fn writes_queued_for_a_frozen_primary_are_refused_early_and_reads_continue() {
    let mut fixture = Fixture::start(ServiceConfig {
        read_age: Duration::from_mins(1),
        statement_timeout: HANG_TIMEOUT * 10,
        ..ServiceConfig::default()
    })
    .await;
    fixture.create_counter().await;
    let reader = fixture.connect().await;
    assert_eq!(text(&reader, "SELECT n FROM counter").await, "0");
    let mut writers = Vec::new();
    for _ in 0..WRITERS {
        writers.push(fixture.connect().await);
    }
    run(&writers[0], "UPDATE counter SET n = n + 1").await;
    fixture.databases[0].freeze();
    let (sender, mut refusals) = tokio::sync::mpsc::unbounded_channel();
    for writer in writers {
        let sender = sender.clone();
        actix_rt::spawn(async move {
            let update = writer.simple_query("UPDATE counter SET n = n + 1");
            if let Err(error) = update.await {
                // The test may have ended.
                let _ = sender.send(error);
            }
        });
    }
    // The primary's slots remain in use; requests that wait for them are refused long before their
    // deadline.
    let slots = 16;
    for _ in 0..WRITERS - slots {
        let refusal = tokio::time::timeout(HANG_TIMEOUT, refusals.recv()).await;
        let refusal = refusal
            .expect("the operation timed out")
            .expect("a write is refused");
        let database_error = refusal
            .as_db_error()
            .expect("the error comes from the host");
        let detail = database_error.detail().unwrap_or_default();
        assert!(detail.contains("reason=deadline_too_short"), "{detail}");
        assert!(detail.contains("verdict=not_run"), "{detail}");
    }
    let read = try_run(&reader, "SELECT n FROM counter").await;
    assert!(read.is_ok(), "{read:?}");
}
