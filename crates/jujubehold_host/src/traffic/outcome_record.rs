//! Inserts, reads and prunes outcome records on an upstream connection.

use std::cell::Cell;
use std::time::Duration;

use bytes::Buf;
use jujubehold_core::prelude::*;
use jujubehold_core::request_name::OutcomeRecord;
use jujubehold_pg::{Frame, FrameError, backend, query};
use smol_str::SmolStr;

use super::answer::{AnswerSummary, sqlstate};
use super::checked_out_connection::CheckedOutConnection;
use super::named_request::{CREATE_INDEX, CREATE_TABLE, NamedRequest, prune_sql};
use super::status_answer::{STATUS_QUERY, read_status};

/// How many named writes of a thread lie between two prunings of old records. Each pruning may
/// delete more records than were written since, so that the table stays bounded.
const PRUNE_INTERVAL_WRITES: u32 = 64;
/// How long pruning old records may take.
const PRUNE_TIMEOUT: Duration = Duration::from_secs(1);

const UNDEFINED_TABLE: &str = "42P01";
const INSUFFICIENT_PRIVILEGE: &str = "42501";
const UNIQUE_VIOLATION: &str = "23505";

thread_local! {
    static NAMED_WRITES: Cell<u32> = const { Cell::new(0) };
}

/// The outcome of opening a named request's transaction.
#[derive(Debug)]
pub(crate) enum RecordOpening {
    /// The transaction is open and has the record; includes the statement's answer if the statement
    /// was sent with it.
    Open(Option<AnswerSummary>),
    /// The name already has a record; no transaction is open.
    AlreadyRecorded,
    /// The connection broke before the caller's statement was sent on it.
    ConnectionLost,
    /// The table was missing and has been created; no transaction is open.
    TableCreated,
    /// The upstream rejected the record; no transaction is open.
    Refused(UpstreamRefusal),
}

/// An error with which the upstream rejected a statement.
#[derive(Debug)]
pub(crate) struct UpstreamRefusal {
    pub(crate) sqlstate: SmolStr,
    pub(crate) error: Frame,
}

impl UpstreamRefusal {
    /// Creates a refusal from the upstream's error message.
    pub(crate) fn new(error: Frame) -> Self {
        Self {
            sqlstate: sqlstate(&error),
            error,
        }
    }

    /// Returns whether the upstream's user lacks the privilege.
    pub(crate) fn lacks_privilege(&self) -> bool {
        self.sqlstate == INSUFFICIENT_PRIVILEGE
    }
}

/// The complete answer to a query of the proxy.
#[derive(Debug, Default)]
pub(crate) struct QueryReply {
    pub(crate) refused: Option<UpstreamRefusal>,
    tag: SmolStr,
    row: Option<Frame>,
}

/// Opens the transaction of `request` and inserts its record.
///
/// # Errors
/// The connection broke; the upstream rolls the transaction back.
pub(crate) async fn open_with_record(
    connection: &mut CheckedOutConnection,
    request: &NamedRequest,
) -> Result<RecordOpening, FrameError> {
    let reply = run_query(connection, &request.open_sql()).await?;
    match reply.refused {
        Some(refused) => abort_refused_record(connection, refused).await,
        None if reply.tag.starts_with("INSERT") => Ok(RecordOpening::Open(None)),
        // Without its record the write must not run.
        None => Err(FrameError::Truncated),
    }
}

/// Rolls back a transaction whose record was rejected.
///
/// # Errors
/// The connection broke.
pub(crate) async fn abort_refused_record(
    connection: &mut CheckedOutConnection,
    refused: UpstreamRefusal,
) -> Result<RecordOpening, FrameError> {
    run_query(connection, "ROLLBACK").await?;
    match refused.sqlstate.as_str() {
        UNIQUE_VIOLATION => Ok(RecordOpening::AlreadyRecorded),
        UNDEFINED_TABLE => create_table(connection).await,
        _ => Ok(RecordOpening::Refused(refused)),
    }
}

// If two hosts do this at the same time, one of them gets an error, but the table exists for both
// afterwards.
async fn create_table(connection: &mut CheckedOutConnection) -> Result<RecordOpening, FrameError> {
    let created = run_query(connection, CREATE_TABLE).await?;
    run_query(connection, CREATE_INDEX).await?;
    Ok(match created.refused {
        Some(refused) if refused.sqlstate == INSUFFICIENT_PRIVILEGE => {
            RecordOpening::Refused(refused)
        }
        Some(_) | None => RecordOpening::TableCreated,
    })
}

/// Reads the record of `request`, and the status after it.
pub(crate) async fn look_up(
    connection: &mut CheckedOutConnection,
    request: &NamedRequest,
) -> Result<(Option<OutcomeRecord>, Option<InstanceStatus>), FrameError> {
    let reply = run_query(connection, &request.lookup_sql()).await?;
    send(connection, STATUS_QUERY).await?;
    let status = read_status(connection).await?;
    Ok((reply.row.as_ref().and_then(record_of_row), status))
}

/// Runs a query of the proxy and reads its complete answer.
pub(crate) async fn run_query(
    connection: &mut CheckedOutConnection,
    sql: &str,
) -> Result<QueryReply, FrameError> {
    send(connection, sql).await?;
    read_reply(connection).await
}

/// Reads the complete answer to one query.
pub(crate) async fn read_reply(
    connection: &mut CheckedOutConnection,
) -> Result<QueryReply, FrameError> {
    let mut reply = QueryReply::default();
    loop {
        let frame = connection.receive().await?;
        match frame.tag() {
            backend::READY_FOR_QUERY => return Ok(reply),
            backend::COMMAND_COMPLETE => reply.tag = frame.first_text().unwrap_or_default().into(),
            backend::DATA_ROW => reply.row = Some(frame),
            backend::ERROR_RESPONSE if reply.refused.is_none() => {
                reply.refused = Some(UpstreamRefusal::new(frame));
            }
            _ => {}
        }
    }
}

/// Releases the connection, after pruning old records on it if that is due.
///
/// The caller's answer does not wait for the pruning.
pub(crate) fn release_and_prune(
    mut connection: CheckedOutConnection,
    is_clean: bool,
    kept: Duration,
) {
    let count = NAMED_WRITES.get().wrapping_add(1);
    NAMED_WRITES.set(count);
    if !is_clean || !count.is_multiple_of(PRUNE_INTERVAL_WRITES) {
        connection.release(is_clean);
        return;
    }
    actix_rt::spawn(async move {
        let sql = prune_sql(kept);
        let pruned = tokio::time::timeout(PRUNE_TIMEOUT, run_query(&mut connection, &sql)).await;
        connection.release(matches!(pruned, Ok(Ok(_))));
    });
}

async fn send(connection: &mut CheckedOutConnection, sql: &str) -> Result<(), FrameError> {
    let sent = connection.send(query(sql).bytes()).await;
    sent.map_err(|_| FrameError::Truncated)
}

fn record_of_row(row: &Frame) -> Option<OutcomeRecord> {
    let mut body = row.body().get(2..)?;
    let digest = take_text(&mut body)?;
    let tag = take_text(&mut body)?;
    Some(OutcomeRecord { digest, tag })
}

fn take_text(body: &mut &[u8]) -> Option<SmolStr> {
    let length = usize::try_from(body.try_get_i32().ok()?).ok()?;
    let (text, rest) = body.split_at_checked(length)?;
    *body = rest;
    std::str::from_utf8(text).ok().map(SmolStr::from)
}
