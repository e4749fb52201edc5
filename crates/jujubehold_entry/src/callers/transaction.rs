//! Transactions.
//!
//! A transaction is opened on an instance with its first statement, so that a caller that pauses
//! after its BEGIN holds no connection. From then on it holds one connection until it ends.

use super::attempt::run_on;
use super::candidates::Candidate;
use super::failure::Failure;
use super::operation::{Operation, refuse};
use super::prepared::text_statement;
use super::primary_use::PrimaryUse;
use super::session::Session;
use super::single::{unknown_reason, upstream_failure};
use crate::pool::{ConnectionLease, LeasePurpose, Statement, UpstreamError};
use crate::prelude::*;
use crate::protocol::{
    Access, CallerRequest, ErrorCode, SessionState, UpstreamCommand, UpstreamReply,
};

/// The timeout of a rollback, after which the connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(800);
/// How many times a statement in a transaction is sent again if the instance was too busy to run
/// it.
const MAX_BUSY_RETRIES: u32 = 3;
/// The delay before the first such retry; it grows by the same amount with each one.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(25);
/// How long a caller is asked to wait before it begins a transaction again.
const BEGIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A caller's transaction.
#[derive(Debug)]
pub(crate) struct Transaction<P: Platform> {
    pub(crate) operation: Operation,
    begin: CallerRequest,
    is_read_only: bool,
    stage: Stage<P>,
}

#[derive(Debug)]
enum Stage<P: Platform> {
    /// Nothing has been sent to an instance yet.
    Unopened,
    Open(Box<OpenTransaction<P>>),
    /// The transaction failed; it is rolled back.
    Failed,
}

#[derive(Debug)]
struct OpenTransaction<P: Platform> {
    lease: ConnectionLease<P>,
    has_written: bool,
    primary_use: Option<PrimaryUse<P>>,
}

impl<P: Platform> Transaction<P> {
    pub(crate) fn new(operation: Operation, begin: CallerRequest, is_read_only: bool) -> Self {
        Self {
            operation,
            begin,
            is_read_only,
            stage: Stage::Unopened,
        }
    }

    /// Returns the transaction state of the session.
    pub(crate) fn state(&self) -> SessionState {
        match self.stage {
            Stage::Unopened | Stage::Open(_) => SessionState::InTransaction,
            Stage::Failed => SessionState::Failed,
        }
    }

    /// Returns whether the transaction holds a connection.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open(_))
    }

    /// Fails the transaction and rolls it back in the background. The connection is returned to the
    /// pool once the instance has answered.
    pub(crate) fn fail(&mut self) {
        let stage = std::mem::replace(&mut self.stage, Stage::Failed);
        if let Stage::Open(open) = stage {
            actix_rt::spawn(roll_back(*open));
        }
    }
}

async fn roll_back<P: Platform>(open: OpenTransaction<P>) {
    let OpenTransaction {
        mut lease,
        primary_use,
        ..
    } = open;
    if lease.state() == SessionState::Idle {
        lease.finish();
        return;
    }
    let rollback = lease.run_command(&UpstreamCommand::Rollback);
    // Without a reply the connection is closed, which also rolls the transaction back.
    if let Ok(Ok(_)) = tokio::time::timeout(ROLLBACK_TIMEOUT, rollback).await {
        lease.finish();
    }
    drop(primary_use);
}

impl<P: Platform> Session<P> {
    /// Runs a statement in the session's transaction.
    pub(crate) async fn run_in_transaction(
        &mut self,
        transaction: &mut Transaction<P>,
        statement: &Statement,
        access: Access,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        let result = self
            .try_in_transaction(transaction, statement, access, arrived_at)
            .await;
        if result.is_err() && !stays_open(transaction, &result) {
            transaction.fail();
        }
        result
    }

