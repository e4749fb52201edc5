//! One try of a read at one instance.
//!
//! The instance's status is asked for ahead of the read on the same connection, and judged before
//! a byte of the read's answer goes to the caller; see docs/notes/callers-side.md.

use std::time::Duration;

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_pg::query;

use super::acknowledge::prove_term;
use super::answer::{AnswerError, Giving, pass_answer};
use super::answer_plan::{AnswerPlan, Passage};
use super::lane::{Lane, LaneError};
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use super::unit::Unit;
use super::unit_error::UnitError;
use super::write_checks::PROOF_LIMIT;
use crate::routing_table::ServiceRoute;
/// How long a replica may keep a read waiting for its status when nothing else is heard of it.
pub(super) const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// The most bytes of a dropped answer that are read to keep the connection.
const DRAIN_BYTES: usize = 256 * 1024;
/// How long reading a dropped answer may take.
const DRAIN_LIMIT: Duration = Duration::from_secs(1);
/// What an upstream answers to a write on a read-only instance.
pub(crate) const READ_ONLY_SQLSTATE: &str = "25006";

/// What became of one candidate.
pub(super) enum Tried {
    /// The caller has its answer.
    Served,
    /// Nothing was given; another instance may do.
    Next(RetryReason),
    /// The statement writes after all.
    IsWrite,
}

impl Session {
    /// Tries a read at one instance.
    pub(super) async fn try_read(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
        fresh_view: Option<&GroupView>,
        need: &ReadNeed,
        instance: &InstanceId,
    ) -> Result<Tried, UnitError> {
        let is_replica = route.view.primary.as_ref() != Some(instance);
        let is_trial = is_replica && self.shared.silences.is_silent(&self.service, instance);
        let mut wait = self.lane_wait(unit);
        if is_trial {
            wait = wait.min(SILENCE_LIMIT);
        }
        let mut lane = match Lane::open(&self.shared, route, instance, wait).await {
            Ok(lane) => lane,
            Err(LaneError::Retry(reason)) => {
                self.report_unreachable(instance);
                return Ok(Tried::Next(reason));
            }
            Err(LaneError::Busy) if is_trial => return Ok(self.give_up_on_silent(instance)),
            Err(LaneError::Busy) => return Err(RefusalReason::DeadlineTooShort.into()),
        };
        let mut bytes = BytesMut::new();
        let has_commands = self.write_settings(&mut lane, &mut bytes);
        bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        let plan = unit.write_for(&mut lane, &mut bytes);
        self.key.running.start(lane.cancel_target());
        let sent_at = self.shared.clock.now();
        if lane.send(&bytes).await.is_err() {
            self.key.running.end();
            return Ok(Tried::Next(RetryReason::BrokenBeforeSend));
        }
        if has_commands && !self.read_settings_answer(&mut lane).await? {
            return Err(RefusalReason::UnsupportedSessionState.into());
        }
        let status = tokio::select! {
            status = read_status(&mut lane) => status,
            () = self.silence(instance, sent_at), if is_replica => {
                return Ok(self.give_up_on_silent(instance));
            }
        };
        let Ok(Some(status)) = status else {
            self.report_unreachable(instance);
            return Ok(Tried::Next(RetryReason::BrokenDuringRead));
        };
        if is_trial {
            self.shared.silences.note_answer(&self.service, instance);
        }
        self.report_status(route, sent_at, &status);
        let judgement = self
            .judge(unit, route, fresh_view, need, sent_at, &status)
            .await;
        match judgement {
            ReadJudgement::Serve => {}
            ReadJudgement::Retry => {
                self.drop_answer(lane, plan);
                return Ok(Tried::Next(RetryReason::ReplicaBehind));
            }
            ReadJudgement::FloorLost => {
                self.drop_answer(lane, plan);
                return Err(RefusalReason::FloorLost.into());
            }
        }
        let answered = match pass_answer(&mut lane, plan, &mut self.io, Giving::AtOnce).await {
            Ok(answered) => answered,
            Err(AnswerError::Caller(error)) => return Err(UnitError::Caller(error)),
            Err(AnswerError::Upstream) if self.io.has_given => {
                return Err(UnitError::Ended(UnknownReason::ConnectionLost));
            }
            Err(AnswerError::Upstream) => {
                self.io.clear();
                self.report_unreachable(instance);
                return Ok(Tried::Next(RetryReason::BrokenDuringRead));
            }
        };
        let is_refused_write = answered.sqlstate.as_deref() == Some(READ_ONLY_SQLSTATE);
        if is_refused_write && !self.io.has_given && unit.class == StatementClass::Read {
            self.io.clear();
            self.finish_lane(lane);
            return Ok(Tried::IsWrite);
        }
        let is_primary = route.view.primary.as_ref() == Some(instance);
        let reads = if is_primary {
            &self.metrics.primary_reads
        } else {
            &self.metrics.replica_reads
        };
        reads.increment(1);
        self.give_answer(lane, instance, &answered, is_primary)
            .await?;
        Ok(Tried::Served)
    }

