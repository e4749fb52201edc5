//! A caller that looks entries up.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::load::LoadConnection;

const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What a reading caller met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ReadLog {
    /// Reads that were answered.
    pub answered: u64,
    /// Reads that were refused or failed.
    pub failed: u64,
}

/// Reads until `deadline`, with `pause` between two reads; it comes back when a refusal says.
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
            actix_rt::time::sleep(RETRY_INTERVAL).await;
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
