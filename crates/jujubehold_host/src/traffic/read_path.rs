//! Reads, and the opening of transactions: candidates are tried until one is fresh enough.
//!
//! The instance's status is asked for ahead of the read on the same connection, and judged before
//! a byte of the read's answer goes to the caller; see docs/notes/callers-side.md.

use bytes::BytesMut;
use jujubehold_core::group_view::Sample;
use jujubehold_core::prelude::*;
use jujubehold_core::read_candidates::{ReadOrigin, read_candidates};
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_core::route::route_write;
use jujubehold_pg::{query, ready_for_query};

use super::acknowledge::prove_term;
use super::answer::{AnswerError, Answered, Giving, pass_answer};
use super::answer_plan::AnswerPlan;
use super::confirm_desk;
use super::lane::{Lane, LaneError};
use super::retry_budgets::RetryBudgets;
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use super::transaction::Pinned;
use super::unit::Unit;
use super::unit_error::UnitError;
use super::write_path::PROOF_LIMIT;
use crate::observation::Observation;
use crate::routing_table::ServiceRoute;

/// A status is told to the control thread when the one that it has is older than this.
const SAMPLE_AGE: std::time::Duration = std::time::Duration::from_millis(20);
/// How long a replica may be waited for before the primary serves a read.
const REPLICA_PATIENCE: std::time::Duration = std::time::Duration::from_millis(8);
/// The pauses between tries at replicas that lag by less than that, for one read in all.
const REPLICA_PAUSES: [std::time::Duration; 3] = [
    std::time::Duration::from_millis(1),
    std::time::Duration::from_millis(2),
    std::time::Duration::from_millis(4),
];
/// The most bytes of a dropped answer that are read to keep the connection.
const DRAIN_BYTES: usize = 256 * 1024;
/// How long reading a dropped answer may take.
const DRAIN_LIMIT: std::time::Duration = std::time::Duration::from_secs(1);
/// What an upstream answers to a write on a read-only instance.
pub(crate) const READ_ONLY_SQLSTATE: &str = "25006";

/// What became of one candidate.
enum Tried {
    /// The caller has its answer.
    Served,
    /// Nothing was given; another instance may do.
    Next(RetryReason),
    /// The statement writes after all.
    IsWrite,
}

