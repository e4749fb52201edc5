//! A caller that writes one entry after the other.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::load::{Answer, LoadConnection};
use crate::workload::ledger::insert_sql;
use crate::workload::write_log::WriteLog;

/// How long a caller waits after a failure to connect or a refusal that states no retry delay.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a caller waits for an answer before it treats the write's outcome as unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a caller tries to connect to one host.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);

/// The settings of a writing caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriterSettings {
    /// The addresses of the hosts. The caller moves to the next host when its connection breaks.
    pub targets: Vec<SocketAddr>,
    /// The service.
    pub service: String,
    /// The id of its first write; each further id is one higher.
    pub first_id: u64,
    /// How long it waits between two writes.
    pub pause: Duration,
}

enum Outcome {
    Acknowledged,
    Unknown,
    Refused(Duration),
}

/// Writes until `deadline`, and waits for the answer to the last write.
pub async fn write_until(settings: WriterSettings, deadline: Instant) -> WriteLog {
    let mut log = WriteLog::default();
    let mut id = settings.first_id;
    let mut target_index = usize::try_from(settings.first_id).unwrap_or(0);
    let mut connection = None;
    while Instant::now() < deadline {
        if connection.is_none() {
            target_index += 1;
            let target = settings.targets[target_index % settings.targets.len()];
            let open = LoadConnection::open(target, &settings.service, None);
            connection = tokio::time::timeout(OPEN_TIMEOUT, open)
                .await
                .ok()
                .and_then(Result::ok);
        }
        let Some(open) = &mut connection else {
            actix_rt::time::sleep(DEFAULT_RETRY_DELAY).await;
            continue;
        };
        let sql = insert_sql(id);
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, open.run(&sql)).await;
        let outcome = if let Ok(Ok(answer)) = answer {
            classify(&answer)
        } else {
            connection = None;
            Outcome::Unknown
        };
        match outcome {
            Outcome::Acknowledged => log.acknowledged.push((id, Instant::now())),
            Outcome::Unknown => log.unknown.push(id),
            Outcome::Refused(wait) => {
                log.refusals += 1;
                actix_rt::time::sleep(wait).await;
                if Instant::now() >= deadline {
                    log.not_run.push(id);
                }
                continue;
            }
        }
        id += 1;
        actix_rt::time::sleep(settings.pause).await;
    }
    log
}

fn classify(answer: &Answer) -> Outcome {
    if answer.is_ok() {
        return Outcome::Acknowledged;
    }
    if answer.is_not_run() {
        let wait = answer
            .retry_after_ms()
            .map_or(DEFAULT_RETRY_DELAY, Duration::from_millis);
        return Outcome::Refused(wait);
    }
    Outcome::Unknown
}
