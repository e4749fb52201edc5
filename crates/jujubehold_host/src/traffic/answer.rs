//! Relays an upstream's answer to the caller.

use jujubehold_pg::{Frame, FrameError, backend};
use smol_str::SmolStr;

use super::answer_plan::{AnswerPlan, FrameAction};
use super::caller_io::CallerIo;
use super::checked_out_connection::CheckedOutConnection;

/// An answer is sent to the caller in chunks of about this size, in bytes.
const FLUSH_BYTES: usize = 16 * 1024;
/// How much of an answer may be held back before rows are sent ahead of its end, in bytes.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// When the parts of an answer may be sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// Chunks are sent as they arrive.
    Streamed,
    /// The end, which signals success, is held until the acknowledgement.
    HoldEnd,
    /// The whole answer is held and its rows are omitted, because it may still be discarded.
    HoldWithoutRows,
}

/// A summary of a complete answer, whose `ReadyForQuery` is not yet written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerSummary {
    /// The transaction status; `None` if the pipeline continues.
    pub(crate) status: Option<u8>,
    /// The SQLSTATE of the first error.
    pub(crate) sqlstate: Option<SmolStr>,
    /// Whether the last statement rolled its transaction back.
    pub(crate) is_rolled_back: bool,
    /// Whether there were rows or a row description.
    pub(crate) has_rows: bool,
    /// The last statement's command tag.
    pub(crate) tag: SmolStr,
    /// The error of a statement that the proxy added, which is not sent to the caller.
    pub(crate) proxy_error: Option<Frame>,
}

/// Why an answer is incomplete.
#[derive(Debug)]
pub(crate) enum AnswerError {
    /// The upstream's connection broke or is out of sync.
    Upstream,
    /// Writing to the caller failed.
    Caller(FrameError),
}

/// Relays the whole answer except for its `ReadyForQuery`.
pub(crate) async fn relay_answer(
    connection: &mut CheckedOutConnection,
    mut plan: AnswerPlan,
    io: &mut CallerIo,
    delivery: Delivery,
) -> Result<AnswerSummary, AnswerError> {
    let mut answered = AnswerSummary {
        status: None,
        sqlstate: None,
        is_rolled_back: false,
        has_rows: false,
        tag: SmolStr::default(),
        proxy_error: None,
    };
    let mut has_completed = false;
    loop {
        plan.write_synthesized(&mut io.out);
        if plan.is_done() {
            break;
        }
        let mut frame = connection
            .receive()
            .await
            .map_err(|_| AnswerError::Upstream)?;
        match plan.next_action(&frame) {
            FrameAction::Forward => {}
            FrameAction::ForwardInstead(error) => frame = error,
            FrameAction::Discard => continue,
            FrameAction::ProxyStatementFailed => {
                answered.proxy_error = Some(frame);
                continue;
            }
            FrameAction::Ready(status) => {
                answered.status = Some(status);
                continue;
            }
            FrameAction::Unexpected => return Err(AnswerError::Upstream),
        }
        match frame.tag() {
            backend::ERROR_RESPONSE if answered.sqlstate.is_none() => {
                answered.sqlstate = Some(sqlstate(&frame));
            }
            backend::COMMAND_COMPLETE => {
                has_completed = true;
                answered.tag = frame.first_text().unwrap_or_default().into();
                answered.is_rolled_back = answered.tag == "ROLLBACK";
            }
            backend::ROW_DESCRIPTION | backend::DATA_ROW => {
                answered.has_rows = true;
                if delivery == Delivery::HoldWithoutRows {
                    continue;
                }
            }
            _ => {}
        }
        io.put(&frame);
        let may_flush = match delivery {
            Delivery::Streamed => io.out.len() >= FLUSH_BYTES,
            Delivery::HoldEnd => io.out.len() >= MAX_HELD_BYTES && !has_completed,
            Delivery::HoldWithoutRows => false,
        };
        if may_flush {
            io.flush().await.map_err(AnswerError::Caller)?;
        }
    }
    plan.correct(connection.prepared());
    io.skipped_definitions = plan.skipped_definitions();
    Ok(answered)
}

/// Returns the SQLSTATE of an error.
pub(crate) fn sqlstate(error: &Frame) -> SmolStr {
    error.error_field(b'C').unwrap_or_default().into()
}