    async fn try_in_transaction(
        &mut self,
        transaction: &mut Transaction<P>,
        statement: &Statement,
        access: Access,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        self.open(transaction, arrived_at).await?;
        let Stage::Open(open) = &mut transaction.stage else {
            return Err(already_failed());
        };
        let operation = &transaction.operation;
        open.has_written |= access == Access::Write;
        let reply = self
            .run_with_busy_retries(operation, open, statement, arrived_at)
            .await?;
        if reply.error().is_some() {
            return Err(upstream_failure(&reply));
        }
        let service = &operation.route.service;
        let instance = open.lease.upstream().id();
        if open.primary_use.is_some() && !self.is_confirmed(service, &instance).await {
            return Err(Failure::RolledBack("primary_replaced".into()));
        }
        Ok(reply)
    }

    // A statement that the instance was too busy to run has not run, and the transaction is
    // unchanged.
    async fn run_with_busy_retries(
        &self,
        operation: &Operation,
        open: &mut OpenTransaction<P>,
        statement: &Statement,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        let give_up_at = operation.wait_limits(arrived_at).give_up_at;
        let mut retries = 0;
        loop {
            let now = self.shared.now();
            let timeout = operation.deadline(arrived_at).saturating_sub(now);
            let values = &self.values;
            let result = run_on(
                &self.shared,
                &mut open.lease,
                statement,
                None,
                values,
                timeout,
            )
            .await;
            // After an error the connection is closed, which rolls the transaction back.
            let reply = result
                .map_err(|error| Failure::RolledBack(unknown_reason(&error).as_str().into()))?;
            let is_busy = reply.is_busy() && reply.state == Some(SessionState::InTransaction);
            if !is_busy
                || retries == MAX_BUSY_RETRIES
                || self.shared.now() + BUSY_RETRY_DELAY > give_up_at
            {
                return Ok(reply);
            }
            retries += 1;
            actix_rt::time::sleep(BUSY_RETRY_DELAY * retries).await;
        }
    }

    /// Commits the transaction.
    pub(crate) async fn commit(
        &mut self,
        mut transaction: Transaction<P>,
        request: &CallerRequest,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        if transaction.state() == SessionState::Failed {
            return Err(Failure::RolledBack("transaction_failed".into()));
        }
        self.open(&mut transaction, arrived_at).await?;
        let Stage::Open(open) = transaction.stage else {
            return Err(Failure::RolledBack("transaction_failed".into()));
        };
        let OpenTransaction {
            mut lease,
            has_written,
            primary_use,
        } = *open;
        let operation = &transaction.operation;
        let deadline = operation.deadline(arrived_at);
        let timeout = deadline.saturating_sub(self.shared.now());
        let statement = text_statement(request);
        let values = &self.values;
        self.may_have_run.set(has_written);
        let result = run_on(&self.shared, &mut lease, &statement, None, values, timeout).await;
        let reply = match result {
            Ok(reply) => reply,
            Err(error) if has_written && !matches!(error, UpstreamError::NotRun(_)) => {
                return Err(Failure::Unknown(unknown_reason(&error)));
            }
            // The transaction wrote nothing, or its COMMIT was not sent and its connection is closed,
            // so it can't have had an effect.
            Err(error) => {
                let reason = unknown_reason(&error).as_str();
                return Err(Failure::RolledBack(reason.into()));
            }
        };
        let upstream = Rc::clone(lease.upstream());
        finish_after_commit(lease);
        let result = if reply.error().is_some() {
            Err(upstream_failure(&reply))
        } else if has_written {
            let service = &operation.route.service;
            self.acknowledge(service, &upstream, reply, arrived_at)
                .await
        } else {
            Ok(reply)
        };
        drop(primary_use);
        result
    }

    /// Opens the transaction on an instance, unless it is open.
    async fn open(
        &mut self,
        transaction: &mut Transaction<P>,
        arrived_at: Monotonic,
    ) -> Result<(), Failure> {
        match transaction.stage {
            Stage::Open(_) => return Ok(()),
            Stage::Failed => {
                return Err(already_failed());
            }
            Stage::Unopened => {}
        }
        let operation = transaction.operation.clone();
        let admitted = self.admit(&operation, arrived_at).await?;
        let result = self
            .open_anywhere(transaction, &operation, arrived_at)
            .await;
        self.return_unused(&operation, admitted);
        result
    }

