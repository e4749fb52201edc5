//! One caller's session: reads what it sends and sends each unit on its way.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::admission::RequestClass;
use jujubehold_core::prelude::*;
use jujubehold_core::session_floor::FloorKnowledge;
use jujubehold_core::session_token::sign_token;
use jujubehold_pg::{Classifier, ExtendedMessage, Frame, FrameError, frontend, ready_for_query};
use metrics::{counter, gauge, histogram};
use smol_str::SmolStr;
use tokio::sync::watch;

use super::caller_io::CallerIo;
use super::cancel::SessionKeyData;
use super::lane::Lane;
use super::prepared::Prepared;
use super::session_settings::{CarriedSettings, StartupSettings};
use super::transaction::Pinned;
use super::unit::{ExtendedItem, StatementRef, Unit};
use super::upstream_error::{fatal_error, refusal_error, refusal_with_hint, unknown_error};
use crate::drain_phase::DrainPhase;
use crate::metric_names::{REFUSALS, SESSIONS, STATEMENT_SECONDS, UNKNOWNS};
use crate::routing_table::ServiceRoute;
use crate::shared::Shared;

/// When a refused caller should come back, where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(100);
/// The most messages of the extended protocol before a Sync.
const MAX_PIPELINE: usize = 16_384;
/// The most bytes of messages before a Sync.
const MAX_PIPELINE_BYTES: usize = 64 * 1024 * 1024;
/// The most statements that a caller may keep prepared.
const MAX_PREPARED: usize = 4096;

thread_local! {
    static CLASSIFIER: Classifier = Classifier::default();
}

/// One caller's session.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) io: CallerIo,
    pub(crate) shared: Arc<Shared>,
    pub(crate) service: ServiceId,
    pub(crate) user: SmolStr,
    pub(crate) key: SessionKeyData,
    pub(crate) floor: FloorKnowledge,
    pub(crate) carried: CarriedSettings,
    pub(crate) pinned: Option<Pinned>,
    phase: watch::Receiver<DrainPhase>,
    statements: BTreeMap<SmolStr, Rc<Prepared>>,
    pipeline: Vec<ExtendedItem>,
    pipeline_bytes: usize,
}

/// Why a unit was not answered by its upstream.
#[derive(Debug)]
pub(crate) enum UnitError {
    /// It did not run.
    Refused(Refusal),
    /// It did not run, and there is something particular to do.
    Hinted {
        refusal: Refusal,
        hint: &'static str,
    },
    /// It may have run.
    Unknown(UnknownReason),
    /// The session can't go on: half an answer was given, or a transaction was lost.
    Ended(UnknownReason),
    /// The caller is gone.
    Caller(FrameError),
}

impl From<Refusal> for UnitError {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<RefusalReason> for UnitError {
    fn from(reason: RefusalReason) -> Self {
        Self::Refused(refusal(reason))
    }
}

/// A refusal with the usual time to come back.
pub(crate) fn refusal(reason: RefusalReason) -> Refusal {
    if reason.is_transient() {
        Refusal::transient(reason, RETRY_AFTER)
    } else {
        Refusal::permanent(reason)
    }
}

impl Session {
    /// A session of `user` with `service`.
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
        let floor = startup
            .floor
            .map_or(FloorKnowledge::Unknown, FloorKnowledge::Floor);
        Self {
            io,
            shared,
            service,
            user,
            key,
            floor,
            carried: startup.carried,
            pinned: None,
            phase,
            statements: BTreeMap::new(),
            pipeline: Vec::new(),
            pipeline_bytes: 0,
        }
    }

    /// Serves the caller until it leaves.
    pub(crate) async fn serve(&mut self) -> Result<(), FrameError> {
        while let Some(frame) = self.next_frame().await? {
            self.take(frame).await?;
        }
        Ok(())
    }

