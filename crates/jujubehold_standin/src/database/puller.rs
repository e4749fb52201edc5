//! Replication: a replica pulls the log of the instance that it follows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::{Position, Term, TermHistory};
use jujubehold_pg::FrameError;

use super::instance::Following;
use super::log_entry::LogEntry;
use super::pg_client::{PgClient, TextRow};
use super::shared::Shared;

/// How long the source holds back its answer to a pull while there is nothing new.
const PULL_WAIT: Duration = Duration::from_millis(500);
/// The timeout of a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// The delay between a failed pull and the next attempt.
const PULL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A segment of another instance's log.
struct LogSegment {
    history: TermHistory,
    received: Position,
    entries: Vec<LogEntry>,
}

/// Pulls the log of the instance that is currently followed, until the runtime ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut changes = shared.changes.subscribe();
    loop {
        let following = shared.instance().following();
        let Some(following) = following else {
            // `shared` holds the sender, so waiting cannot fail.
            let _ = changes.changed().await;
            continue;
        };
        tokio::select! {
            () = follow(&shared, following) => {}
            () = wait_until_source_changes(&shared, following) => {}
        }
    }
}

async fn wait_until_source_changes(shared: &Shared, following: Following) {
    let mut changes = shared.changes.subscribe();
    while shared.instance().following() == Some(following) {
        // `shared` holds the sender, so waiting cannot fail.
        let _ = changes.changed().await;
    }
}

async fn follow(shared: &Shared, following: Following) {
    loop {
        if let Err(error) = pull_continuously(shared, following).await {
            log::debug!(instance = shared.settings.name.as_str(); "cannot pull the log: {error}");
        }
        tokio::time::sleep(PULL_RETRY_DELAY).await;
    }
}

async fn pull_continuously(shared: &Shared, following: Following) -> Result<(), FrameError> {
    let connect = PgClient::connect(following.address);
    let mut client = within_timeout(connect).await?;
    loop {
        shared.wait_while_frozen().await;
        let after = shared.instance().received();
        let segment = within_timeout(pull(&mut client, following.term, after, PULL_WAIT)).await?;
        shared.wait_while_frozen().await;
        let is_new = !segment.entries.is_empty()
            || segment.received != after
            || segment.history != *shared.instance().history();
        if !is_new {
            continue;
        }
        shared
            .change(|instance| {
                // The instance may have been fenced or redirected while the answer was in transit.
                if instance.following() != Some(following) {
                    return Ok(());
                }
                instance.merge_log(&segment.history, segment.received, segment.entries)
            })
            .map_err(|error| FrameError::Malformed(error.to_string()))?;
    }
}

/// Fetches the log from `address` up to `position`. Both instances must be fenced at the same term.
pub(crate) async fn catch_up(
    shared: &Shared,
    address: SocketAddr,
    position: Position,
) -> Result<(), FrameError> {
    let mut client = PgClient::connect(address).await?;
    while shared.instance().received() < position {
        let (term, after) = {
            let instance = shared.instance();
            (instance.highest_known_term(), instance.received())
        };
        let segment = pull(&mut client, term, after, Duration::ZERO).await?;
        let is_ahead = segment.received > after;
        shared
            .change(|instance| {
                if !is_ahead || instance.highest_known_term() != term {
                    return Ok(());
                }
                instance.merge_log(&segment.history, segment.received, segment.entries)
            })
            .map_err(|error| FrameError::Malformed(error.to_string()))?;
        if !is_ahead {
            return Ok(());
        }
    }
    Ok(())
}

async fn pull(
    client: &mut PgClient,
    term: Term,
    after: Position,
    wait: Duration,
) -> Result<LogSegment, FrameError> {
    let sql = format!("SELECT group_log({term}, {after}, {})", wait.as_millis());
    let rows = client.query(&sql).await?;
    parse_log_segment(rows).ok_or_else(|| FrameError::Malformed("an answer to a pull".to_owned()))
}

fn parse_log_segment(rows: Vec<TextRow>) -> Option<LogSegment> {
    let mut rows = rows.into_iter();
    let head: Vec<String> = rows.next()?.into_iter().collect::<Option<_>>()?;
    let received = head.get(1)?.parse().ok()?;
    let history = TermHistory::parse(head.get(2)?)?;
    let received_at = Instant::now();
    let mut entries: Vec<LogEntry> = Vec::new();
    for row in rows {
        let [term, position, statement] =
            <[String; 3]>::try_from(row.into_iter().collect::<Option<Vec<_>>>()?).ok()?;
        let (term, position) = (term.parse().ok()?, position.parse().ok()?);
        match entries.last_mut().filter(|last| last.position == position) {
            Some(last) => last.statements.push(statement),
            None => entries.push(LogEntry {
                term,
                position,
                statements: vec![statement],
                received_at,
            }),
        }
    }
    Some(LogSegment {
        history,
        received,
        entries,
    })
}

async fn within_timeout<T>(
    work: impl Future<Output = Result<T, FrameError>>,
) -> Result<T, FrameError> {
    tokio::time::timeout(PULL_TIMEOUT, work)
        .await
        .unwrap_or_else(|_| Err(FrameError::Malformed("the pull timed out".to_owned())))
}
