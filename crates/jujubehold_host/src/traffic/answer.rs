//! Takes an upstream's answer and puts it for the caller.

use jujubehold_pg::{Frame, FrameError, backend};
use smol_str::SmolStr;

use super::answer_plan::{AnswerPlan, FrameAction};
use super::caller_io::CallerIo;
use super::checked_out_connection::CheckedOutConnection;

/// An answer is given to the caller in pieces of about this size, in bytes.
const FLUSH_BYTES: usize = 16 * 1024;
/// How much of an answer is held back before rows go out ahead of its end, in bytes.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// Whether an answer may go to the caller as it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// It may go out piece by piece.
    Streamed,
    /// Its end, which tells of success, waits for the acknowledgement.
    HoldEnd,
    /// All of it waits, and rows are left out, as the answer may be dropped yet.
    HoldWithoutRows,
}

/// How an answer ended; its `ReadyForQuery` is not put yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AnswerSummary {
    /// The transaction status; `None` when the pipeline goes on.
    pub(crate) status: Option<u8>,
    /// The SQLSTATE of the first error.
    pub(crate) sqlstate: Option<SmolStr>,
    /// Whether the last statement dropped its transaction.
    pub(crate) is_rolled_back: bool,
    /// Whether there were rows, or columns for them.
    pub(crate) has_rows: bool,
    /// The last statement's command tag.
    pub(crate) tag: SmolStr,
    /// The refusal of a statement of the proxy's own, which the caller is not given.
    pub(crate) proxy_error: Option<Frame>,
}

/// Why an answer has no end.
#[derive(Debug)]
pub(crate) enum AnswerError {
    /// The upstream's connection broke or is out of step.
    Upstream,
    /// The caller can't be written to.
    Caller(FrameError),
}

/// Puts the whole answer.
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
        let frame = connection
            .receive()
            .await
            .map_err(|_| AnswerError::Upstream)?;
        match plan.next_action(&frame) {
            FrameAction::Forward => {}
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
    for name in plan.failed_statements() {
        connection.prepared().remove(name);
    }
    Ok(answered)
}

/// The SQLSTATE of an error.
pub(crate) fn sqlstate(error: &Frame) -> SmolStr {
    error.error_field(b'C').unwrap_or_default().into()
}
