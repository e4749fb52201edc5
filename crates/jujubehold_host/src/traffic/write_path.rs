//! Writes outside of a transaction, and the acknowledgement of commits.
//!
//! The status that is asked for right after the write tells the commit's position; the answer
//! waits until [`acknowledge`] lets it go. See docs/notes/write-path.md.

use std::pin::pin;

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_core::route::route_write;
use jujubehold_pg::{parameter_status, query, ready_for_query};

use super::acknowledge::{Commit, acknowledge};
use super::answer::{AnswerError, Answered, Giving, pass_answer};
use super::lane::{Lane, LaneError};
use super::read_try::READ_ONLY_SQLSTATE;
use super::replacement::{open_while_primary, while_primary};
use super::session::Session;
use super::session_settings::SESSION_SETTING;
use super::status_answer::{STATUS_QUERY, read_status};
use super::transaction::Pinned;
use super::unit::Unit;
use super::unit_error::UnitError;
use crate::pool::SendFailure;
use crate::routing_table::ServiceRoute;

/// What became of one attempt at a write.
pub(crate) enum Tried {
    /// The caller has its answer.
    Done,
    /// It surely did not run; another attempt may do.
    Again(RetryReason),
}

/// A connection to the primary and the primary's name, or why there is none; nothing was sent then.
pub(crate) type OpenedPrimary = Result<(Lane, InstanceId), RetryReason>;

