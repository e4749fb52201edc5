//! A named request on its connection: the record, the statement, and the commit.
//!
//! See docs/notes/outcomes.md.

use bytes::BytesMut;
use jujubehold_core::outcome::{
    AttemptProgress, OutcomeLookup, RequestHistory, RerunDecision, decide_rerun,
};
use jujubehold_core::prelude::*;
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_core::request_name::{OutcomeRecord, RecordJudgement, judge_record};
use jujubehold_pg::{command_complete, query};
use metrics::counter;

use super::answer::{Answered, Giving, pass_answer};
use super::answer_plan::AnswerPlan;
use super::lane::Lane;
use super::named_request::NamedRequest;
use super::named_unit::NamedHint;
use super::outcome_record::{
    Opening, Refused, ask, end_refused_record, look_up, open_recorded, read_reply,
};
use super::read_try::READ_ONLY_SQLSTATE;
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use super::unit::Unit;
use super::unit_error::{UnitError, refusal};
use super::upstream_error::already_ran_error;
use crate::metric_names::ALREADY_RAN;
use crate::pool::SendFailure;
use crate::routing_table::ServiceRoute;

/// How often a name is tried whose record is found, and is gone when it is looked up.
const RECORD_TRIES: usize = 3;

const NO_ROWS: NamedHint = "A named statement gives no rows. Leave RETURNING out and read the row \
                            afterwards, or name the transaction.";
const NO_TABLE: NamedHint = "The upstream's user may not use or create the table \
                             jujubehold_outcomes; set it up as docs/OPERATIONS.md says.";

/// How an attempt at a named request ended on its connection.
pub(crate) enum NamedEnd {
    /// It is committed, now or before, and its answer is put. It may be given once this status'
    /// commit is acknowledged.
    Committed {
        status: InstanceStatus,
        asked_at: Monotonic,
    },
    /// Nothing ran, and the upstream's own error is put.
    Failed,
    /// Its transaction is open.
    Open,
    /// It surely did not run; another attempt may do.
    Again(RetryReason),
}

impl Session {
    /// Runs a named unit on a connection to the primary, up to what the caller may be told once
    /// its commit is acknowledged.
    pub(crate) async fn run_on_lane(
        &mut self,
        lane: &mut Lane,
        instance: &InstanceId,
        unit: &Unit,
        request: &NamedRequest,
        route: &ServiceRoute,
    ) -> Result<NamedEnd, UnitError> {
        if unit.is_begin() && !self.is_fresh(lane, unit, route).await? {
            return Ok(NamedEnd::Again(RetryReason::NotPrimary));
        }
        for _ in 0..RECORD_TRIES {
            match self.open_named(lane, instance, unit, request).await? {
                Opening::Open(_) if unit.is_begin() => {
                    self.io.put(&command_complete("BEGIN"));
                    return Ok(NamedEnd::Open);
                }
                Opening::Open(answered) => {
                    let answered = match answered {
                        Some(answered) => answered,
                        None => self.run_recorded(lane, instance, unit).await?,
                    };
                    return self.end_recorded(lane, instance, request, answered).await;
                }
                Opening::Refused(refused) => return self.end_refused(&refused),
                Opening::Lost => {
                    self.report_unreachable(instance);
                    return Ok(NamedEnd::Again(RetryReason::BrokenBeforeSend));
                }
                Opening::TableCreated => {}
                Opening::Recorded => {
                    if let Some(end) = self.answer_from_record(lane, unit, request).await? {
                        return Ok(end);
                    }
                }
            }
        }
        Err(RefusalReason::RetryBudgetSpent.into())
    }

    // A simple query goes along with its record in one text, of which the upstream runs nothing
    // after a part that failed. Other units wait for the record, so as not to run without it.
    async fn open_named(
        &mut self,
        lane: &mut Lane,
        instance: &InstanceId,
        unit: &Unit,
        request: &NamedRequest,
    ) -> Result<Opening, UnitError> {
        if unit.is_begin() || unit.text().is_none() {
            let opened = open_recorded(lane, request).await;
            return Ok(opened.unwrap_or(Opening::Lost));
        }
        let mut bytes = BytesMut::new();
        let plan = unit.write_after(&request.open_sql(), &mut bytes);
        let Some(mut answered) = self.exchange(lane, instance, &bytes, plan).await? else {
            return Ok(Opening::Lost);
        };
        let Some(error) = answered.own_error.take() else {
            return Ok(Opening::Open(Some(answered)));
        };
        let ended = end_refused_record(lane, Refused::new(error)).await;
        Ok(ended.unwrap_or(Opening::Lost))
    }

