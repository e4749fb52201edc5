//! A caller that reads entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::load::LoadConnection;

const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// The counts of a reading caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadLog {
    /// The number of reads that were answered.
    pub answered: u64,
    /// The number of reads that were refused or failed.
    pub failed: u64,
}

/// Reads until `deadline`, with `pause` between two reads. After a refusal, it waits for the retry
/// delay that the refusal states.
pub async fn read_until(
    target: SocketAddr,
    service: String,
    pause: Duration,
    deadline: Instant,
) -> ReadLog {
    let mut log = ReadLog::default();
    let mut connection = None;
    while Instant::now() < deadline {
        if connection.is_none() {
            connection = LoadConnection::open(target, &service, None).await.ok();
        }
        let Some(open) = &mut connection else {
            log.failed += 1;
            actix_rt::time::sleep(RECONNECT_DELAY).await;
            continue;
        };
        match open.run("SELECT note FROM ledger WHERE id = 1").await {
            Ok(answer) if answer.is_ok() => log.answered += 1,
            Ok(answer) => {
                log.failed += 1;
                let wait = answer.retry_after_ms().map(Duration::from_millis);
                actix_rt::time::sleep(wait.unwrap_or_default()).await;
            }
            Err(_) => {
                log.failed += 1;
                connection = None;
            }
        }
        actix_rt::time::sleep(pause).await;
    }
    log
}