    async fn open_anywhere(
        &mut self,
        transaction: &mut Transaction<P>,
        operation: &Operation,
        arrived_at: Monotonic,
    ) -> Result<(), Failure> {
        let candidates = if transaction.is_read_only {
            self.read_candidates(operation, arrived_at).await?
        } else {
            vec![Candidate {
                upstream: self.primary(operation, arrived_at).await?,
                is_primary: true,
                after: None,
                wait: Duration::ZERO,
            }]
        };
        let begin = text_statement(&transaction.begin);
        let mut failure = None;
        for candidate in candidates {
            match self
                .open_at(operation, &begin, &candidate, arrived_at)
                .await
            {
                Ok(open) => {
                    transaction.stage = Stage::Open(Box::new(open));
                    return Ok(());
                }
                Err(reason) => {
                    self.log_retry(&begin, &candidate.upstream, &reason);
                    failure = Some(reason);
                }
            }
            if self.shared.now() >= operation.wait_limits(arrived_at).give_up_at {
                break;
            }
        }
        Err(failure
            .unwrap_or_else(|| refuse(RefusalReason::NoFreshReplica, BEGIN_RETRY_DELAY).into()))
    }

    // A transaction that fails to open has run nothing, so a lost connection is reported as a
    // refusal.
    async fn open_at(
        &self,
        operation: &Operation,
        begin: &Statement,
        candidate: &Candidate<P>,
        arrived_at: Monotonic,
    ) -> Result<OpenTransaction<P>, Failure> {
        let primary_use = candidate
            .is_primary
            .then(|| PrimaryUse::begin(&self.shared, &operation.route.service));
        let mut lease = self
            .acquire(
                operation,
                &candidate.upstream,
                LeasePurpose::Transaction,
                arrived_at,
            )
            .await
            .map_err(super::single::AttemptError::into_failure)?;
        let timeout = operation
            .deadline(arrived_at)
            .saturating_sub(self.shared.now())
            .min(BEGIN_TIMEOUT);
        let values = &self.values;
        let after = candidate.after;
        let may_have_run = self.may_have_run.replace(true);
        let result = run_on(&self.shared, &mut lease, begin, after, values, timeout).await;
        let reply = result.map_err(|error| begin_failure(&error))?;
        if reply.error().is_some() {
            lease.finish();
            self.note_not_run(&reply, may_have_run);
            return Err(upstream_failure(&reply));
        }
        Ok(OpenTransaction {
            lease,
            has_written: false,
            primary_use,
        })
    }
}

fn begin_failure(error: &UpstreamError) -> Failure {
    match error {
        UpstreamError::NotRun(refusal) => refusal.clone().into(),
        UpstreamError::TimedOut
        | UpstreamError::OwnerLost
        | UpstreamError::Unreachable(_)
        | UpstreamError::ConnectionLimit
        | UpstreamError::Refused(_)
        | UpstreamError::InvalidName(_)
        | UpstreamError::Broken(_)
        | UpstreamError::Malformed => {
            refuse(RefusalReason::UpstreamUnreachable, BEGIN_RETRY_DELAY).into()
        }
    }
}

/// The timeout for opening a transaction, which runs nothing.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the failure of a statement in a failed transaction.
pub(super) fn already_failed() -> Failure {
    Failure::error(ErrorCode::Malformed, "the transaction failed")
}

// An instance that refused a COMMIT may still have the transaction open.
fn finish_after_commit<P: Platform>(lease: ConnectionLease<P>) {
    if lease.state() == SessionState::Idle {
        lease.finish();
        return;
    }
    let open = OpenTransaction {
        lease,
        has_written: false,
        primary_use: None,
    };
    actix_rt::spawn(roll_back(open));
}

// Returns whether the transaction stays open after `result`. After an error by which the upstream
// states neither that the statement did not run nor that the transaction was rolled back, the
// transaction has the state that the upstream reported.
fn stays_open<P: Platform>(
    transaction: &Transaction<P>,
    result: &Result<UpstreamReply, Failure>,
) -> bool {
    let Stage::Open(open) = &transaction.stage else {
        return false;
    };
    let is_open = open.lease.state() == SessionState::InTransaction;
    let is_statement_error = matches!(result, Err(Failure::Error { code, .. })
        if !code.is_not_run() && *code != ErrorCode::RolledBack);
    is_open && is_statement_error
}