    // A transaction must not open on an instance that lacks the session's last write.
    async fn is_fresh(
        &mut self,
        lane: &mut Lane,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<bool, UnitError> {
        let need = ReadNeed::new(&route.config, self.floor.clone(), unit.arrived_at);
        let sent_at = self.shared.clock.now();
        if lane.send(query(STATUS_QUERY).bytes()).await.is_err() {
            return Err(RefusalReason::UpstreamUnreachable.into());
        }
        let Ok(Some(status)) = read_status(lane).await else {
            return Err(RefusalReason::UpstreamUnreachable.into());
        };
        self.report_status(route, sent_at, &status);
        match self.judge(unit, route, None, &need, sent_at, &status).await {
            ReadJudgement::Serve => Ok(true),
            ReadJudgement::Retry => Ok(false),
            ReadJudgement::FloorLost => Err(RefusalReason::FloorLost.into()),
        }
    }

    async fn run_recorded(
        &mut self,
        lane: &mut Lane,
        instance: &InstanceId,
        unit: &Unit,
    ) -> Result<Answered, UnitError> {
        let mut bytes = BytesMut::new();
        let plan = unit.write_for(lane, &mut bytes);
        let answered = self.exchange(lane, instance, &bytes, plan).await?;
        Ok(answered.ok_or(RefusalReason::UpstreamUnreachable)?)
    }

    // `None` when nothing was sent.
    async fn exchange(
        &mut self,
        lane: &mut Lane,
        instance: &InstanceId,
        bytes: &[u8],
        plan: AnswerPlan,
    ) -> Result<Option<Answered>, UnitError> {
        self.key.running.start(lane.cancel_target());
        match lane.send(bytes).await {
            Ok(()) => {}
            Err(SendFailure::NotSent) => return Ok(None),
            Err(SendFailure::Sent) => {
                self.report_unreachable(instance);
                return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
            }
        }
        let passed = pass_answer(lane, plan, &mut self.io, Giving::HoldWithoutRows).await;
        self.check_passed(passed, instance).map(Some)
    }

    // Puts the statement's answer on record and commits, or rolls back.
    async fn end_recorded(
        &mut self,
        lane: &mut Lane,
        instance: &InstanceId,
        request: &NamedRequest,
        answered: Answered,
    ) -> Result<NamedEnd, UnitError> {
        if answered.sqlstate.is_some() || answered.has_rows {
            roll_back(lane).await?;
            if answered.sqlstate.is_none() {
                return Err(unsupported(NO_ROWS));
            }
            if answered.sqlstate.as_deref() == Some(READ_ONLY_SQLSTATE) {
                self.io.clear();
                return Ok(NamedEnd::Again(RetryReason::NotPrimary));
            }
            return Ok(NamedEnd::Failed);
        }
        if answered.status != Some(b'T') {
            // The statement ended the transaction that its record is in.
            return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
        }
        self.commit_recorded(lane, instance, &request.commit_sql(&answered.tag))
            .await
    }

    async fn commit_recorded(
        &mut self,
        lane: &mut Lane,
        instance: &InstanceId,
        sql: &str,
    ) -> Result<NamedEnd, UnitError> {
        let mut bytes = BytesMut::new();
        bytes.extend_from_slice(query(sql).bytes());
        bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        let asked_at = self.shared.clock.now();
        let committed = async {
            lane.send(&bytes).await.ok()?;
            let reply = read_reply(lane).await.ok()?;
            let status = read_status(lane).await.ok()?;
            Some((reply, status))
        };
        let Some((reply, status)) = committed.await else {
            self.report_unreachable(instance);
            return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
        };
        if let Some(refused) = reply.refused {
            roll_back(lane).await?;
            self.io.clear();
            return self.end_refused(&refused);
        }
        let status = status.ok_or(UnitError::Unknown(UnknownReason::ConnectionLost))?;
        Ok(NamedEnd::Committed { status, asked_at })
    }

    fn end_refused(&mut self, refused: &Refused) -> Result<NamedEnd, UnitError> {
        if refused.sqlstate == READ_ONLY_SQLSTATE {
            return Ok(NamedEnd::Again(RetryReason::NotPrimary));
        }
        if refused.is_not_allowed() {
            return Err(unsupported(NO_TABLE));
        }
        self.io.put(&refused.error);
        Ok(NamedEnd::Failed)
    }

    // `None` when the record is gone after all.
    async fn answer_from_record(
        &mut self,
        lane: &mut Lane,
        unit: &Unit,
        request: &NamedRequest,
    ) -> Result<Option<NamedEnd>, UnitError> {
        let asked_at = self.shared.clock.now();
        let looked_up = look_up(lane, request).await;
        let (record, status) =
            looked_up.map_err(|_| UnitError::Unknown(UnknownReason::ConnectionLost))?;
        let Some(record) = record.filter(|record| has_run(Some(record))) else {
            return Ok(None);
        };
        match judge_record(&record, &request.digest) {
            RecordJudgement::AnotherRequest => {
                return Err(RefusalReason::RequestNameReused.into());
            }
            RecordJudgement::SameRequest(_) if unit.is_begin() => {
                self.io.put(&already_ran_error());
            }
            RecordJudgement::SameRequest(tag) => unit.put_recorded_answer(&tag, &mut self.io.out),
        }
        let mut status = status.ok_or(UnitError::Unknown(UnknownReason::ConnectionLost))?;
        // The record was committed by another connection, at this position at the latest.
        status.last_commit = status.applied;
        counter!(ALREADY_RAN, "service" => self.service.to_string()).increment(1);
        Ok(Some(NamedEnd::Committed { status, asked_at }))
    }
}

fn has_run(record: Option<&OutcomeRecord>) -> bool {
    let lookup = match record {
        Some(_) => OutcomeLookup::Found,
        None => OutcomeLookup::Absent,
    };
    let history = RequestHistory {
        is_idempotent: false,
        has_request_id: true,
        progress: AttemptProgress::RolledBack,
        lookup: Some(lookup),
    };
    decide_rerun(&history) == RerunDecision::AlreadyRan
}

// A connection that breaks meanwhile is rolled back by the upstream, and told of by the next use.
async fn roll_back(lane: &mut Lane) -> Result<(), UnitError> {
    let rolled_back = ask(lane, "ROLLBACK").await;
    rolled_back.map_err(|_| UnitError::Unknown(UnknownReason::ConnectionLost))?;
    Ok(())
}

/// The refusal of a unit that can't run under a name.
pub(crate) fn unsupported(hint: NamedHint) -> UnitError {
    UnitError::Hinted {
        refusal: refusal(RefusalReason::UnsupportedSessionState),
        hint,
    }
}
