//! Helpers for the tests of the stand-in database.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::InstanceStatus;
use jujubehold_standin::database::{Database, DatabaseSettings};
use tokio_postgres::{Client, NoTls, SimpleQueryMessage};

/// The wait after which a test fails as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns settings without a connect cost, to keep the tests fast.
pub(crate) fn settings(name: &str) -> DatabaseSettings {
    DatabaseSettings {
        name: name.into(),
        connect_cost: Duration::ZERO,
        ..Default::default()
    }
}

pub(crate) async fn primary(name: &str) -> Database {
    Database::start(settings(name))
        .await
        .expect("the primary starts")
}

pub(crate) async fn replica(name: &str, primary: &Database) -> Database {
    let settings = DatabaseSettings {
        primary: Some(primary.address()),
        ..settings(name)
    };
    Database::start(settings).await.expect("the replica starts")
}

pub(crate) async fn connect(address: SocketAddr) -> Client {
    try_connect(address)
        .await
        .expect("the instance accepts a connection")
}

pub(crate) async fn try_connect(address: SocketAddr) -> Result<Client, tokio_postgres::Error> {
    let text = format!(
        "host={} port={} user=test dbname=test",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    actix_rt::spawn(async move {
        // The connection ends with an error if the test breaks it.
        let _ = connection.await;
    });
    Ok(client)
}

/// Runs a simple query and returns the first column of its first row.
pub(crate) async fn text(client: &Client, sql: &str) -> String {
    let messages = client.simple_query(sql).await.expect("the query succeeds");
    messages
        .iter()
        .find_map(|message| match message {
            SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
            _ => None,
        })
        .unwrap_or_default()
}

pub(crate) async fn status(client: &Client, call: &str) -> InstanceStatus {
    let text = text(client, &format!("SELECT {call}")).await;
    InstanceStatus::parse(&text).expect("the answer is a status")
}

/// Runs a query that must fail and returns its SQLSTATE.
pub(crate) async fn sqlstate(client: &Client, sql: &str) -> String {
    let error = client.simple_query(sql).await.expect_err("the query fails");
    error
        .code()
        .map(|code| code.code().to_owned())
        .unwrap_or_default()
}

/// Waits until the condition holds; panics after [`HANG_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(HANG_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting until {what}"));
}
