//! Statements outside a transaction, and the functions that they share with transactions.

use std::collections::BTreeSet;

use jujubehold_core::wait_policy::WaitPolicy;
use log::info;
use metrics::counter;

use super::attempt::run_on;
use super::candidates::Candidate;
use super::failure::Failure;
use super::operation::{Operation, refuse};
use super::primary_use::PrimaryUse;
use super::session::Session;
use crate::metric_names::RETRIES;
use crate::pool::{
    ConnectionLease, LeasePurpose, OwnerRequest, Statement, Upstream, UpstreamError,
};
use crate::prelude::*;
use crate::protocol::{ErrorCode, UpstreamOutcome, UpstreamReply};
use crate::shared::millis;

/// The shortest timeout of a read's attempt on an instance while another one is left to try, unless
/// the deadline is earlier.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(450);
/// How many times its expected answer time an instance may take before another one is tried.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 4;
/// How long an acknowledgement may wait for the proof that the primary is still the primary.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay before a statement is sent again after the instance was too busy to run it.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(20);
/// When a caller is asked to retry that was refused since there is no usable primary.
const EXPECTED_PRIMARY_CHANGE: Duration = WaitPolicy::EXPECTED_PRIMARY_CHANGE;

impl<P: Platform> Session<P> {
    /// Runs a read outside a transaction.
    ///
    /// A replica that has not reached the required position is tried again when it is expected to
    /// have reached it; an instance that failed for another reason is not tried again.
    pub(crate) async fn run_read(
        &mut self,
        operation: &Operation,
        statement: &Statement,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        let mut failed = BTreeSet::new();
        let mut last_failure = None;
        let give_up_at = operation.catch_up_until(arrived_at);
        loop {
            let mut candidates = self.read_candidates(operation, arrived_at).await?;
            candidates.retain(|candidate| !failed.contains(&candidate.upstream.id()));
            let is_last = candidates.len() == 1;
            let Some(candidate) = candidates.into_iter().next() else {
                break;
            };
            if !self.wait_for_candidate(&candidate, give_up_at).await {
                break;
            }
            let result = self
                .try_read(operation, statement, arrived_at, &candidate, is_last)
                .await;
            let failure = match result {
                Ok(reply) => return Ok(reply),
                Err(AttemptError::Final(failure)) => return Err(failure),
                Err(AttemptError::Retryable(failure)) => failure,
            };
            self.log_retry(statement, &candidate.upstream, &failure);
            // The last remaining instance may have capacity again before the caller is refused.
            if is_last && failure.is_busy() && self.may_retry_busy(operation, arrived_at) {
                actix_rt::time::sleep(BUSY_RETRY_DELAY).await;
            } else if !failure.is_behind() {
                failed.insert(candidate.upstream.id());
            }
            last_failure = Some(failure);
            if self.shared.now() >= operation.deadline(arrived_at) {
                break;
            }
        }
        let none = || refuse(RefusalReason::NoFreshReplica, EXPECTED_PRIMARY_CHANGE).into();
        Err(last_failure.unwrap_or_else(none))
    }

    async fn try_read(
        &mut self,
        operation: &Operation,
        statement: &Statement,
        arrived_at: Monotonic,
        candidate: &Candidate<P>,
        is_last: bool,
    ) -> Result<UpstreamReply, AttemptError> {
        let service = &operation.route.service;
        let _use = candidate
            .is_primary
            .then(|| PrimaryUse::begin(&self.shared, service));
        let mut lease = self
            .acquire(
                operation,
                &candidate.upstream,
                LeasePurpose::Read,
                arrived_at,
            )
            .await?;
        let timeout = self.attempt_timeout(operation, arrived_at, &candidate.upstream, is_last);
        let may_have_run = self.may_have_run.replace(true);
        let result = run_on(
            &self.shared,
            &mut lease,
            statement,
            candidate.after,
            &self.values,
            timeout,
        )
        .await;
        let reply = match result {
            Ok(reply) => reply,
            // It is safe to run a read twice.
            Err(error) if is_last => return Err(AttemptError::Final(read_failure(&error))),
            Err(error) => return Err(AttemptError::Retryable(read_failure(&error))),
        };
        lease.finish();
        self.note_not_run(&reply, may_have_run);
        if let Some(code) = reply.error() {
            let failure = upstream_failure(&reply);
            return Err(if code.is_not_run() {
                AttemptError::Retryable(failure)
            } else {
                AttemptError::Final(failure)
            });
        }
        if candidate.is_primary && !self.is_confirmed(service, &candidate.upstream.id()).await {
            let refusal = refuse(RefusalReason::NoPrimary, EXPECTED_PRIMARY_CHANGE);
            return Err(AttemptError::Retryable(refusal.into()));
        }
        self.count_read(service, candidate.is_primary, arrived_at);
        Ok(reply)
    }

