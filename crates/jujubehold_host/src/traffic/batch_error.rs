//! Errors of batches that their upstream did not answer, and how they are reported to callers.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_pg::{FrameError, ready_for_query};
use log::debug;
use metrics::counter;

use super::caller_error::{
    CHECK_DATA_HINT, RETRY_BY_NAME_HINT, fatal_error, refusal_error, refusal_with_hint,
    unknown_error,
};
use super::message_batch::MessageBatch;
use super::session::Session;
use crate::metric_names::{REFUSALS, UNKNOWNS};

/// The retry delay that a refused caller receives if no better one is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a batch was not answered by its upstream.
#[derive(Debug)]
pub(crate) enum BatchError {
    /// The batch did not run.
    Refused(Refusal),
    /// The batch did not run, and `hint` says what the caller can do.
    Hinted {
        refusal: Refusal,
        hint: &'static str,
    },
    /// The batch may have run.
    Unknown(UnknownReason),
    /// The session must end, because part of an answer was sent or a transaction was lost.
    Ended(UnknownReason),
    /// The caller's connection failed.
    Caller(FrameError),
}

impl From<Refusal> for BatchError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<RefusalReason> for BatchError {
    fn from(reason: RefusalReason) -> Self {
        Self::Refused(refusal(reason))
    }
}

/// Creates a refusal; transient reasons get the default retry delay.
pub(crate) fn refusal(reason: RefusalReason) -> Refusal {
    if reason.is_transient() {
        Refusal::transient(reason, RETRY_AFTER)
    } else {
        Refusal::permanent(reason)
    }
}

impl Session {
    /// Reports the error of a batch to the caller.
    pub(crate) async fn report_error(
        &mut self,
        error: BatchError,
        batch: &MessageBatch,
    ) -> Result<(), FrameError> {
        self.key.running.end();
        self.log_error(&error, batch);
        let service = self.service.to_string();
        let error = match error {
            BatchError::Unknown(reason) if self.io.has_flushed => BatchError::Ended(reason),
            other => other,
        };
        if !self.io.has_flushed {
            self.io.clear();
        }
        match error {
            BatchError::Refused(refusal) => {
                self.put_refusal_with_hint(&refusal, batch);
            }
            BatchError::Hinted { refusal, hint } => {
                self.count_refusal(&refusal);
                self.io.put(&refusal_with_hint(&refusal, hint));
            }
            BatchError::Unknown(reason) => {
                counter!(UNKNOWNS, "service" => service, "reason" => reason.as_str()).increment(1);
                self.io.put(&unknown_error(reason, self.unknown_hint()));
            }
            BatchError::Ended(reason) => {
                counter!(UNKNOWNS, "service" => service, "reason" => reason.as_str()).increment(1);
                self.pinned = None;
                self.io.clear();
                self.io.put(&fatal_error(reason, self.unknown_hint()));
                self.io.flush().await?;
                return Err(FrameError::Truncated);
            }
            BatchError::Caller(error) => return Err(error),
        }
        if batch.ends_with_flush {
            // The rest of the caller's pipeline up to its Sync is invalid, and this host can't wait
            // for it.
            self.io.flush().await?;
            return Err(FrameError::Truncated);
        }
        let status = self.pinned.as_ref().map_or(b'I', |pinned| pinned.status);
        self.io.put(&ready_for_query(status));
        self.io.flush().await
    }

    /// Logs why a batch failed and how much of its time was left.
    fn log_error(&self, error: &BatchError, batch: &MessageBatch) {
        let (verdict, reason) = match error {
            BatchError::Refused(refusal) | BatchError::Hinted { refusal, .. } => {
                ("not_run", refusal.reason.as_str())
            }
            BatchError::Unknown(reason) | BatchError::Ended(reason) => ("unknown", reason.as_str()),
            BatchError::Caller(_) => return,
        };
        let now = self.shared.clock.now();
        let age_ms = milliseconds(now.saturating_sub(batch.arrived_at));
        let left_ms = milliseconds(batch.deadline.saturating_sub(now));
        debug!(service = self.service.as_str(), verdict, reason, age_ms, left_ms,
            class:? = batch.class; "a batch failed");
    }

    /// Counts a refusal and queues its error for the caller.
    pub(crate) fn put_refusal(&mut self, refusal: &Refusal) {
        self.count_refusal(refusal);
        self.io.put(&refusal_error(refusal));
    }

    fn put_refusal_with_hint(&mut self, refusal: &Refusal, batch: &MessageBatch) {
        self.count_refusal(refusal);
        let error = match refusal.reason {
            RefusalReason::UnsupportedSessionState => refusal_with_hint(
                refusal,
                "It would leave state on a shared connection. Use plain statements, SET LOCAL, \
                 pg_advisory_xact_lock or a table in its place.",
            ),
            RefusalReason::FloorLost => refusal_with_hint(
                refusal,
                "A failover cut this session's last write. Look at the data, then RESET \
                 jujubehold.session.",
            ),
            RefusalReason::RequestNameReused => refusal_with_hint(
                refusal,
                "Another statement ran under this name. Give this one a name of its own by SET \
                 jujubehold.request, or RESET it.",
            ),
            _ if batch.ends_with_flush => refusal_with_hint(refusal, "The session ends."),
            _ => refusal_error(refusal),
        };
        self.io.put(&error);
    }

    fn unknown_hint(&self) -> &'static str {
        if self.request.is_some() || self.is_transaction_named {
            RETRY_BY_NAME_HINT
        } else {
            CHECK_DATA_HINT
        }
    }

    fn count_refusal(&self, refusal: &Refusal) {
        counter!(REFUSALS, "service" => self.service.to_string(),
            "reason" => refusal.reason.as_str())
        .increment(1);
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
