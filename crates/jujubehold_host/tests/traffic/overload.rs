//! More work than the slots can do.

use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::support::{Bench, HANG, run, text, try_run};

/// More than the primary's slots, and no more than may wait beyond them.
const WRITERS: usize = 60;

#[actix_rt::test]
async fn writes_that_wait_for_a_frozen_primary_are_refused_early_and_reads_go_on() {
    let mut bench = Bench::start(ServiceConfig {
        read_age: Duration::from_mins(1),
        statement_timeout: HANG * 10,
        ..ServiceConfig::default()
    })
    .await;
    bench.create_counter().await;
    let reader = bench.connect().await;
    assert_eq!(text(&reader, "SELECT n FROM counter").await, "0");
    let mut writers = Vec::new();
    for _ in 0..WRITERS {
        writers.push(bench.connect().await);
    }
    run(&writers[0], "UPDATE counter SET n = n + 1").await;
    bench.databases[0].freeze();
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
    // The primary's slots stay taken; what waits for them is told so long before its deadline.
    let slots = 16;
    for _ in 0..WRITERS - slots {
        let refusal = tokio::time::timeout(HANG, refusals.recv()).await;
        let refusal = refusal.expect("no hang").expect("one is refused");
        let database_error = refusal.as_db_error().expect("the host answers");
        let detail = database_error.detail().unwrap_or_default();
        assert!(detail.contains("reason=deadline_too_short"), "{detail}");
        assert!(detail.contains("verdict=not_run"), "{detail}");
    }
    let read = try_run(&reader, "SELECT n FROM counter").await;
    assert!(read.is_ok(), "{read:?}");
}
