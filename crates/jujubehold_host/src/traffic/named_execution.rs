//! Executes a named request on its connection: the outcome record, the statement and the commit.
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

use super::answer::{AnswerSummary, Delivery, relay_answer};
use super::answer_plan::AnswerPlan;
use super::batch_error::{BatchError, refusal};
use super::caller_error::already_ran_error;
use super::checked_out_connection::CheckedOutConnection;
use super::message_batch::MessageBatch;
use super::named_batch::NamedHint;
use super::named_request::NamedRequest;
use super::outcome_record::{
    RecordOpening, UpstreamRefusal, abort_refused_record, look_up, open_with_record, read_reply,
    run_query,
};
use super::read_attempt::READ_ONLY_SQLSTATE;
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use crate::metric_names::ALREADY_RAN;
use crate::pool::SendFailure;
use crate::routing_table::ServiceRoute;

/// The most attempts to insert a name's record. An attempt is repeated if it had to create the
/// table, or if it found a record that is gone when it is looked up.
const MAX_RECORD_ATTEMPTS: usize = 3;

const NO_ROWS: NamedHint = "A named statement gives no rows. Leave RETURNING out and read the row \
                            afterwards, or name the transaction.";
const NO_TABLE: NamedHint = "The upstream's user may not use or create the table \
                             jujubehold_outcomes; set it up as docs/OPERATIONS.md says.";

/// The outcome of an attempt at a named request.
pub(crate) enum NamedOutcome {
    /// The request is committed, by this attempt or an earlier one, and its answer is queued. The
    /// answer may be sent once the commit of `status` is acknowledged.
    Committed {
        status: InstanceStatus,
        sent_at: Monotonic,
    },
    /// Nothing ran, and the upstream's error is queued for the caller.
    Failed,
    /// The transaction is open.
    TransactionOpen,
    /// The request did not run, and may be attempted again.
    Retry(RetryReason),
}

impl Session {
    /// Runs a named batch on a connection to the primary, and queues the answer that may be sent
    /// once the commit is acknowledged.
    pub(crate) async fn run_named_on(
        &mut self,
        connection: &mut CheckedOutConnection,
        instance: &InstanceId,
        batch: &MessageBatch,
        request: &NamedRequest,
        route: &ServiceRoute,
    ) -> Result<NamedOutcome, BatchError> {
        if batch.is_begin() && !self.is_primary_fresh(connection, batch, route).await? {
            return Ok(NamedOutcome::Retry(RetryReason::NotPrimary));
        }
        for _ in 0..MAX_RECORD_ATTEMPTS {
            match self
                .open_named(connection, instance, batch, request)
                .await?
            {
                RecordOpening::Open(_) if batch.is_begin() => {
                    self.io.put(&command_complete("BEGIN"));
                    return Ok(NamedOutcome::TransactionOpen);
                }
                RecordOpening::Open(answered) => {
                    let answered = match answered {
                        Some(answered) => answered,
                        None => self.run_recorded(connection, instance, batch).await?,
                    };
                    return self
                        .finish_recorded(connection, instance, request, answered)
                        .await;
                }
                RecordOpening::Refused(refused) => return self.map_refusal(&refused),
                RecordOpening::ConnectionLost => {
                    self.report_unreachable(instance);
                    return Ok(NamedOutcome::Retry(RetryReason::BrokenBeforeSend));
                }
                RecordOpening::TableCreated => {}
                RecordOpening::AlreadyRecorded => {
                    if let Some(end) = self.answer_from_record(connection, batch, request).await? {
                        return Ok(end);
                    }
                }
            }
        }
        Err(RefusalReason::RetryBudgetSpent.into())
    }

    // A simple query is sent in one text with its record, of which the upstream runs nothing after
    // a part that failed. Other batches wait for the record, so that they can't run without it.
    async fn open_named(
        &mut self,
        connection: &mut CheckedOutConnection,
        instance: &InstanceId,
        batch: &MessageBatch,
        request: &NamedRequest,
    ) -> Result<RecordOpening, BatchError> {
        if batch.is_begin() || batch.text().is_none() {
            let opened = open_with_record(connection, request).await;
            return Ok(opened.unwrap_or(RecordOpening::ConnectionLost));
        }
        let mut bytes = BytesMut::new();
        let plan = batch.write_after_statements(&request.open_sql(), &mut bytes);
        let Some(mut answered) = self.exchange(connection, instance, &bytes, plan).await? else {
            return Ok(RecordOpening::ConnectionLost);
        };
        let Some(error) = answered.proxy_error.take() else {
            return Ok(RecordOpening::Open(Some(answered)));
        };
        let ended = abort_refused_record(connection, UpstreamRefusal::new(error)).await;
        Ok(ended.unwrap_or(RecordOpening::ConnectionLost))
    }