    /// Runs a write outside a transaction.
    pub(crate) async fn run_write(
        &mut self,
        operation: &Operation,
        statement: &Statement,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        let service = operation.route.service.clone();
        let mut is_retry = false;
        loop {
            let upstream = self.primary(operation, arrived_at).await?;
            let _use = PrimaryUse::begin(&self.shared, &service);
            let mut lease = self
                .acquire(operation, &upstream, LeasePurpose::Write, arrived_at)
                .await
                .map_err(AttemptError::into_failure)?;
            let deadline = operation.deadline(arrived_at);
            let timeout = deadline.saturating_sub(self.shared.now());
            let may_have_run = self.may_have_run.replace(true);
            let result = run_on(
                &self.shared,
                &mut lease,
                statement,
                None,
                &self.values,
                timeout,
            )
            .await;
            let reply = result.map_err(|error| write_failure(&error))?;
            lease.finish();
            self.note_not_run(&reply, may_have_run);
            match reply.error() {
                Some(ErrorCode::ReadOnly) if !is_retry => {
                    // The instance is no longer the primary, but the table does not show it yet.
                    self.log_retry(statement, &upstream, &upstream_failure(&reply));
                    is_retry = true;
                    self.shared.wait_for_change(Duration::from_millis(40)).await;
                }
                Some(ErrorCode::Busy) if self.may_retry_busy(operation, arrived_at) => {
                    self.log_retry(statement, &upstream, &upstream_failure(&reply));
                    actix_rt::time::sleep(BUSY_RETRY_DELAY).await;
                }
                Some(_) => return Err(upstream_failure(&reply)),
                None => {
                    return self
                        .acknowledge(&service, &upstream, reply, arrived_at)
                        .await;
                }
            }
        }
    }

    /// Acknowledges a commit if its primary is confirmed to be still the primary.
    pub(crate) async fn acknowledge(
        &mut self,
        service: &ServiceId,
        upstream: &Rc<Upstream<P>>,
        reply: UpstreamReply,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        if !self.is_confirmed(service, &upstream.id()).await {
            return Err(Failure::Unknown(UnknownReason::AuthorityLost));
        }
        self.floor = self.floor.max(reply.position);
        let seconds = self.shared.now().saturating_sub(arrived_at).as_secs_f64();
        // Without a position the commit may be anywhere in the log.
        let acknowledged = reply.position.unwrap_or(LogPosition::END);
        self.shared.with_group(service, |group| {
            group.acknowledged = group.acknowledged.max(acknowledged);
            group.metrics.writes.increment(1);
            group.metrics.write_seconds.record(seconds);
        });
        Ok(reply)
    }

    /// Returns whether `instance` has been the primary until now. Waits up to
    /// [`CONFIRMATION_TIMEOUT`] for a proof.
    pub(crate) async fn is_confirmed(&self, service: &ServiceId, instance: &InstanceId) -> bool {
        let give_up_at = self.shared.now() + CONFIRMATION_TIMEOUT;
        loop {
            if self.shared.may_acknowledge(service, instance) {
                return true;
            }
            let now = self.shared.now();
            if now >= give_up_at || !self.shared.may_be_confirmed(service, instance) {
                return false;
            }
            self.shared
                .wait_for_change(give_up_at.saturating_sub(now))
                .await;
        }
    }

    /// Returns the primary, and waits while it is being replaced. A replacement that has to wait for an
    /// instance is not waited for.
    pub(crate) async fn primary(
        &self,
        operation: &Operation,
        arrived_at: Monotonic,
    ) -> Result<Rc<Upstream<P>>, Failure> {
        let give_up_at = operation.give_up_on_primary_at(arrived_at);
        loop {
            if let Some(upstream) = self.shared.usable_primary(&operation.route.service) {
                return Ok(upstream);
            }
            let now = self.shared.now();
            let is_awaited = self.shared.awaits_instance(&operation.route.service);
            if now >= give_up_at || is_awaited {
                return Err(refuse(RefusalReason::NoPrimary, EXPECTED_PRIMARY_CHANGE).into());
            }
            self.shared
                .wait_for_change(give_up_at.saturating_sub(now))
                .await;
        }
    }

    /// Leases a connection to an instance. Where other hosts own its connections, the connection is
    /// acquired with the first statement.
    pub(crate) async fn acquire(
        &self,
        operation: &Operation,
        upstream: &Rc<Upstream<P>>,
        purpose: LeasePurpose,
        arrived_at: Monotonic,
    ) -> Result<ConnectionLease<P>, AttemptError> {
        let asked_at = self.shared.now();
        let limits = operation.wait_limits(arrived_at);
        let owners = self
            .shared
            .owners_for(upstream, operation.customer.as_ref());
        if !owners.is_empty() {
            let request = OwnerRequest {
                links: Rc::clone(&self.shared.peer_links),
                owners,
                customer: operation.customer.clone(),
                limits,
                purpose,
            };
            return Ok(ConnectionLease::at_owner(Rc::clone(upstream), request));
        }
        let customer = operation.customer.as_ref();
        let result = upstream.acquire(customer, &self.values, limits).await;
        let waited = self.shared.now().saturating_sub(asked_at);
        self.shared.with_group(&operation.route.service, |group| {
            group
                .metrics
                .connection_wait_seconds
                .record(waited.as_secs_f64());
        });
        result.map_err(|error| AttemptError::Retryable(error.refusal().into()))
    }

