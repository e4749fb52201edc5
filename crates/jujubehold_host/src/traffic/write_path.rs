//! Runs writes outside of a transaction, and acknowledges commits.
//!
//! The status query that follows each write returns the position of its commit. The answer is held
//! back until [`acknowledge`] allows it. See docs/notes/write-path.md.

use std::pin::pin;

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_core::route::route_write;
use jujubehold_pg::{parameter_status, query, ready_for_query};

use super::acknowledge::{Commit, acknowledge};
use super::answer::{AnswerError, AnswerSummary, Delivery, relay_answer};
use super::batch_error::BatchError;
use super::checked_out_connection::{CheckedOutConnection, CheckoutError};
use super::message_batch::MessageBatch;
use super::read_attempt::READ_ONLY_SQLSTATE;
use super::replacement::{open_while_primary, while_primary};
use super::session::Session;
use super::session_settings::SESSION_SETTING;
use super::status_answer::{STATUS_QUERY, read_status};
use super::transaction::PinnedConnection;
use crate::pool::SendFailure;
use crate::routing_table::ServiceRoute;

/// The outcome of one attempt at a write.
pub(crate) enum WriteOutcome {
    /// The answer was sent to the caller.
    Done,
    /// The write did not run, and may be attempted again.
    Retry(RetryReason),
}

/// A connection to the primary and the primary's name, or the reason why there is none; in that
/// case nothing was sent.
pub(crate) type OpenedPrimary = Result<(CheckedOutConnection, InstanceId), RetryReason>;