impl Session {
    /// Runs a read on the best instance that is fresh enough.
    pub(crate) async fn run_read(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<(), UnitError> {
        let need = ReadNeed::new(&route.config, self.floor.clone(), unit.arrived_at);
        let origin = ReadOrigin {
            domain: self.shared.settings.domain.clone(),
            region: self.shared.settings.region.clone(),
            now: unit.arrived_at,
            patience: REPLICA_PATIENCE,
            spread: rand::random(),
        };
        let fresh_view = self.fresh_view(route, &need).await;
        let view = fresh_view.as_ref().unwrap_or(&route.view);
        let candidates = read_candidates(&route.config, view, &need, &origin);
        self.try_candidates(unit, route, fresh_view, &need, candidates)
            .await
    }

    /// The view with the primary's position as of now, when no answer of a replica can meet the
    /// need without it.
    ///
    /// The question is shared with all sessions that ask at the same time, and is far cheaper for
    /// the primary than the read would be. Without an answer the table's view has to do.
    async fn fresh_view(&self, route: &ServiceRoute, need: &ReadNeed) -> Option<GroupView> {
        if !need.needs_newer_mark(&route.view) {
            return None;
        }
        let primary = route.view.primary.as_ref()?;
        let answer = confirm_desk::ask(&self.shared, &self.service, primary, route.view.term, 0);
        let answer = answer.await.ok()?;
        self.report_status(route, answer.asked_at, &answer.status);
        let mut view = route.view.clone();
        view.observe(answer.asked_at, answer.status);
        Some(view)
    }

    /// Opens a transaction on the primary.
    pub(crate) async fn run_begin(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<(), UnitError> {
        let need = ReadNeed::new(&route.config, self.floor.clone(), unit.arrived_at);
        let primary = route_write(&route.config, &route.view)?;
        self.try_candidates(unit, route, None, &need, vec![primary])
            .await
    }

    async fn try_candidates(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
        fresh_view: Option<GroupView>,
        need: &ReadNeed,
        candidates: Vec<InstanceId>,
    ) -> Result<(), UnitError> {
        let mut last_reason = None;
        let mut pauses = REPLICA_PAUSES.into_iter();
        let mut is_before_primary = true;
        for instance in candidates {
            is_before_primary &= route.view.primary.as_ref() != Some(&instance);
            if let Some(reason) = last_reason
                && !self.shared.retries.try_retry(&self.service, reason)
            {
                let is_primary = route.view.primary.as_ref() == Some(&instance);
                // The primary is never behind, so going on to it can't grow into a storm.
                if reason != RetryReason::ReplicaBehind {
                    return Err(RefusalReason::RetryBudgetSpent.into());
                }
                if !is_primary {
                    continue;
                }
            }
            let view = fresh_view.as_ref();
            let mut tried = self.try_read(unit, route, view, need, &instance).await?;
            // The replica ranks before the primary because it will soon have what the read needs.
            while is_before_primary
                && matches!(tried, Tried::Next(RetryReason::ReplicaBehind))
                && let Some(pause) = pauses.next()
            {
                RetryBudgets::count(&self.service, RetryReason::ReplicaBehind);
                actix_rt::time::sleep(pause).await;
                tried = self.try_read(unit, route, view, need, &instance).await?;
            }
            match tried {
                Tried::Served => return Ok(()),
                Tried::Next(reason) => last_reason = Some(reason),
                Tried::IsWrite => return self.run_write(unit, route).await,
            }
        }
        Err(no_candidate(last_reason).into())
    }

    async fn try_read(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
        fresh_view: Option<&GroupView>,
        need: &ReadNeed,
        instance: &InstanceId,
    ) -> Result<Tried, UnitError> {
        let wait = self.lane_wait(unit);
        let mut lane = match Lane::open(&self.shared, route, instance, wait).await {
            Ok(lane) => lane,
            Err(LaneError::Retry(reason)) => {
                self.report_unreachable(instance);
                return Ok(Tried::Next(reason));
            }
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
        let Ok(Some(status)) = read_status(&mut lane).await else {
            self.report_unreachable(instance);
            return Ok(Tried::Next(RetryReason::BrokenDuringRead));
        };
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
            ReadJudgement::Cut => {
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

    /// Gives the end of an answer, and keeps the lane while a transaction is open.
    async fn give_answer(
        &mut self,
        lane: Lane,
        instance: &InstanceId,
        answered: &Answered,
        is_primary: bool,
    ) -> Result<(), UnitError> {
        if let Some(status) = answered.status {
            self.io.put(&ready_for_query(status));
        }
        if answered.status == Some(b'I') {
            // The next user may have the connection while this caller still reads.
            self.finish_lane(lane);
        } else {
            self.pinned = Some(Pinned {
                lane,
                instance: instance.clone(),
                is_primary,
                is_in_pipeline: answered.status.is_none(),
                status: answered.status.unwrap_or(b'T'),
            });
        }
        self.io.flush().await.map_err(UnitError::Caller)
    }

    /// Tells the control thread a status that is news.
    pub(crate) fn report_status(
        &self,
        route: &ServiceRoute,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) {
        let is_news = route
            .view
            .samples
            .get(&status.instance)
            .is_none_or(|sample: &Sample| sent_at.saturating_sub(sample.sent_at) > SAMPLE_AGE);
        if !is_news {
            return;
        }
        // The control thread ends only with the host.
        let _ = self.shared.observations.send(Observation::Status {
            service: self.service.clone(),
            sent_at,
            status: status.clone(),
        });
    }

    /// Tells the control thread that an instance gave no answer.
    pub(crate) fn report_unreachable(&self, instance: &InstanceId) {
        self.key.running.end();
        // The control thread ends only with the host.
        let _ = self.shared.observations.send(Observation::Unreachable {
            service: self.service.clone(),
            instance: instance.clone(),
        });
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
            super::answer_plan::Passage::Ready(status) => {
                for name in plan.failed_statements() {
                    lane.prepared().remove(name);
                }
                return status == b'I';
            }
            super::answer_plan::Passage::OutOfStep => return false,
            super::answer_plan::Passage::Give | super::answer_plan::Passage::Drop => {}
        }
    }
    false
}

fn no_candidate(last_reason: Option<RetryReason>) -> RefusalReason {
    match last_reason {
        Some(RetryReason::ReplicaBehind) | None => RefusalReason::NoFreshReplica,
        Some(RetryReason::OwnerMoved) => RefusalReason::OwnerUnreachable,
        Some(
            RetryReason::BrokenBeforeSend
            | RetryReason::BrokenDuringRead
            | RetryReason::NotPrimary
            | RetryReason::ConnectRefused,
        ) => RefusalReason::UpstreamUnreachable,
    }
}
