//! The outcome record on an upstream connection: written, looked up, and deleted when it is old.

use std::cell::Cell;
use std::time::Duration;

use bytes::Buf;
use jujubehold_core::prelude::*;
use jujubehold_core::request_name::OutcomeRecord;
use jujubehold_pg::{Frame, FrameError, backend, query};
use smol_str::SmolStr;

use super::answer::{Answered, sqlstate};
use super::lane::Lane;
use super::named_request::{CREATE_INDEX, CREATE_TABLE, NamedRequest, prune_sql};
use super::status_answer::{STATUS_QUERY, read_status};

/// Old records are looked for after one in this many named writes of a thread. Each time more are
/// deleted than were written since, so that the table stays bounded.
const PRUNE_EVERY: u32 = 64;
/// How long deleting old records may take.
const PRUNE_LIMIT: Duration = Duration::from_secs(1);

const UNDEFINED_TABLE: &str = "42P01";
const INSUFFICIENT_PRIVILEGE: &str = "42501";
const UNIQUE_VIOLATION: &str = "23505";

thread_local! {
    static NAMED_WRITES: Cell<u32> = const { Cell::new(0) };
}

/// What came of opening a named request's transaction.
#[derive(Debug)]
pub(crate) enum Opening {
    /// It is open, and the record is written in it; with the statement's answer where the
    /// statement went along.
    Open(Option<Answered>),
    /// The name has a record already; no transaction is open.
    Recorded,
    /// The connection broke before the caller's statement was sent on it.
    Lost,
    /// The table was missing, and was created; no transaction is open.
    TableCreated,
    /// The upstream refused, and no transaction is open.
    Refused(Refused),
}

/// The upstream's refusal.
#[derive(Debug)]
pub(crate) struct Refused {
    pub(crate) sqlstate: SmolStr,
    pub(crate) error: Frame,
}

impl Refused {
    /// A refusal by its message.
    pub(crate) fn new(error: Frame) -> Self {
        Self {
            sqlstate: sqlstate(&error),
            error,
        }
    }

    /// Whether the upstream's user may not do this.
    pub(crate) fn is_not_allowed(&self) -> bool {
        self.sqlstate == INSUFFICIENT_PRIVILEGE
    }
}

/// The whole answer to a query of the proxy's own.
#[derive(Debug, Default)]
pub(crate) struct Reply {
    pub(crate) refused: Option<Refused>,
    tag: SmolStr,
    row: Option<Frame>,
}

/// Opens the transaction of `request` and writes its record.
///
/// # Errors
/// The connection broke; what was open on it is rolled back.
pub(crate) async fn open_recorded(
    lane: &mut Lane,
    request: &NamedRequest,
) -> Result<Opening, FrameError> {
    let reply = ask(lane, &request.open_sql()).await?;
    match reply.refused {
        Some(refused) => end_refused_record(lane, refused).await,
        None if reply.tag.starts_with("INSERT") => Ok(Opening::Open(None)),
        // Without its record the write must not go on.
        None => Err(FrameError::Truncated),
    }
}

/// Ends a transaction whose record was refused.
///
/// # Errors
/// The connection broke.
pub(crate) async fn end_refused_record(
    lane: &mut Lane,
    refused: Refused,
) -> Result<Opening, FrameError> {
    ask(lane, "ROLLBACK").await?;
    match refused.sqlstate.as_str() {
        UNIQUE_VIOLATION => Ok(Opening::Recorded),
        UNDEFINED_TABLE => create_table(lane).await,
        _ => Ok(Opening::Refused(refused)),
    }
}

// Two hosts may do this at once, and one of them is told of an error: who comes second finds the
// table all the same.
async fn create_table(lane: &mut Lane) -> Result<Opening, FrameError> {
    let created = ask(lane, CREATE_TABLE).await?;
    ask(lane, CREATE_INDEX).await?;
    Ok(match created.refused {
        Some(refused) if refused.sqlstate == INSUFFICIENT_PRIVILEGE => Opening::Refused(refused),
        Some(_) | None => Opening::TableCreated,
    })
}

/// Reads the record of `request`, and the status after it.
pub(crate) async fn look_up(
    lane: &mut Lane,
    request: &NamedRequest,
) -> Result<(Option<OutcomeRecord>, Option<InstanceStatus>), FrameError> {
    let reply = ask(lane, &request.lookup_sql()).await?;
    send(lane, STATUS_QUERY).await?;
    let status = read_status(lane).await?;
    Ok((reply.row.as_ref().and_then(record_of_row), status))
}

/// Runs a query of the proxy's own to its end.
pub(crate) async fn ask(lane: &mut Lane, sql: &str) -> Result<Reply, FrameError> {
    send(lane, sql).await?;
    read_reply(lane).await
}

/// Reads the whole answer to one query.
pub(crate) async fn read_reply(lane: &mut Lane) -> Result<Reply, FrameError> {
    let mut reply = Reply::default();
    loop {
        let frame = lane.receive().await?;
        match frame.tag() {
            backend::READY_FOR_QUERY => return Ok(reply),
            backend::COMMAND_COMPLETE => reply.tag = frame.first_text().unwrap_or_default().into(),
            backend::DATA_ROW => reply.row = Some(frame),
            backend::ERROR_RESPONSE if reply.refused.is_none() => {
                reply.refused = Some(Refused::new(frame));
            }
            _ => {}
        }
    }
}

/// Gives the lane back, after old records were deleted on it where it is time to do so.
///
/// The caller's answer does not wait for it.
pub(crate) fn finish_and_prune(mut lane: Lane, is_clean: bool, kept: Duration) {
    let count = NAMED_WRITES.get().wrapping_add(1);
    NAMED_WRITES.set(count);
    if !is_clean || !count.is_multiple_of(PRUNE_EVERY) {
        lane.finish(is_clean);
        return;
    }
    actix_rt::spawn(async move {
        let sql = prune_sql(kept);
        let pruned = tokio::time::timeout(PRUNE_LIMIT, ask(&mut lane, &sql)).await;
        lane.finish(matches!(pruned, Ok(Ok(_))));
    });
}

async fn send(lane: &mut Lane, sql: &str) -> Result<(), FrameError> {
    let sent = lane.send(query(sql).bytes()).await;
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
