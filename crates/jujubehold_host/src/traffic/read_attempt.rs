//! Attempts a read at one instance.
//!
//! The status query is sent before the read on the same connection, and its answer is judged before
//! any byte of the read's answer is sent to the caller; see docs/notes/callers-side.md.

use std::time::Duration;

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_pg::query;

use super::acknowledge::prove_term;
use super::answer::{AnswerError, Delivery, relay_answer};
use super::answer_plan::{AnswerPlan, FrameAction};
use super::batch_error::BatchError;
use super::checked_out_connection::{CheckedOutConnection, CheckoutError};
use super::message_batch::MessageBatch;
use super::replacement::{open_while_primary, until_replaced};
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use super::write_checks::PROOF_TIMEOUT;
use crate::routing_table::ServiceRoute;

/// How long a read waits for a replica's status if the replica answers no other query either.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// The most bytes of a discarded answer that are read to make its connection reusable.
const MAX_DISCARD_BYTES: usize = 256 * 1024;
/// How long reading a discarded answer may take.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// The error code with which a read-only instance rejects a write.
pub(crate) const READ_ONLY_SQLSTATE: &str = "25006";

/// The outcome of an attempt at one candidate.
pub(super) enum ReadOutcome {
    /// The answer was sent to the caller.
    Served,
    /// Nothing was sent to the caller; another instance may be able to serve the read.
    Next(RetryReason),
    /// The statement turned out to be a write.
    IsWrite,
}

impl Session {
    /// Attempts a read at one instance.
    pub(super) async fn attempt_read(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
        fresh_view: Option<&GroupView>,
        need: &ReadNeed,
        instance: &InstanceId,
    ) -> Result<ReadOutcome, BatchError> {
        let is_replica = route.view.primary.as_ref() != Some(instance);
        let is_trial = is_replica
            && self
                .shared
                .silence_tracker
                .is_silent(&self.service, instance);
        let mut wait = self.connection_wait(batch);
        if is_trial {
            wait = wait.min(SILENCE_TIMEOUT);
        }
        let mut connection = match self.open_candidate(route, instance, wait).await {
            Ok(connection) => connection,
            Err(CheckoutError::Retry(reason)) => {
                self.report_unreachable(instance);
                return Ok(ReadOutcome::Next(reason));
            }
            Err(CheckoutError::Busy) if is_trial => return Ok(self.record_silence(instance)),
            Err(CheckoutError::Busy) => return Err(RefusalReason::DeadlineTooShort.into()),
        };
        let mut bytes = BytesMut::new();
        let has_commands = self.write_settings(&mut connection, &mut bytes);
        bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        let plan = batch.write_for(&mut connection, &mut bytes);
        self.key.running.start(connection.cancel_target());
        let sent_at = self.shared.clock.now();
        if connection.send(&bytes).await.is_err() {
            self.key.running.end();
            return Ok(ReadOutcome::Next(RetryReason::BrokenBeforeSend));
        }
        if has_commands && !self.read_settings_answer(&mut connection).await? {
            return Err(RefusalReason::UnsupportedSessionState.into());
        }
        let status = tokio::select! {
            status = read_status(&mut connection) => status,
            () = self.wait_for_silence(instance, sent_at), if is_replica => {
                return Ok(self.record_silence(instance));
            }
            // The statement holds one of the slots that the next primary's writes need. It has no
            // effect that outlasts its connection, which is closed here.
            () = until_replaced(&self.shared, &self.service, instance), if !is_replica => {
                self.report_unreachable(instance);
                return Ok(ReadOutcome::Next(RetryReason::NotPrimary));
            }
        };
        let Ok(Some(status)) = status else {
            self.report_unreachable(instance);
            return Ok(ReadOutcome::Next(RetryReason::BrokenDuringRead));
        };
        if is_trial {
            self.shared
                .silence_tracker
                .note_answer(&self.service, instance);
        }
        self.report_status(route, sent_at, &status);
        let judgement = self
            .judge(batch, route, fresh_view, need, sent_at, &status)
            .await;
        match judgement {
            ReadJudgement::Serve => {}
            ReadJudgement::Retry => {
                self.discard_answer(connection, plan);
                return Ok(ReadOutcome::Next(RetryReason::ReplicaBehind));
            }
            ReadJudgement::FloorLost => {
                self.discard_answer(connection, plan);
                return Err(RefusalReason::FloorLost.into());
            }
        }
        let answered =
            match relay_answer(&mut connection, plan, &mut self.io, Delivery::Streamed).await {
                Ok(answered) => answered,
                Err(AnswerError::Caller(error)) => return Err(BatchError::Caller(error)),
                Err(AnswerError::Upstream) if self.io.has_flushed => {
                    return Err(BatchError::Ended(UnknownReason::ConnectionLost));
                }
                Err(AnswerError::Upstream) => {
                    self.io.clear();
                    self.report_unreachable(instance);
                    return Ok(ReadOutcome::Next(RetryReason::BrokenDuringRead));
                }
            };
        let is_refused_write = answered.sqlstate.as_deref() == Some(READ_ONLY_SQLSTATE);
        if is_refused_write && !self.io.has_flushed && batch.class == StatementClass::Read {
            self.io.clear();
            self.release_connection(connection);
            return Ok(ReadOutcome::IsWrite);
        }
        let is_primary = route.view.primary.as_ref() == Some(instance);
        let reads = if is_primary {
            &self.metrics.primary_reads
        } else {
            &self.metrics.replica_reads
        };
        reads.increment(1);
        self.finish_answer(connection, instance, &answered, is_primary)
            .await?;
        Ok(ReadOutcome::Served)
    }

