//! Transactions.
//!
//! A transaction is opened at an instance with its first statement, so that a caller that thinks
//! after its BEGIN holds no connection. From then on it keeps one connection to its end.

use super::attempt::run_on;
use super::candidates::Candidate;
use super::failure::Failure;
use super::operation::{Operation, refuse};
use super::prepared::text_of;
use super::primary_use::PrimaryUse;
use super::session::Session;
use super::single::{told, unknown_reason};
use crate::pool::{ConnectionLease, Statement};
use crate::prelude::*;
use crate::protocol::{
    Access, CallerRequest, ErrorCode, SessionState, UpstreamCommand, UpstreamReply,
};

/// How long a rollback may take before its connection is closed instead.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(800);
/// How often a statement that found its instance full is sent again within its transaction.
const BUSY_RETRIES: u32 = 3;
/// How long such a statement waits before it is sent again.
const BUSY_PAUSE: Duration = Duration::from_millis(25);
/// What a caller is asked to wait before it begins a transaction again.
const BEGIN_AGAIN: Duration = Duration::from_millis(100);

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
    /// Nothing has gone to an instance yet.
    Unopened,
    Open(Box<OpenTransaction<P>>),
    /// It failed, and nothing of it is left at an instance.
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

    /// Where the session stands.
    pub(crate) fn state(&self) -> SessionState {
        match self.stage {
            Stage::Unopened | Stage::Open(_) => SessionState::InTransaction,
            Stage::Failed => SessionState::Failed,
        }
    }

    /// Whether it holds a connection.
    pub(crate) fn is_open(&self) -> bool {
        matches!(self.stage, Stage::Open(_))
    }

    /// Drops its effect. The connection is given back as soon as the instance has done so.
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
    let rollback = lease.ask(&UpstreamCommand::Rollback);
    // Without a reply the connection is closed, which rolls back too.
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
        if result.is_err() && !keeps_open(transaction, &result) {
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
            .run_pinned(operation, open, statement, arrived_at)
            .await?;
        if reply.error().is_some() {
            return Err(told(&reply));
        }
        let service = &operation.route.service;
        let instance = open.lease.upstream().id();
        if open.primary_use.is_some() && !self.is_confirmed(service, &instance).await {
            return Err(Failure::RolledBack("primary_replaced".into()));
        }
        Ok(reply)
    }

    // What finds the instance full has not run, and the transaction is as it was.
    async fn run_pinned(
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
            // The connection is closed, and with it the transaction is rolled back.
            let reply = result
                .map_err(|error| Failure::RolledBack(unknown_reason(&error).as_str().into()))?;
            let is_full = reply.error() == Some(ErrorCode::Busy)
                && reply.state == Some(SessionState::InTransaction);
            if !is_full || retries == BUSY_RETRIES || self.shared.now() + BUSY_PAUSE > give_up_at {
                return Ok(reply);
            }
            retries += 1;
            actix_rt::time::sleep(BUSY_PAUSE * retries).await;
        }
    }

    /// Ends the transaction and keeps its effect.
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
        let statement = text_of(request);
        let values = &self.values;
        let result = run_on(&self.shared, &mut lease, &statement, None, values, timeout).await;
        let reply = match result {
            Ok(reply) => reply,
            Err(error) if has_written => return Err(Failure::Unknown(unknown_reason(&error))),
            // Nothing was written, so nothing can be kept.
            Err(error) => {
                let reason = unknown_reason(&error).as_str();
                return Err(Failure::RolledBack(reason.into()));
            }
        };
        let upstream = Rc::clone(lease.upstream());
        finish_after_commit(lease);
        let result = if reply.error().is_some() {
            Err(told(&reply))
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

    /// Opens the transaction at an instance, unless it is open.
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
        let candidates = if transaction.is_read_only {
            self.read_candidates(&operation, arrived_at).await?
        } else {
            vec![Candidate {
                upstream: self.primary(&operation, arrived_at).await?,
                is_primary: true,
                after: None,
                wait: Duration::ZERO,
            }]
        };
        let begin = text_of(&transaction.begin);
        let mut failure = None;
        for candidate in candidates {
            match self
                .open_at(&operation, &begin, &candidate, arrived_at)
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
        Err(failure.unwrap_or_else(|| refuse(RefusalReason::NoFreshReplica, BEGIN_AGAIN).into()))
    }

    // A transaction in which nothing has run leaves nothing behind.
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
            .acquire(operation, &candidate.upstream, arrived_at)
            .await
            .map_err(super::single::TryError::into_failure)?;
        let timeout = operation
            .deadline(arrived_at)
            .saturating_sub(self.shared.now())
            .min(BEGIN_TIMEOUT);
        let values = &self.values;
        let after = candidate.after;
        let result = run_on(&self.shared, &mut lease, begin, after, values, timeout).await;
        let reply = result
            .map_err(|_| Failure::from(refuse(RefusalReason::UpstreamUnreachable, BEGIN_AGAIN)))?;
        if reply.error().is_some() {
            lease.finish();
            return Err(told(&reply));
        }
        Ok(OpenTransaction {
            lease,
            has_written: false,
            primary_use,
        })
    }
}

/// How long an instance may take to open a transaction, which runs nothing.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(500);

/// What a statement in a failed transaction is told.
pub(super) fn already_failed() -> Failure {
    Failure::told(ErrorCode::Malformed, "the transaction failed")
}

// An instance that refused a COMMIT may still hold the transaction.
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

// An upstream's own error that promises nothing leaves the transaction as the upstream says.
fn keeps_open<P: Platform>(
    transaction: &Transaction<P>,
    result: &Result<UpstreamReply, Failure>,
) -> bool {
    let Stage::Open(open) = &transaction.stage else {
        return false;
    };
    let is_open = open.lease.state() == SessionState::InTransaction;
    let is_upstreams_own = matches!(result, Err(Failure::Told { code, .. })
        if !code.is_not_run() && *code != ErrorCode::RolledBack);
    is_open && is_upstreams_own
}