    /// Ends once nothing was heard of `instance` for a while since `sent_at`.
    ///
    /// An instance that answers others is slow and not silent, and going elsewhere would only move
    /// its load.
    async fn silence(&self, instance: &InstanceId, sent_at: Monotonic) {
        let mut heard_at = sent_at;
        loop {
            actix_rt::time::sleep(SILENCE_LIMIT).await;
            let route = self.shared.route(&self.service);
            let sample = route
                .as_ref()
                .and_then(|route| route.view.samples.get(instance));
            match sample {
                Some(sample) if sample.sent_at > heard_at => heard_at = sample.sent_at,
                Some(_) | None => return,
            }
        }
    }

    fn give_up_on_silent(&self, instance: &InstanceId) -> Tried {
        self.report_unreachable(instance);
        let now = self.shared.clock.now();
        self.shared
            .silences
            .note_silent(&self.service, now, instance);
        Tried::Next(RetryReason::InstanceSilent)
    }

    /// Judges an answer by the status asked for ahead of it at `sent_at`.
    ///
    /// A primary that no replica has vouched for of late is judged again once replicas were asked.
    pub(crate) async fn judge(
        &self,
        unit: &Unit,
        route: &ServiceRoute,
        fresh_view: Option<&GroupView>,
        need: &ReadNeed,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) -> ReadJudgement {
        let authority = &self.shared.settings.authority;
        // The view may have grown while the answer was under way.
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
        let limit = self.shared.clock.now() + PROOF_LIMIT;
        prove_term(&self.shared, route, &mut proved, limit.min(unit.deadline)).await;
        need.judge(&route.config, &proved, authority, sent_at, status)
    }

    // The answer is read to its end aside, so that the caller does not wait for it.
    fn drop_answer(&self, mut lane: Lane, plan: AnswerPlan) {
        let is_uncancelled = self.key.running.end();
        actix_rt::spawn(async move {
            let drained = tokio::time::timeout(DRAIN_LIMIT, drain(&mut lane, plan)).await;
            lane.finish(is_uncancelled && drained == Ok(true));
        });
    }
}

// Whether the connection is clean after it.
async fn drain(lane: &mut Lane, mut plan: AnswerPlan) -> bool {
    let mut bytes_read = 0;
    let mut scratch = BytesMut::new();
    while bytes_read < DRAIN_BYTES {
        plan.give_own(&mut scratch);
        let Ok(frame) = lane.receive().await else {
            return false;
        };
        bytes_read += frame.bytes().len();
        match plan.take(&frame) {
            Passage::Ready(status) => {
                for name in plan.failed_statements() {
                    lane.prepared().remove(name);
                }
                return status == b'I';
            }
            Passage::OutOfStep | Passage::OwnFailed => return false,
            Passage::Give | Passage::Drop => {}
        }
    }
    false
}
