//! A caller's session: reads its messages and routes each batch of them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::admission::SlotTarget;
use jujubehold_core::prelude::*;
use jujubehold_core::request_name::RequestName;
use jujubehold_core::session_floor::FloorKnowledge;
use jujubehold_pg::{Classifier, ExtendedMessage, Frame, FrameError, frontend};
use metrics::gauge;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::batch_error::{BatchError, refusal};
use super::caller_io::CallerIo;
use super::cancel::SessionKeyData;
use super::checked_out_connection::CheckedOutConnection;
use super::message_batch::{ExtendedItem, MessageBatch};
use super::prepared_statement::PreparedStatement;
use super::session_metrics::SessionMetrics;
use super::session_settings::{StartupSettings, UpstreamSettings};
use super::session_statements::{STATEMENTS_HINT, SessionStatements};
use super::transaction::PinnedConnection;
use crate::drain_phase::DrainPhase;
use crate::metric_names::SESSIONS;
use crate::routing_table::ServiceRoute;
use crate::shared::Shared;

thread_local! {
    static CLASSIFIER: Classifier = Classifier::default();
}

/// A caller's session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) io: CallerIo,
    pub(crate) shared: Arc<Shared>,
    pub(crate) service: ServiceId,
    pub(crate) user: SmolStr,
    pub(crate) key: SessionKeyData,
    /// What is known of the session's last write, which its later statements must observe.
    pub(crate) floor: FloorKnowledge,
    pub(crate) upstream_settings: UpstreamSettings,
    /// The connection of the open transaction or pipeline.
    pub(crate) pinned: Option<PinnedConnection>,
    /// Whether the open transaction has a request name.
    pub(crate) is_transaction_named: bool,
    /// The request name of the next write.
    pub(crate) request: Option<RequestName>,
    pub(crate) metrics: SessionMetrics,
    phase: watch::Receiver<DrainPhase>,
    pub(crate) statements: SessionStatements,
    /// The messages of the extended protocol since the last Sync or Flush.
    pub(crate) pipeline: Vec<ExtendedItem>,
    pub(crate) pipeline_bytes: usize,
    /// Whether the pipeline prepares more statements than the session may have.
    pub(crate) exceeds_limit: bool,
    /// The names that the pipeline's Parse and Close messages changed, and what they stood for.
    pub(crate) replaced: Vec<(SmolStr, Option<Rc<PreparedStatement>>)>,
}

impl Session {
    /// Creates a session of `user` with `service`.
    pub(crate) fn new(
        io: CallerIo,
        shared: Arc<Shared>,
        service: ServiceId,
        user: SmolStr,
        startup: StartupSettings,
    ) -> Self {
        gauge!(SESSIONS).increment(1);
        let key = shared.cancels.add_session();
        let phase = shared.phase.clone();
        let metrics = SessionMetrics::new(&service);
        let floor = startup
            .floor
            // A caller that moves to this host had its earlier writes acknowledged before it
            // connected.
            .map_or_else(
                || FloorKnowledge::UnknownBefore(shared.clock.now()),
                FloorKnowledge::Floor,
            );
        Self {
            io,
            shared,
            service,
            user,
            key,
            floor,
            upstream_settings: startup.upstream_settings,
            pinned: None,
            is_transaction_named: false,
            request: startup.request,
            metrics,
            phase,
            statements: SessionStatements::default(),
            pipeline: Vec::new(),
            pipeline_bytes: 0,
            exceeds_limit: false,
            replaced: Vec::new(),
        }
    }

    /// Serves the caller until it disconnects.
    pub(crate) async fn serve(&mut self) -> Result<(), FrameError> {
        while let Some(frame) = self.next_frame().await? {
            self.handle_frame(frame).await?;
        }
        Ok(())
    }