impl Session {
    /// Runs a write on the primary and acknowledges it; retries it once if it did not run.
    pub(crate) async fn run_write(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<(), BatchError> {
        let first = self.attempt_write(batch, route).await?;
        let WriteOutcome::Retry(reason) = first else {
            return Ok(());
        };
        // The first attempt may have led to a new route.
        let latest = self.shared.route(&self.service);
        let latest = latest.ok_or(RefusalReason::UnknownService)?;
        let is_same = latest.view.primary == route.view.primary;
        if reason == RetryReason::NotPrimary && is_same {
            return Err(RefusalReason::NoPrimary.into());
        }
        if !self.shared.retries.try_retry(&self.service, reason) {
            return Err(RefusalReason::RetryBudgetSpent.into());
        }
        match self.attempt_write(batch, &latest).await? {
            WriteOutcome::Done => Ok(()),
            WriteOutcome::Retry(RetryReason::NotPrimary) => Err(RefusalReason::NoPrimary.into()),
            WriteOutcome::Retry(_) => Err(RefusalReason::UpstreamUnreachable.into()),
        }
    }

    async fn attempt_write(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<WriteOutcome, BatchError> {
        if self.runs_under_name(batch) {
            // Boxed, so that sessions without named writes don't reserve memory for this future.
            return Box::pin(self.attempt_named_write(batch, route)).await;
        }
        self.attempt_unnamed_write(batch, route).await
    }

    /// Takes a connection to the primary and applies the session's settings to it.
    pub(crate) async fn open_primary(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<OpenedPrimary, BatchError> {
        let instance = route_write(&route.config, &route.view)?;
        self.check_floor(route)?;
        self.check_confirmable(route).await?;
        let wait = self.connection_wait(batch);
        let opening = CheckedOutConnection::open(&self.shared, route, &instance, wait);
        let opened = open_while_primary(&self.shared, &self.service, &instance, opening).await;
        let Some(opened) = opened else {
            return Ok(Err(RetryReason::NotPrimary));
        };
        let mut connection = match opened {
            Ok(connection) => connection,
            Err(CheckoutError::Retry(reason)) => {
                self.report_unreachable(&instance);
                return Ok(Err(reason));
            }
            Err(CheckoutError::Busy) => return Err(RefusalReason::DeadlineTooShort.into()),
        };
        let mut bytes = BytesMut::new();
        if self.write_settings(&mut connection, &mut bytes) {
            if connection.send(&bytes).await.is_err() {
                return Ok(Err(RetryReason::BrokenBeforeSend));
            }
            if !self.read_settings_answer(&mut connection).await? {
                return Err(RefusalReason::UnsupportedSessionState.into());
            }
        }
        Ok(Ok((connection, instance)))
    }

    async fn attempt_unnamed_write(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<WriteOutcome, BatchError> {
        let (mut connection, instance) = match self.open_primary(batch, route).await? {
            Ok(opened) => opened,
            Err(reason) => return Ok(WriteOutcome::Retry(reason)),
        };
        let mut bytes = BytesMut::new();
        let plan = batch.write_for(&mut connection, &mut bytes);
        bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        self.key.running.start(connection.cancel_target());
        let sent_at = self.shared.clock.now();
        match connection.send(&bytes).await {
            Ok(()) => {}
            Err(SendFailure::NotSent) => {
                self.report_unreachable(&instance);
                return Ok(WriteOutcome::Retry(RetryReason::BrokenBeforeSend));
            }
            Err(SendFailure::MaybeSent) => {
                self.report_unreachable(&instance);
                return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
            }
        }
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let answer = async {
            Ok(relay_answer(&mut connection, plan, &mut self.io, Delivery::HoldEnd).await)
        };
        let relayed = while_primary(&shared, &service, &instance, answer).await?;
        let answered = self.check_relayed(relayed, &instance)?;
        if answered.status != Some(b'I') {
            // The text opened a transaction, and the status query ran within it.
            return self.pin_connection(connection, instance, answered).await;
        }
        let is_refused = answered.sqlstate.as_deref() == Some(READ_ONLY_SQLSTATE);
        if is_refused && batch.is_single && !self.io.has_flushed {
            if let Ok(Some(status)) = read_status(&mut connection).await {
                self.report_status(route, sent_at, &status);
            }
            self.io.clear();
            self.release_connection(connection);
            return Ok(WriteOutcome::Retry(RetryReason::NotPrimary));
        }
        let answer = async { Ok(read_status(&mut connection).await) };
        let status = while_primary(&shared, &service, &instance, answer).await?;
        if answered.sqlstate.is_some() && batch.is_single {
            // The upstream's error proves that nothing ran.
            self.release_connection(connection);
            self.io.put(&ready_for_query(b'I'));
            self.io.flush().await.map_err(BatchError::Caller)?;
            return Ok(WriteOutcome::Done);
        }
        let Ok(Some(status)) = status else {
            self.report_unreachable(&instance);
            return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
        };
        self.release_connection(connection);
        self.report_status(route, sent_at, &status);
        self.acknowledge_commit(batch, route, instance, sent_at, &status)
            .await?;
        Ok(WriteOutcome::Done)
    }

    /// Sends the end of a commit's answer to the caller once the commit may be acknowledged.
    pub(crate) async fn acknowledge_commit(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
        instance: InstanceId,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) -> Result<(), BatchError> {
        if !status.is_primary_of(status.term) {
            return Err(BatchError::Unknown(UnknownReason::AuthorityLost));
        }
        let commit = Commit {
            instance,
            term: status.term,
            position: status.last_commit,
            primary_query_sent_at: sent_at,
        };
        let (term, position) = (commit.term, commit.position);
        let token = self.token_raised_to(term, position);
        let started_at = self.shared.clock.now();
        self.wait_for_acknowledgement(batch, route, commit).await?;
        self.raise_floor(term, position);
        // No await point lies between the decision and the write to the caller's socket.
        self.io.put(&parameter_status(SESSION_SETTING, &token));
        self.io.put(&ready_for_query(b'I'));
        self.io.flush().await.map_err(BatchError::Caller)?;
        let confirm_time = self.shared.clock.now().saturating_sub(started_at);
        self.metrics
            .confirm_seconds
            .record(confirm_time.as_secs_f64());
        self.metrics.writes.increment(1);
        Ok(())
    }

    async fn wait_for_acknowledgement(
        &self,
        batch: &MessageBatch,
        route: &ServiceRoute,
        commit: Commit,
    ) -> Result<(), BatchError> {
        let primary = commit.instance.clone();
        // Pinned here, so that the session's future does not hold it twice.
        let acknowledged = pin!(async {
            let acknowledged = acknowledge(&self.shared, route, commit, batch.deadline).await;
            acknowledged.map_err(BatchError::Unknown)
        });
        while_primary(&self.shared, &self.service, &primary, acknowledged).await
    }

    /// Converts the failure of an answer into the error that the caller receives.
    pub(crate) fn check_relayed(
        &mut self,
        relayed: Result<AnswerSummary, AnswerError>,
        instance: &InstanceId,
    ) -> Result<AnswerSummary, BatchError> {
        match relayed {
            Ok(answered) => Ok(answered),
            Err(AnswerError::Caller(error)) => Err(BatchError::Caller(error)),
            Err(AnswerError::Upstream) => {
                self.report_unreachable(instance);
                Err(BatchError::Unknown(UnknownReason::ConnectionLost))
            }
        }
    }

    async fn pin_connection(
        &mut self,
        mut connection: CheckedOutConnection,
        instance: InstanceId,
        answered: AnswerSummary,
    ) -> Result<WriteOutcome, BatchError> {
        if read_status(&mut connection).await.is_err() {
            return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
        }
        let status = answered.status.unwrap_or(b'E');
        self.io.put(&ready_for_query(status));
        self.pinned = Some(PinnedConnection {
            connection,
            instance,
            is_primary: true,
            is_in_pipeline: false,
            status,
        });
        self.io.flush().await.map_err(BatchError::Caller)?;
        Ok(WriteOutcome::Done)
    }
}
