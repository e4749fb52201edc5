//! Tests that a cancel request affects only the statement that its own session runs.

use std::time::Duration;

use jujubehold_core::prelude::*;
use tokio_postgres::NoTls;

use crate::support::{Fixture, error_text, run, text};

#[actix_rt::test]
async fn a_running_statement_is_cancelled() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    let token = client.cancel_token();
    let sleep = client.simple_query("SELECT pg_sleep(20)");
    // A request that arrives before the statement runs cancels nothing, so it is repeated.
    let cancels = async {
        loop {
            tokio::time::sleep(Duration::from_millis(200)).await;
            token.cancel_query(NoTls).await.unwrap();
        }
    };
    let answer = tokio::select! {
        answer = sleep => answer,
        () = cancels => unreachable!("the loop never ends"),
    };
    assert_eq!(error_text(&answer.unwrap_err()).0, "57014");
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn a_late_request_cancels_nothing() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let first = fixture.connect().await;
    run(&first, "SELECT n FROM counter").await;
    let second = fixture.connect().await;
    let token = first.cancel_token();
    // The second caller runs on the connection that the first one used.
    let sleep = second.simple_query("SELECT pg_sleep(0.6)");
    let (answer, ()) = tokio::join!(sleep, async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        token.cancel_query(NoTls).await.unwrap();
    });
    answer.unwrap();
}
