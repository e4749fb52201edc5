//! Statements within a transaction, which stay on their connection.

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError, backend, query, ready_for_query};

use super::answer::{Giving, pass_answer};
use super::lane::Lane;
use super::replacement::while_primary;
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use super::unit::Unit;
use super::unit_error::UnitError;
use crate::routing_table::ServiceRoute;

/// A lane that a session keeps, because a transaction or a pipeline is open on it.
///
/// It is closed when the caller dies, so that the upstream rolls the transaction back.
#[derive(Debug)]
pub(crate) struct Pinned {
    pub(crate) lane: Lane,
    pub(crate) instance: InstanceId,
    /// Whether what is committed on it needs an acknowledgement.
    pub(crate) is_primary: bool,
    /// Whether the caller's pipeline goes on without a Sync.
    pub(crate) is_in_pipeline: bool,
    /// The transaction status that the caller was told.
    pub(crate) status: u8,
}

impl Session {
    /// Runs a unit on the session's pinned lane.
    ///
    /// A failure ends the session: the transaction is lost, and what the caller sends next must
    /// not run outside of it.
    pub(crate) async fn run_pinned(
        &mut self,
        pinned: Pinned,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<(), UnitError> {
        let limit = unit.deadline.saturating_sub(self.shared.clock.now());
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let primary = pinned.is_primary.then(|| pinned.instance.clone());
        let run = self.run_in_transaction(pinned, unit, route);
        let run = async {
            match primary {
                Some(primary) => while_primary(&shared, &service, &primary, run).await,
                None => run.await,
            }
        };
        let result = tokio::time::timeout(limit, run)
            .await
            .unwrap_or(Err(UnitError::Unknown(UnknownReason::TimedOut)));
        if result.is_ok() && self.pinned.is_none() {
            self.is_transaction_named = false;
        }
        match result {
            Err(UnitError::Unknown(reason)) => Err(UnitError::Ended(reason)),
            other => other,
        }
    }

    async fn run_in_transaction(
        &mut self,
        mut pinned: Pinned,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<(), UnitError> {
        let mut bytes = BytesMut::new();
        let plan = unit.write_for(&mut pinned.lane, &mut bytes);
        let is_commit = unit.class == StatementClass::Commit && !unit.ends_with_flush;
        if is_commit {
            bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        }
        self.key.running.start(pinned.lane.cancel_target());
        let mut asked_at = self.shared.clock.now();
        if pinned.lane.send(&bytes).await.is_err() {
            self.report_unreachable(&pinned.instance);
            return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
        }
        let is_plain = unit.class == StatementClass::Read && !pinned.is_in_pipeline;
        let giving = if is_plain {
            Giving::AtOnce
        } else {
            Giving::HoldEnd
        };
        let passed = pass_answer(&mut pinned.lane, plan, &mut self.io, giving).await;
        let answered = self.check_passed(passed, &pinned.instance)?;
        let mut status = None;
        if is_commit {
            status = Some(read_status(&mut pinned.lane).await);
        }
        if answered.status != Some(b'I') {
            if let Some(status) = answered.status {
                self.io.put(&ready_for_query(status));
                pinned.status = status;
            }
            pinned.is_in_pipeline = answered.status.is_none();
            self.pinned = Some(pinned);
            return self.io.flush().await.map_err(UnitError::Caller);
        }
        let is_dropped = unit.class == StatementClass::Rollback
            || (is_commit && answered.is_rolled_back)
            || (unit.is_single && answered.sqlstate.is_some());
        if is_dropped || !pinned.is_primary {
            self.finish_lane(pinned.lane);
            self.io.put(&ready_for_query(b'I'));
            return self.io.flush().await.map_err(UnitError::Caller);
        }
        if status.is_none() {
            // The transaction ended by a text that did not look like a commit.
            asked_at = self.shared.clock.now();
            let sent = pinned.lane.send(query(STATUS_QUERY).bytes()).await;
            if sent.is_err() {
                return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
            }
            status = Some(read_status(&mut pinned.lane).await);
        }
        let Some(Ok(Some(status))) = status else {
            return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
        };
        self.finish_lane(pinned.lane);
        self.report_status(route, asked_at, &status);
        self.acknowledge_commit(unit, route, pinned.instance, asked_at, &status)
            .await
    }

    /// Writes the commands that bring the session's settings about on `lane`, if it needs any.
    pub(crate) fn write_settings(&self, lane: &mut Lane, out: &mut BytesMut) -> bool {
        let wanted = self.carried.commands();
        if lane.settings() == wanted {
            return false;
        }
        let commands: Frame = query(&format!("RESET ALL;{wanted}"));
        out.extend_from_slice(commands.bytes());
        *lane.settings() = wanted.clone();
        true
    }

    /// Reads the answer to the commands; `false` when the upstream refused one of them.
    pub(crate) async fn read_settings_answer(&self, lane: &mut Lane) -> Result<bool, UnitError> {
        let mut is_taken = true;
        loop {
            let frame = lane.receive().await;
            let frame = frame.map_err(|_: FrameError| RefusalReason::UpstreamUnreachable)?;
            match frame.tag() {
                backend::READY_FOR_QUERY => return Ok(is_taken),
                backend::ERROR_RESPONSE => is_taken = false,
                _ => {}
            }
        }
    }
}