    /// Takes a connection to a candidate; to the primary, only until another one replaces it.
    async fn open_candidate(
        &self,
        route: &ServiceRoute,
        instance: &InstanceId,
        wait: Duration,
    ) -> Result<CheckedOutConnection, CheckoutError> {
        let opening = CheckedOutConnection::open(&self.shared, route, instance, wait);
        if route.view.primary.as_ref() != Some(instance) {
            return opening.await;
        }
        let opened = open_while_primary(&self.shared, &self.service, instance, opening).await;
        opened.unwrap_or(Err(CheckoutError::Retry(RetryReason::NotPrimary)))
    }

    /// Completes once `instance` has answered no query for [`SILENCE_TIMEOUT`], counted from
    /// `sent_at`.
    ///
    /// An instance that answers other queries is slow rather than silent, and sending the read
    /// elsewhere would only move its load.
    async fn wait_for_silence(&self, instance: &InstanceId, sent_at: Monotonic) {
        let mut last_answer_at = sent_at;
        loop {
            actix_rt::time::sleep(SILENCE_TIMEOUT).await;
            let route = self.shared.route(&self.service);
            let sample = route
                .as_ref()
                .and_then(|route| route.view.samples.get(instance));
            match sample {
                Some(sample) if sample.sent_at > last_answer_at => last_answer_at = sample.sent_at,
                Some(_) | None => return,
            }
        }
    }

    fn record_silence(&self, instance: &InstanceId) -> ReadOutcome {
        self.report_unreachable(instance);
        let now = self.shared.clock.now();
        self.shared
            .silence_tracker
            .note_silent(&self.service, now, instance);
        ReadOutcome::Next(RetryReason::InstanceSilent)
    }

    /// Judges an answer by the status that was requested before it at `sent_at`.
    ///
    /// If replicas have not confirmed the primary's term recently, they are asked and the answer is
    /// judged again.
    pub(crate) async fn judge(
        &self,
        batch: &MessageBatch,
        route: &ServiceRoute,
        fresh_view: Option<&GroupView>,
        need: &ReadNeed,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) -> ReadJudgement {
        let authority = &self.shared.settings.authority;
        // The view may have changed while the answer was in transit.
        let latest = self.shared.route(&self.service);
        let table_view = latest.as_ref().map_or(&route.view, |route| &route.view);
        let view = fresh_view
            .filter(|view| view.term >= table_view.term)
            .unwrap_or(table_view);
        let judgement = need.judge(&route.config, view, authority, sent_at, status);
        if judgement != ReadJudgement::Retry || !status.is_primary_of(view.term) {
            return judgement;
        }
        let mut proved = view.clone();
        let limit = self.shared.clock.now() + PROOF_TIMEOUT;
        prove_term(&self.shared, route, &mut proved, limit.min(batch.deadline)).await;
        need.judge(&route.config, &proved, authority, sent_at, status)
    }

    // Reads the answer to its end in the background, so that the caller does not wait for it.
    fn discard_answer(&self, mut connection: CheckedOutConnection, plan: AnswerPlan) {
        let is_uncancelled = self.key.running.end();
        actix_rt::spawn(async move {
            let discarded =
                tokio::time::timeout(DISCARD_TIMEOUT, read_discarded(&mut connection, plan)).await;
            connection.release(is_uncancelled && discarded == Ok(true));
        });
    }
}

// Returns whether the connection may be reused.
async fn read_discarded(connection: &mut CheckedOutConnection, mut plan: AnswerPlan) -> bool {
    let mut bytes_read = 0;
    let mut scratch = BytesMut::new();
    while bytes_read < MAX_DISCARD_BYTES {
        plan.write_synthesized(&mut scratch);
        let Ok(frame) = connection.receive().await else {
            return false;
        };
        bytes_read += frame.bytes().len();
        match plan.next_action(&frame) {
            FrameAction::Ready(status) => {
                plan.correct(connection.prepared());
                return status == b'I';
            }
            FrameAction::Unexpected | FrameAction::ProxyStatementFailed => return false,
            FrameAction::Forward | FrameAction::ForwardInstead(_) | FrameAction::Discard => {}
        }
    }
    false
}
