//! Writes under a caller's name, which run at most once however often they are asked.
//!
//! A record of the name is written in the write's own transaction, so that both commit or neither.
//! Who finds the record there is answered from it. See docs/notes/outcomes.md.

use bytes::BytesMut;
use jujubehold_core::outcome::{
    AttemptProgress, OutcomeLookup, RequestHistory, RerunDecision, decide_rerun,
};
use jujubehold_core::prelude::*;
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_core::request_name::{OutcomeRecord, RecordJudgement, digest, judge_record};
use jujubehold_pg::{command_complete, query, ready_for_query};
use metrics::counter;

use super::answer::{Giving, pass_answer};
use super::lane::Lane;
use super::named_request::NamedRequest;
use super::named_unit::NamedHint;
use super::outcome_record::{
    Opening, Refused, ask, finish_and_prune, look_up, open_recorded, read_reply,
};
use super::read_path::READ_ONLY_SQLSTATE;
use super::replacement::while_primary;
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use super::transaction::Pinned;
use super::unit::Unit;
use super::unit_error::{UnitError, refusal};
use super::upstream_error::already_ran_error;
use super::write_path::Tried;
use crate::metric_names::ALREADY_RAN;
use crate::routing_table::ServiceRoute;

/// How often a name is tried whose record is found, and is gone when it is looked up.
const RECORD_TRIES: usize = 3;

const NO_ROWS: NamedHint = "A named statement gives no rows. Leave RETURNING out and read the row \
                            afterwards, or name the transaction.";
const NO_TABLE: NamedHint = "The upstream's user may not create the table jujubehold_outcomes; \
                             create it as docs/OPERATIONS.md says.";

/// How an attempt at a named request ended on its connection.
enum NamedEnd {
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
    /// Whether a unit that writes runs under a name; also one that looked like a read.
    pub(crate) fn writes_named(&self, unit: &Unit) -> bool {
        self.is_named(unit) || (self.request.is_some() && unit.class == StatementClass::Read)
    }

    /// Whether a unit is the write that the caller has named.
    pub(crate) fn is_named(&self, unit: &Unit) -> bool {
        self.request.is_some()
            && match unit.class {
                StatementClass::Write | StatementClass::Begin => true,
                StatementClass::Read
                | StatementClass::BeginReadOnly
                | StatementClass::Commit
                | StatementClass::Rollback
                | StatementClass::Session
                | StatementClass::Unsupported => false,
            }
    }

    /// Tries the named write once; the name is used up when the caller gets the write's answer.
    pub(crate) async fn try_named(
        &mut self,
        unit: &Unit,
        route: &ServiceRoute,
    ) -> Result<Tried, UnitError> {
        let request = self.named_request(unit).map_err(unsupported)?;
        let (mut lane, instance) = match self.open_primary(unit, route).await? {
            Ok(opened) => opened,
            Err(reason) => return Ok(Tried::Again(reason)),
        };
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let run = self.run_on_lane(&mut lane, &instance, unit, &request, route);
        match while_primary(&shared, &service, &instance, run).await? {
            NamedEnd::Committed { status, asked_at } => {
                let is_uncancelled = self.key.running.end();
                self.report_status(route, asked_at, &status);
                finish_and_prune(lane, is_uncancelled, self.shared.settings.outcome_kept);
                self.acknowledge_commit(unit, route, instance, asked_at, &status)
                    .await?;
            }
            NamedEnd::Failed => {
                self.finish_lane(lane);
                self.io.put(&ready_for_query(b'I'));
                self.io.flush().await.map_err(UnitError::Caller)?;
            }
            NamedEnd::Open => {
                self.io.put(&ready_for_query(b'T'));
                self.pinned = Some(Pinned {
                    lane,
                    instance,
                    is_primary: true,
                    is_in_pipeline: false,
                    status: b'T',
                });
                self.io.flush().await.map_err(UnitError::Caller)?;
            }
            NamedEnd::Again(reason) => {
                if reason == RetryReason::NotPrimary {
                    self.finish_lane(lane);
                }
                return Ok(Tried::Again(reason));
            }
        }
        self.request = None;
        Ok(Tried::Done)
    }

    fn named_request(&self, unit: &Unit) -> Result<NamedRequest, NamedHint> {
        let (digest, begin, tag) = if unit.is_begin() {
            // A transaction's statements are not known when it opens; its name stands for them.
            let digest = digest([&b"transaction"[..]]);
            (digest, unit.begin_text()?.to_owned(), "COMMIT")
        } else {
            (unit.request_digest()?, "BEGIN".to_owned(), "")
        };
        Ok(NamedRequest {
            service: self.service.clone(),
            caller: self.user.clone(),
            name: self.request.clone().unwrap_or_default(),
            digest,
            begin,
            tag,
        })
    }

    async fn run_on_lane(
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
            let Ok(opening) = open_recorded(lane, request).await else {
                // COMMIT was not sent, so the upstream rolls back what was.
                self.report_unreachable(instance);
                return Ok(NamedEnd::Again(RetryReason::BrokenBeforeSend));
            };
            match opening {
                Opening::Open if unit.is_begin() => {
                    self.io.put(&command_complete("BEGIN"));
                    return Ok(NamedEnd::Open);
                }
                Opening::Open => return self.run_recorded(lane, instance, unit, request).await,
                Opening::Refused(refused) => return self.end_refused(&refused),
                Opening::Recorded => {}
            }
            if let Some(end) = self.answer_from_record(lane, unit, request).await? {
                return Ok(end);
            }
        }
        Err(RefusalReason::RetryBudgetSpent.into())
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
            ReadJudgement::Cut => Err(RefusalReason::FloorLost.into()),
        }
    }

    // Runs the caller's statement after its record, puts the answer on record, and commits.
    async fn run_recorded(
        &mut self,
        lane: &mut Lane,
        instance: &InstanceId,
        unit: &Unit,
        request: &NamedRequest,
    ) -> Result<NamedEnd, UnitError> {
        let mut bytes = BytesMut::new();
        let plan = unit.write_for(lane, &mut bytes);
        self.key.running.start(lane.cancel_target());
        if lane.send(&bytes).await.is_err() {
            self.report_unreachable(instance);
            return Err(UnitError::Unknown(UnknownReason::ConnectionLost));
        }
        let passed = pass_answer(lane, plan, &mut self.io, Giving::HoldWithoutRows).await;
        let answered = self.check_passed(passed, instance)?;
        if answered.sqlstate.is_some() || answered.has_rows {
            roll_back(lane).await?;
            if answered.sqlstate.is_none() {
                return Err(unsupported(NO_ROWS));
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
        if refused.is_table_missing() {
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

fn unsupported(hint: NamedHint) -> UnitError {
    UnitError::Hinted {
        refusal: refusal(RefusalReason::UnsupportedSessionState),
        hint,
    }
}
