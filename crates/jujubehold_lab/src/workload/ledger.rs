//! The ledger's table.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::error::LabError;
use crate::load::LoadConnection;

const RETRY_INTERVAL: Duration = Duration::from_millis(100);
const CREATE_SQL: &str = "CREATE TABLE IF NOT EXISTS ledger (id INTEGER, note TEXT)";

/// The statement that writes one entry.
///
/// The id is not unique in the table, so that a write that ran twice is seen.
pub fn insert_sql(id: u64) -> String {
    format!("INSERT INTO ledger (id, note) VALUES ({id}, 'entry')")
}

/// Creates the table through the host at `target`, as soon as the service takes writes.
///
/// # Errors
/// The service took no write within `patience`.
pub async fn create_ledger(
    target: SocketAddr,
    service: &str,
    patience: Duration,
) -> Result<(), LabError> {
    let deadline = Instant::now() + patience;
    while Instant::now() < deadline {
        if let Ok(mut connection) = LoadConnection::open(target, service, None).await
            && let Ok(answer) = connection.run(CREATE_SQL).await
            && answer.is_ok()
        {
            return Ok(());
        }
        actix_rt::time::sleep(RETRY_INTERVAL).await;
    }
    Err(LabError::TimedOut("the first write"))
}

/// The ids of every entry, as the instance at `address` has them.
///
/// # Errors
/// The instance can't be asked.
pub async fn ledger_ids(address: SocketAddr, service: &str) -> Result<Vec<u64>, LabError> {
    let mut connection = LoadConnection::open(address, service, None).await?;
    let answer = connection.run("SELECT id FROM ledger").await?;
    Ok(answer
        .values
        .iter()
        .filter_map(|value| value.parse().ok())
        .collect())
}
