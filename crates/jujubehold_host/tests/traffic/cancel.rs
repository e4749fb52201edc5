//! A request to cancel reaches the caller's own running statement and nothing else.

use std::time::Duration;

use jujubehold_core::prelude::*;
use tokio_postgres::NoTls;

use crate::support::{Bench, error_text, run, text};

#[actix_rt::test]
async fn a_running_statement_is_cancelled() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    let token = client.cancel_token();
    let sleep = client.simple_query("SELECT pg_sleep(20)");
    // A request that comes before the statement runs cancels nothing, so it is made again.
    let cancels = async {
        loop {
            tokio::time::sleep(Duration::from_millis(200)).await;
            token.cancel_query(NoTls).await.unwrap();
        }
    };
    let answer = tokio::select! {
        answer = sleep => answer,
        () = cancels => unreachable!("the loop has no end"),
    };
    assert_eq!(error_text(&answer.unwrap_err()).0, "57014");
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn a_late_request_hits_no_one() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let first = bench.connect().await;
    run(&first, "SELECT n FROM counter").await;
    let second = bench.connect().await;
    let token = first.cancel_token();
    // The second caller now runs on the connection that the first one had.
    let sleep = second.simple_query("SELECT pg_sleep(0.6)");
    let (answer, ()) = tokio::join!(sleep, async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        token.cancel_query(NoTls).await.unwrap();
    });
    answer.unwrap();
}