    // Returns whether there is time to retry a statement that an instance was too busy to run. Such
    // a statement has not run, and it waits no longer than it would for a connection.
    fn may_retry_busy(&self, operation: &Operation, arrived_at: Monotonic) -> bool {
        self.shared.now() + BUSY_RETRY_DELAY < operation.wait_limits(arrived_at).give_up_at
    }

    fn attempt_timeout(
        &self,
        operation: &Operation,
        arrived_at: Monotonic,
        upstream: &Upstream<P>,
        is_last: bool,
    ) -> Duration {
        let now = self.shared.now();
        let remaining = operation.deadline(arrived_at).saturating_sub(now);
        if is_last {
            return remaining;
        }
        let expected = upstream.health.borrow().expected_time(now);
        remaining.min(MIN_ATTEMPT_TIMEOUT.max(expected * ATTEMPT_TIMEOUT_FACTOR))
    }

    fn count_read(&self, service: &ServiceId, is_primary: bool, arrived_at: Monotonic) {
        let seconds = self.shared.now().saturating_sub(arrived_at).as_secs_f64();
        self.shared.with_group(service, |group| {
            let metrics = &group.metrics;
            let role = if is_primary {
                &metrics.primary_reads
            } else {
                &metrics.replica_reads
            };
            role.increment(1);
            metrics.read_seconds.record(seconds);
        });
    }

    pub(crate) fn log_retry(
        &self,
        statement: &Statement,
        upstream: &Upstream<P>,
        failure: &Failure,
    ) {
        let now = self.shared.now();
        let service = upstream.entry().service.to_string();
        let reason = failure.reason().to_string();
        counter!(RETRIES, "service" => service, "reason" => reason).increment(1);
        if self.shared.log.allows(now) {
            info!(request = statement.id(), instance = upstream.id().as_str(),
                reason = failure.reason().as_str(), now_ms = millis(now);
                "an attempt failed and may be retried");
        }
    }
}

/// The error of one attempt.
#[derive(Debug)]
pub(crate) enum AttemptError {
    /// The statement may be tried on another instance.
    Retryable(Failure),
    /// The failure is reported to the caller.
    Final(Failure),
}

impl AttemptError {
    pub(crate) fn into_failure(self) -> Failure {
        match self {
            Self::Retryable(failure) | Self::Final(failure) => failure,
        }
    }
}

/// Returns the error of an upstream's reply as a failure.
pub(crate) fn upstream_failure(reply: &UpstreamReply) -> Failure {
    match &reply.outcome {
        Some(UpstreamOutcome::Error { code, detail }) => Failure::Error {
            code: *code,
            detail: detail.clone(),
        },
        Some(UpstreamOutcome::Complete { .. }) | None => {
            Failure::error(ErrorCode::Other, "the upstream said nothing")
        }
    }
}

/// Returns why it is not known whether a statement ran whose connection failed.
pub(crate) fn unknown_reason(error: &UpstreamError) -> UnknownReason {
    match error {
        UpstreamError::TimedOut => UnknownReason::TimedOut,
        UpstreamError::OwnerLost => UnknownReason::OwnerLost,
        UpstreamError::NotRun(_)
        | UpstreamError::Unreachable(_)
        | UpstreamError::ConnectionLimit
        | UpstreamError::Refused(_)
        | UpstreamError::InvalidName(_)
        | UpstreamError::Broken(_)
        | UpstreamError::Malformed => UnknownReason::ConnectionLost,
    }
}

fn write_failure(error: &UpstreamError) -> Failure {
    match error {
        UpstreamError::NotRun(refusal) => refusal.clone().into(),
        UpstreamError::TimedOut
        | UpstreamError::OwnerLost
        | UpstreamError::Unreachable(_)
        | UpstreamError::ConnectionLimit
        | UpstreamError::Refused(_)
        | UpstreamError::InvalidName(_)
        | UpstreamError::Broken(_)
        | UpstreamError::Malformed => Failure::Unknown(unknown_reason(error)),
    }
}

// A read changes nothing, so a lost connection is reported as a refusal, which the caller may
// retry.
fn read_failure(error: &UpstreamError) -> Failure {
    match error {
        UpstreamError::TimedOut => Failure::Unknown(UnknownReason::TimedOut),
        UpstreamError::NotRun(refusal) => refusal.clone().into(),
        UpstreamError::OwnerLost => refuse(RefusalReason::OwnerUnreachable, Duration::ZERO).into(),
        UpstreamError::Unreachable(_)
        | UpstreamError::ConnectionLimit
        | UpstreamError::Refused(_)
        | UpstreamError::InvalidName(_)
        | UpstreamError::Broken(_)
        | UpstreamError::Malformed => {
            refuse(RefusalReason::UpstreamUnreachable, EXPECTED_PRIMARY_CHANGE).into()
        }
    }
}