    // A transaction must not open on an instance that lacks the session's last write.
    async fn is_primary_fresh(
        &mut self,
        connection: &mut CheckedOutConnection,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<bool, BatchError> {
        let need = ReadNeed::new(&route.config, self.floor.clone(), batch.arrived_at);
        let sent_at = self.shared.clock.now();
        if connection.send(query(STATUS_QUERY).bytes()).await.is_err() {
            return Err(RefusalReason::UpstreamUnreachable.into());
        }
        let Ok(Some(status)) = read_status(connection).await else {
            return Err(RefusalReason::UpstreamUnreachable.into());
        };
        self.report_status(route, sent_at, &status);
        match self
            .judge(batch, route, None, &need, sent_at, &status)
            .await
        {
            ReadJudgement::Serve => Ok(true),
            ReadJudgement::Retry => Ok(false),
            ReadJudgement::FloorLost => Err(RefusalReason::FloorLost.into()),
        }
    }

    async fn run_recorded(
        &mut self,
        connection: &mut CheckedOutConnection,
        instance: &InstanceId,
        batch: &MessageBatch,
    ) -> Result<AnswerSummary, BatchError> {
        let mut bytes = BytesMut::new();
        let plan = batch.write_for(connection, &mut bytes);
        let answered = self.exchange(connection, instance, &bytes, plan).await?;
        Ok(answered.ok_or(RefusalReason::UpstreamUnreachable)?)
    }

    // Returns `None` if nothing was sent.
    async fn exchange(
        &mut self,
        connection: &mut CheckedOutConnection,
        instance: &InstanceId,
        bytes: &[u8],
        plan: AnswerPlan,
    ) -> Result<Option<AnswerSummary>, BatchError> {
        self.key.running.start(connection.cancel_target());
        match connection.send(bytes).await {
            Ok(()) => {}
            Err(SendFailure::NotSent) => return Ok(None),
            Err(SendFailure::MaybeSent) => {
                self.report_unreachable(instance);
                return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
            }
        }
        let relayed = relay_answer(connection, plan, &mut self.io, Delivery::HoldWithoutRows).await;
        self.check_relayed(relayed, instance).map(Some)
    }

    // Stores the statement's command tag in the record and commits, or rolls back.
    async fn finish_recorded(
        &mut self,
        connection: &mut CheckedOutConnection,
        instance: &InstanceId,
        request: &NamedRequest,
        answered: AnswerSummary,
    ) -> Result<NamedOutcome, BatchError> {
        if answered.sqlstate.is_some() || answered.has_rows {
            roll_back(connection).await?;
            if answered.sqlstate.is_none() {
                return Err(unsupported(NO_ROWS));
            }
            if answered.sqlstate.as_deref() == Some(READ_ONLY_SQLSTATE) {
                self.io.clear();
                return Ok(NamedOutcome::Retry(RetryReason::NotPrimary));
            }
            return Ok(NamedOutcome::Failed);
        }
        if answered.status != Some(b'T') {
            // The statement ended the transaction that its record is in.
            return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
        }
        self.commit_recorded(connection, instance, &request.commit_sql(&answered.tag))
            .await
    }

    async fn commit_recorded(
        &mut self,
        connection: &mut CheckedOutConnection,
        instance: &InstanceId,
        sql: &str,
    ) -> Result<NamedOutcome, BatchError> {
        let mut bytes = BytesMut::new();
        bytes.extend_from_slice(query(sql).bytes());
        bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        let sent_at = self.shared.clock.now();
        let committed = async {
            connection.send(&bytes).await.ok()?;
            let reply = read_reply(connection).await.ok()?;
            let status = read_status(connection).await.ok()?;
            Some((reply, status))
        };
        let Some((reply, status)) = committed.await else {
            self.report_unreachable(instance);
            return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
        };
        if let Some(refused) = reply.refused {
            roll_back(connection).await?;
            self.io.clear();
            return self.map_refusal(&refused);
        }
        let status = status.ok_or(BatchError::Unknown(UnknownReason::ConnectionLost))?;
        Ok(NamedOutcome::Committed { status, sent_at })
    }

    fn map_refusal(&mut self, refused: &UpstreamRefusal) -> Result<NamedOutcome, BatchError> {
        if refused.sqlstate == READ_ONLY_SQLSTATE {
            return Ok(NamedOutcome::Retry(RetryReason::NotPrimary));
        }
        if refused.lacks_privilege() {
            return Err(unsupported(NO_TABLE));
        }
        self.io.put(&refused.error);
        Ok(NamedOutcome::Failed)
    }

    // Returns `None` if the record no longer exists.
    async fn answer_from_record(
        &mut self,
        connection: &mut CheckedOutConnection,
        batch: &MessageBatch,
        request: &NamedRequest,
    ) -> Result<Option<NamedOutcome>, BatchError> {
        let sent_at = self.shared.clock.now();
        let lookup = look_up(connection, request).await;
        let (record, status) =
            lookup.map_err(|_| BatchError::Unknown(UnknownReason::ConnectionLost))?;
        let Some(record) = record.filter(|record| has_run(Some(record))) else {
            return Ok(None);
        };
        match judge_record(&record, &request.digest) {
            RecordJudgement::AnotherRequest => {
                return Err(RefusalReason::RequestNameReused.into());
            }
            RecordJudgement::SameRequest(_) if batch.is_begin() => {
                self.io.put(&already_ran_error());
            }
            RecordJudgement::SameRequest(tag) => batch.put_recorded_answer(&tag, &mut self.io.out),
        }
        let mut status = status.ok_or(BatchError::Unknown(UnknownReason::ConnectionLost))?;
        // Another connection committed the record, at this position at the latest.
        status.last_commit = status.applied;
        counter!(ALREADY_RAN, "service" => self.service.to_string()).increment(1);
        Ok(Some(NamedOutcome::Committed { status, sent_at }))
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

// If the connection breaks meanwhile, the upstream rolls back, and the next use of the connection
// fails.
async fn roll_back(connection: &mut CheckedOutConnection) -> Result<(), BatchError> {
    let rolled_back = run_query(connection, "ROLLBACK").await;
    rolled_back.map_err(|_| BatchError::Unknown(UnknownReason::ConnectionLost))?;
    Ok(())
}

/// Creates the refusal of a batch that can't run under a name.
pub(crate) fn unsupported(hint: NamedHint) -> BatchError {
    BatchError::Hinted {
        refusal: refusal(RefusalReason::UnsupportedSessionState),
        hint,
    }
}