    /// The caller's next message; `None` when it left, or was told that the host shuts down, which
    /// it is only between transactions.
    async fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.pinned.is_some() || !self.pipeline.is_empty() {
            return self.io.read().await;
        }
        let phase = &mut self.phase;
        tokio::select! {
            biased;
            frame = self.io.read() => return frame,
            _ = phase.wait_for(|phase| *phase == DrainPhase::Finishing) => {}
        }
        self.put_refusal(&refusal(RefusalReason::ShuttingDown));
        self.io.flush().await?;
        Ok(None)
    }

    async fn take(&mut self, frame: Frame) -> Result<(), FrameError> {
        match frame.tag() {
            frontend::TERMINATE => Err(FrameError::Truncated),
            frontend::QUERY => {
                let text = frame.first_text().unwrap_or_default();
                let class = classify(text);
                let is_single = !text.trim_end().trim_end_matches(';').contains(';');
                self.run(Unit::simple(frame, class, is_single)).await
            }
            frontend::COPY_DATA | frontend::COPY_DONE | frontend::COPY_FAIL => Ok(()),
            _ => {
                let Ok(Some(message)) = ExtendedMessage::read(&frame) else {
                    self.put_refusal(&refusal(RefusalReason::ProtocolViolation));
                    self.io.flush().await?;
                    return Err(FrameError::Malformed("unknown message".to_owned()));
                };
                self.add_to_pipeline(message, frame).await
            }
        }
    }

    async fn add_to_pipeline(
        &mut self,
        message: ExtendedMessage,
        frame: Frame,
    ) -> Result<(), FrameError> {
        self.pipeline_bytes += frame.bytes().len();
        let item = match message {
            ExtendedMessage::Parse {
                name,
                text_and_types,
                text_bytes,
            } => {
                let text = std::str::from_utf8(&text_and_types[..text_bytes]).unwrap_or_default();
                let class = classify(text);
                let prepared = Rc::new(Prepared::new(text_and_types, text_bytes, class));
                self.statements.insert(name, prepared.clone());
                ExtendedItem::Parse(prepared)
            }
            ExtendedMessage::Bind {
                portal,
                statement,
                rest,
            } => ExtendedItem::Bind {
                statement: self.statement(statement),
                portal,
                rest,
            },
            ExtendedMessage::DescribeStatement(name) => {
                ExtendedItem::DescribeStatement(self.statement(name))
            }
            ExtendedMessage::DescribePortal => ExtendedItem::DescribePortal(frame),
            ExtendedMessage::Execute { .. } => ExtendedItem::Execute(frame),
            ExtendedMessage::CloseStatement(name) => {
                self.statements.remove(&name);
                ExtendedItem::CloseStatement
            }
            ExtendedMessage::ClosePortal => ExtendedItem::ClosePortal(frame),
            ExtendedMessage::Sync => ExtendedItem::Sync,
            ExtendedMessage::Flush => ExtendedItem::Flush,
        };
        let is_end = matches!(item, ExtendedItem::Sync | ExtendedItem::Flush);
        self.pipeline.push(item);
        if self.pipeline.len() > MAX_PIPELINE
            || self.pipeline_bytes > MAX_PIPELINE_BYTES
            || self.statements.len() > MAX_PREPARED
        {
            return Err(FrameError::Malformed("a pipeline is too long".to_owned()));
        }
        if !is_end {
            return Ok(());
        }
        self.pipeline_bytes = 0;
        let items = std::mem::take(&mut self.pipeline);
        self.run(Unit::extended(items)).await
    }

    fn statement(&self, name: SmolStr) -> StatementRef {
        match self.statements.get(&name) {
            Some(prepared) => StatementRef::Known(prepared.clone()),
            None => StatementRef::Unknown(name),
        }
    }

    /// Runs a unit and tells the caller what came of it.
    async fn run(&mut self, mut unit: Unit) -> Result<(), FrameError> {
        unit.arrived_at = self.shared.clock.now();
        self.io.has_given = false;
        let path = match unit.class {
            StatementClass::Read | StatementClass::BeginReadOnly => "read",
            _ => "write",
        };
        let Err(error) = self.try_run(&mut unit).await else {
            let taken = self.shared.clock.now().saturating_sub(unit.arrived_at);
            histogram!(STATEMENT_SECONDS, "service" => self.service.to_string(), "path" => path)
                .record(taken.as_secs_f64());
            return Ok(());
        };
        self.tell(error, &unit).await
    }

    async fn try_run(&mut self, unit: &mut Unit) -> Result<(), UnitError> {
        if unit.has_session_command() {
            return self.run_session_unit(unit).await;
        }
        if unit.class == StatementClass::Unsupported {
            return Err(RefusalReason::UnsupportedSessionState.into());
        }
        let route = self
            .shared
            .route(&self.service)
            .ok_or(RefusalReason::UnknownService)?;
        unit.deadline = unit.arrived_at + route.config.statement_timeout;
        if let Some(pinned) = self.pinned.take() {
            return self.run_pinned(pinned, unit, &route).await;
        }
        self.shared.retries.count_request(&self.service);
        let class = match unit.class {
            StatementClass::Read | StatementClass::BeginReadOnly => RequestClass::Lookup,
            _ => RequestClass::Write,
        };
        let slot = self
            .shared
            .admission
            .admit(
                self.shared.clock,
                &route.config,
                &self.user,
                class,
                unit.deadline,
            )
            .await?;
        let limit = unit.deadline.saturating_sub(self.shared.clock.now());
        let result = tokio::time::timeout(limit, self.run_routed(unit, &route)).await;
        drop(slot);
        result.unwrap_or(Err(UnitError::Unknown(UnknownReason::TimedOut)))
    }

    async fn run_routed(&mut self, unit: &Unit, route: &ServiceRoute) -> Result<(), UnitError> {
        if unit.ends_with_flush {
            return self.run_begin(unit, route).await;
        }
        match unit.class {
            StatementClass::Read | StatementClass::BeginReadOnly => {
                self.run_read(unit, route).await
            }
            StatementClass::Begin => self.run_begin(unit, route).await,
            StatementClass::Write
            | StatementClass::Commit
            | StatementClass::Rollback
            | StatementClass::Session
            | StatementClass::Unsupported => self.run_write(unit, route).await,
        }
    }

    async fn tell(&mut self, error: UnitError, unit: &Unit) -> Result<(), FrameError> {
        self.key.running.end();
        let service = self.service.to_string();
        let error = match error {
            UnitError::Unknown(reason) if self.io.has_given => UnitError::Ended(reason),
            other => other,
        };
        if !self.io.has_given {
            self.io.clear();
        }
        match error {
            UnitError::Refused(refusal) => {
                self.put_refusal_hint(&refusal, unit);
            }
            UnitError::Hinted { refusal, hint } => {
                self.count_refusal(&refusal);
                self.io.put(&refusal_with_hint(&refusal, hint));
            }
            UnitError::Unknown(reason) => {
                counter!(UNKNOWNS, "service" => service, "reason" => reason.as_str()).increment(1);
                self.io.put(&unknown_error(reason));
            }
            UnitError::Ended(reason) => {
                counter!(UNKNOWNS, "service" => service, "reason" => reason.as_str()).increment(1);
                self.pinned = None;
                self.io.clear();
                self.io.put(&fatal_error(reason));
                self.io.flush().await?;
                return Err(FrameError::Truncated);
            }
            UnitError::Caller(error) => return Err(error),
        }
        if unit.ends_with_flush {
            // The caller's pipeline is void up to its Sync, which this host can't wait for.
            self.io.flush().await?;
            return Err(FrameError::Truncated);
        }
        let status = self.pinned.as_ref().map_or(b'I', |pinned| pinned.status);
        self.io.put(&ready_for_query(status));
        self.io.flush().await
    }

    fn put_refusal(&mut self, refusal: &Refusal) {
        self.count_refusal(refusal);
        self.io.put(&refusal_error(refusal));
    }

    fn put_refusal_hint(&mut self, refusal: &Refusal, unit: &Unit) {
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
            _ if unit.ends_with_flush => refusal_with_hint(refusal, "The session ends."),
            _ => refusal_error(refusal),
        };
        self.io.put(&error);
    }

    fn count_refusal(&self, refusal: &Refusal) {
        counter!(REFUSALS, "service" => self.service.to_string(),
            "reason" => refusal.reason.as_str())
        .increment(1);
    }

    /// The session's floor as a token; empty when it has none.
    pub(crate) fn token(&self) -> String {
        match &self.floor {
            FloorKnowledge::Floor(floor) => self.sign(floor),
            FloorKnowledge::NoWrites | FloorKnowledge::Unknown => String::new(),
        }
    }

    /// The token that the session has once its floor is raised.
    pub(crate) fn token_raised_to(&self, term: Term, position: Position) -> String {
        self.sign(&self.floor_raised_to(term, position))
    }

    /// Raises the session's floor.
    pub(crate) fn raise_floor(&mut self, term: Term, position: Position) {
        self.floor = FloorKnowledge::Floor(self.floor_raised_to(term, position));
    }

    fn floor_raised_to(&self, term: Term, position: Position) -> Floor {
        let mut floor = match &self.floor {
            FloorKnowledge::Floor(floor) => floor.clone(),
            FloorKnowledge::NoWrites | FloorKnowledge::Unknown => Floor {
                service: self.service.clone(),
                term,
                position,
            },
        };
        floor.raise(term, position);
        floor
    }

    fn sign(&self, floor: &Floor) -> String {
        sign_token(self.shared.settings.token_key.as_bytes(), floor)
    }

    /// Ends the use of a lane after a whole answer.
    pub(crate) fn finish_lane(&self, lane: Lane) {
        let is_uncancelled = self.key.running.end();
        lane.finish(is_uncancelled);
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        gauge!(SESSIONS).decrement(1);
    }
}

fn classify(text: &str) -> StatementClass {
    CLASSIFIER.with(|classifier| classifier.classify(text))
}