impl Session {
    /// Runs a write on the primary and acknowledges it.
    pub(crate) async fn run_write(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<(), UnitError> {
        let first = self.attempt_write(unit, route).await?;
        let Tried::Again(reason) = first else {
            return Ok(());
        };
        // The route may have changed with what the first attempt showed.
        let latest = self.shared.route(&self.service);
        let latest = latest.ok_or(RefusalReason::UnknownService)?;
        let is_same = latest.view.primary == route.view.primary;
        if reason == RetryReason::NotPrimary && is_same {
            return Err(RefusalReason::NoPrimary.into());
        }
        if !self.shared.retries.try_retry(&self.service, reason) {
            return Err(RefusalReason::RetryBudgetSpent.into());
        }
        match self.attempt_write(unit, &latest).await? {
            Tried::Done => Ok(()),
            Tried::Again(RetryReason::NotPrimary) => Err(RefusalReason::NoPrimary.into()),
            Tried::Again(_) => Err(RefusalReason::UpstreamUnreachable.into()),
        }
    }

    async fn attempt_write(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<Tried, UnitError> {
        if self.writes_named(unit) {
            // A session that names nothing does not pay for the room that this takes.
            return Box::pin(self.try_named(unit, route)).await;
        }
        self.try_write(unit, route).await
    }

    /// Takes a connection to the primary, with the session's settings brought about on it.
    pub(crate) async fn open_primary(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<OpenedPrimary, UnitError> {
        let instance = route_write(&route.config, &route.view)?;
        self.check_floor(route)?;
        self.check_confirmable(route).await?;
        let wait = self.lane_wait(unit);
        let opening = Lane::open(&self.shared, route, &instance, wait);
        let opened = open_while_primary(&self.shared, &self.service, &instance, opening).await;
        let Some(opened) = opened else {
            return Ok(Err(RetryReason::NotPrimary));
        };
        let mut lane = match opened {
            Ok(lane) => lane,
            Err(LaneError::Retry(reason)) => {
                self.report_unreachable(&instance);
                return Ok(Err(reason));
            }
            Err(LaneError::Busy) => return Err(RefusalReason::DeadlineTooShort.into()),
        };
        let mut bytes = BytesMut::new();
        if self.write_settings(&mut lane, &mut bytes) {
            if lane.send(&bytes).await.is_err() {
                return Ok(Err(RetryReason::BrokenBeforeSend));
            }
            if !self.read_settings_answer(&mut lane).await? {
                return Err(RefusalReason::UnsupportedSessionState.into());
            }
        }
        Ok(Ok((lane, instance)))
    }

    async fn try_write(&mut self, unit: &Unit, route: &ServiceRoute) -> Result<Tried, UnitError> {
        let (mut lane, instance) = match self.open_primary(unit, route).await? {
            Ok(opened) => opened,
            Err(reason) => return Ok(Tried::Again(reason)),
        };
        let mut bytes = BytesMut::new();
        let plan = unit.write_for(&mut lane, &mut bytes);
        bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        self.key.running.start(lane.cancel_target());
        let asked_at = self.shared.clock.now();
        match lane.send(&bytes).await {
            Ok(()) => {}
            Err(SendFailure::NotSent) => {
                self.report_unreachable(&instance);
                return Ok(Tried::Again(RetryReason::BrokenBeforeSend));
            }
            Err(SendFailure::Sent) => {
                self.report_unreachable(&instance);
                return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
            }
        }
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let answer =
            async { Ok(pass_answer(&mut lane, plan, &mut self.io, Giving::HoldEnd).await) };
        let passed = while_primary(&shared, &service, &instance, answer).await?;
        let answered = self.check_passed(passed, &instance)?;
        if answered.status != Some(b'I') {
            // The text opened a transaction; its status query ran within.
            return self.pin_after(lane, instance, answered).await;
        }
        let is_refused = answered.sqlstate.as_deref() == Some(READ_ONLY_SQLSTATE);
        if is_refused && unit.is_single && !self.io.has_given {
            if let Ok(Some(status)) = read_status(&mut lane).await {
                self.report_status(route, asked_at, &status);
            }
            self.io.clear();
            self.finish_lane(lane);
            return Ok(Tried::Again(RetryReason::NotPrimary));
        }
        let answer = async { Ok(read_status(&mut lane).await) };
        let status = while_primary(&shared, &service, &instance, answer).await?;
        if answered.sqlstate.is_some() && unit.is_single {
            // The upstream's own error says that nothing ran.
            self.finish_lane(lane);
            self.io.put(&ready_for_query(b'I'));
            self.io.flush().await.map_err(UnitError::Caller)?;
            return Ok(Tried::Done);
        }
        let Ok(Some(status)) = status else {
            self.report_unreachable(&instance);
            return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
        };
        self.finish_lane(lane);
        self.report_status(route, asked_at, &status);
        self.acknowledge_commit(unit, route, instance, asked_at, &status)
            .await?;
        Ok(Tried::Done)
    }

    /// Gives the caller the end of a commit's answer, once that may be.
    pub(crate) async fn acknowledge_commit(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
        instance: InstanceId,
        asked_at: Monotonic,
        status: &InstanceStatus,
    ) -> Result<(), UnitError> {
        if !status.is_primary_of(status.term) {
            return Err(UnitError::Unknown(UnknownReason::AuthorityLost));
        }
        let commit = Commit {
            instance,
            term: status.term,
            position: status.last_commit,
            asked_at,
        };
        let (term, position) = (commit.term, commit.position);
        let token = self.token_raised_to(term, position);
        let started_at = self.shared.clock.now();
        self.wait_for_acknowledgement(unit, route, commit).await?;
        self.raise_floor(term, position);
        // Nothing waits between the decision and the write to the caller's socket.
        self.io.put(&parameter_status(SESSION_SETTING, &token));
        self.io.put(&ready_for_query(b'I'));
        self.io.flush().await.map_err(UnitError::Caller)?;
        let confirm_time = self.shared.clock.now().saturating_sub(started_at);
        self.metrics
            .confirm_seconds
            .record(confirm_time.as_secs_f64());
        self.metrics.writes.increment(1);
        Ok(())
    }

    async fn wait_for_acknowledgement(
        &self,
        unit: &Unit,
        route: &ServiceRoute,
        commit: Commit,
    ) -> Result<(), UnitError> {
        let primary = commit.instance.clone();
        // Pinned here, it is not kept twice in each session.
        let acknowledged = pin!(async {
            let acknowledged = acknowledge(&self.shared, route, commit, unit.deadline).await;
            acknowledged.map_err(UnitError::Unknown)
        });
        while_primary(&self.shared, &self.service, &primary, acknowledged).await
    }

    /// Turns a broken answer into what the caller is told.
    pub(crate) fn check_passed(
        &mut self,
        passed: Result<Answered, AnswerError>,
        instance: &InstanceId,
    ) -> Result<Answered, UnitError> {
        match passed {
            Ok(answered) => Ok(answered),
            Err(AnswerError::Caller(error)) => Err(UnitError::Caller(error)),
            Err(AnswerError::Upstream) => {
                self.report_unreachable(instance);
                Err(UnitError::Unknown(UnknownReason::ConnectionLost))
            }
        }
    }

    async fn pin_after(
        &mut self,
        mut lane: Lane,
        instance: InstanceId,
        answered: Answered,
    ) -> Result<Tried, UnitError> {
        if read_status(&mut lane).await.is_err() {
            return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
        }
        let status = answered.status.unwrap_or(b'E');
        self.io.put(&ready_for_query(status));
        self.pinned = Some(Pinned {
            lane,
            instance,
            is_primary: true,
            is_in_pipeline: false,
            status,
        });
        self.io.flush().await.map_err(UnitError::Caller)?;
        Ok(Tried::Done)
    }
}