    /// Returns the caller's next message, or `None` once the caller was informed that the host shuts
    /// down, which happens between transactions, or when no time is left for the open one. That one is
    /// rolled back with the session.
    async fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let is_between_transactions = self.pinned.is_none() && self.pipeline.is_empty();
        let end_at = if is_between_transactions {
            DrainPhase::Finishing
        } else {
            DrainPhase::Answering
        };
        let phase = &mut self.phase;
        tokio::select! {
            biased;
            frame = self.io.read() => return frame,
            _ = phase.wait_for(|phase| *phase >= end_at) => {}
        }
        self.put_refusal(&refusal(RefusalReason::ShuttingDown));
        self.io.flush().await?;
        Ok(None)
    }

    async fn handle_frame(&mut self, frame: Frame) -> Result<(), FrameError> {
        match frame.tag() {
            frontend::TERMINATE => Err(FrameError::Truncated),
            frontend::QUERY => {
                let Some(text) = frame.first_text() else {
                    return self.end_malformed("a text that is not UTF-8").await;
                };
                let class = classify(text);
                let is_single = !text.trim_end().trim_end_matches(';').contains(';');
                self.run_batch(MessageBatch::simple(frame, class, is_single))
                    .await
            }
            frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => Ok(()),
            _ => {
                let Ok(Some(message)) = ExtendedMessage::read(&frame) else {
                    return self.end_malformed("unknown message").await;
                };
                self.add_to_pipeline(message, frame).await
            }
        }
    }

    /// Refuses a message that breaks the protocol, and ends the session.
    pub(crate) async fn end_malformed(&mut self, problem: &str) -> Result<(), FrameError> {
        self.put_refusal(&refusal(RefusalReason::ProtocolViolation));
        self.io.flush().await?;
        Err(FrameError::Malformed(problem.to_owned()))
    }

    /// Runs a batch and sends an error to the caller if it fails.
    pub(crate) async fn run_batch(&mut self, mut batch: MessageBatch) -> Result<(), FrameError> {
        batch.arrived_at = self.shared.clock.now();
        self.io.has_flushed = false;
        self.io.skipped_definitions = 0;
        let Err(error) = self.run_while_serving(&mut batch).await else {
            let taken = self.shared.clock.now().saturating_sub(batch.arrived_at);
            let seconds = match batch.class {
                StatementClass::Read | StatementClass::BeginReadOnly => &self.metrics.read_seconds,
                _ => &self.metrics.write_seconds,
            };
            seconds.record(taken.as_secs_f64());
            return Ok(());
        };
        self.io.skipped_definitions = usize::MAX;
        self.report_error(error, &batch).await
    }

    // Runs a batch until the host has to answer everything. Its connection is closed then, so the outcome
    // is not known.
    async fn run_while_serving(&mut self, batch: &mut MessageBatch) -> Result<(), BatchError> {
        let mut phase = self.phase.clone();
        tokio::select! {
            biased;
            result = self.try_run_batch(batch) => result,
            _ = phase.wait_for(|phase| *phase == DrainPhase::Answering) => {
                Err(BatchError::Unknown(UnknownReason::ShuttingDown))
            }
        }
    }

    async fn try_run_batch(&mut self, batch: &mut MessageBatch) -> Result<(), BatchError> {
        if batch.exceeds_limit {
            return Err(BatchError::Hinted {
                refusal: refusal(RefusalReason::ProtocolViolation),
                hint: STATEMENTS_HINT,
            });
        }
        if batch.has_session_command() {
            return Box::pin(self.run_session_batch(batch)).await;
        }
        if batch.class == StatementClass::Unsupported {
            return Err(RefusalReason::UnsupportedSessionState.into());
        }
        let route = self
            .shared
            .route(&self.service)
            .ok_or(RefusalReason::UnknownService)?;
        batch.deadline = batch.arrived_at + route.config.statement_timeout;
        if let Some(pinned) = self.pinned.take() {
            return Box::pin(self.run_pinned(pinned, batch, &route)).await;
        }
        self.shared.retries.count_request(&self.service);
        let target = if batch.ends_with_flush || self.is_named_write(batch) {
            SlotTarget::Primary
        } else {
            SlotTarget::of(batch.class)
        };
        let slot = self
            .shared
            .admission
            .admit(
                self.shared.clock,
                &route,
                target,
                &self.user,
                batch.deadline,
            )
            .await?;
        let waited = self.shared.clock.now().saturating_sub(batch.arrived_at);
        self.metrics.slot_wait_seconds.record(waited.as_secs_f64());
        let limit = batch.deadline.saturating_sub(self.shared.clock.now());
        let result = tokio::time::timeout(limit, self.run_routed(batch, &route)).await;
        drop(slot);
        result.unwrap_or(Err(BatchError::Unknown(UnknownReason::TimedOut)))
    }

    // An idle caller's task takes as much memory as its largest path, and most callers mostly read.
    // The other paths are boxed, which keeps them out of the task.
    async fn run_routed(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<(), BatchError> {
        if self.is_named_write(batch) {
            return Box::pin(self.run_write(batch, route)).await;
        }
        if batch.ends_with_flush {
            return Box::pin(self.run_begin(batch, route)).await;
        }
        match batch.class {
            StatementClass::Read | StatementClass::BeginReadOnly => {
                self.run_read(batch, route).await
            }
            StatementClass::Begin => Box::pin(self.run_begin(batch, route)).await,
            StatementClass::Write
            | StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::Session
            | StatementClass::Unsupported => Box::pin(self.run_write(batch, route)).await,
        }
    }

    /// Returns how long a batch may wait for a connection.
    ///
    /// Part of its time is reserved, so that a caller whose request was not sent learns that it did
    /// not run, rather than that its outcome is unknown.
    pub(crate) fn connection_wait(&self, batch: &MessageBatch) -> Duration {
        batch.deadline.saturating_sub(self.shared.clock.now()) * 3 / 4
    }

    /// Releases a connection after a complete answer.
    pub(crate) fn release_connection(&self, connection: CheckedOutConnection) {
        let is_uncancelled = self.key.running.end();
        connection.release(is_uncancelled);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        gauge!(SESSIONS).decrement(1);
    }
}

/// Returns the class of `text`, determined by this thread's classifier.
pub(crate) fn classify(text: &str) -> StatementClass {
    CLASSIFIER.with(|classifier| classifier.classify(text))
}
