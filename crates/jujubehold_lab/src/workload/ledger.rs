//! The table of the ledger.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::error::LabError;
use crate::load::LoadConnection;

const CREATE_RETRY_DELAY: Duration = Duration::from_millis(100);
const CREATE_SQL: &str = "CREATE TABLE IF NOT EXISTS ledger (id INTEGER, note TEXT)";

/// Returns the statement that inserts one entry.
///
/// The table has no unique constraint on the id, so that a write that ran twice is visible.
pub fn insert_sql(id: u64) -> String {
    format!("INSERT INTO ledger (id, note) VALUES ({id}, 'entry')")
}

/// Creates the table through the host at `target`, and retries until the service accepts writes.
///
/// # Errors
/// Returns an error if the service accepts no write within `timeout`.
pub async fn create_ledger(
    target: SocketAddr,
    service: &str,
    timeout: Duration,
) -> Result<(), LabError> {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if let Ok(mut connection) = LoadConnection::open(target, service, None).await
            && let Ok(answer) = connection.run(CREATE_SQL).await
            && answer.is_ok()
        {
            return Ok(());
        }
        actix_rt::time::sleep(CREATE_RETRY_DELAY).await;
    }
    Err(LabError::TimedOut("the first write"))
}

/// Returns the ids of all entries at the instance at `address`.
///
/// # Errors
/// Returns an error if the connection to the instance fails.
pub async fn ledger_ids(address: SocketAddr, service: &str) -> Result<Vec<u64>, LabError> {
    let mut connection = LoadConnection::open(address, service, None).await?;
    let answer = connection.run("SELECT id FROM ledger").await?;
    Ok(answer
        .values
        .iter()
        .filter_map(|value| value.parse().ok())
        .collect())
}
