//! The outcome record on an upstream connection: written, looked up, and deleted when it is old.

use std::cell::Cell;
use std::time::Duration;

use bytes::Buf;
use jujubehold_core::prelude::*;
use jujubehold_core::request_name::OutcomeRecord;
use jujubehold_pg::{Frame, FrameError, backend, query};
use smol_str::SmolStr;

use super::answer::sqlstate;
use super::lane::Lane;
use super::named_request::{CREATE_INDEX, CREATE_TABLE, NamedRequest, prune_sql};
use super::status_answer::{STATUS_QUERY, read_status};

/// How often the table is created anew before its absence is an error.
const CREATE_TRIES: usize = 3;
/// Old records are looked for after one in this many named writes of a thread. Each time more are
/// deleted than were written since, so that the table stays bounded.
const PRUNE_EVERY: u32 = 64;
/// How long deleting old records may take.
const PRUNE_LIMIT: Duration = Duration::from_secs(1);

const UNDEFINED_TABLE: &str = "42P01";
const UNIQUE_VIOLATION: &str = "23505";

thread_local! {
    static NAMED_WRITES: Cell<u32> = const { Cell::new(0) };
}

/// What came of opening a named request's transaction.
#[derive(Debug)]
pub(crate) enum Opening {
    /// It is open, and the record is written in it.
    Open,
    /// The name has a record already; no transaction is open.
    Recorded,
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
    /// Whether the table is missing and may not be created.
    pub(crate) fn is_table_missing(&self) -> bool {
        self.sqlstate == UNDEFINED_TABLE
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
    let mut tries_left = CREATE_TRIES;
    loop {
        let reply = ask(lane, &request.open_sql()).await?;
        let Some(refused) = reply.refused else {
            // Without its record the write must not go on.
            let is_recorded = reply.tag.starts_with("INSERT");
            let opening = is_recorded.then_some(Opening::Open);
            return opening.ok_or(FrameError::Truncated);
        };
        ask(lane, "ROLLBACK").await?;
        if refused.sqlstate == UNIQUE_VIOLATION {
            return Ok(Opening::Recorded);
        }
        if !refused.is_table_missing() || tries_left == 0 {
            return Ok(Opening::Refused(refused));
        }
        tries_left -= 1;
        // Two hosts may do this at once, and one of them is told of an error.
        ask(lane, CREATE_TABLE).await?;
        ask(lane, CREATE_INDEX).await?;
    }
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
                reply.refused = Some(Refused {
                    sqlstate: sqlstate(&frame),
                    error: frame,
                });
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
