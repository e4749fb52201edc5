//! Statements outside a transaction.

use std::collections::BTreeSet;

use log::info;
use metrics::counter;

use super::attempt::run_on;
use super::candidates::Candidate;
use super::failure::Failure;
use super::operation::{Operation, refuse};
use super::primary_use::PrimaryUse;
use super::session::Session;
use crate::metric_names::RETRIES;
use crate::pool::{AcquireError, ConnectionLease, Statement, Upstream, UpstreamError};
use crate::prelude::*;
use crate::protocol::{ErrorCode, UpstreamOutcome, UpstreamReply};
use crate::shared::millis;

/// How long an attempt at a replica may take while another instance is left to try.
const REPLICA_PATIENCE: Duration = Duration::from_millis(450);
/// How many times its usual answer time an instance may take before another one is tried.
const PATIENCE_FACTOR: u32 = 4;
/// How long an acknowledgement may wait for the proof that the primary still leads.
const PROOF_PATIENCE: Duration = Duration::from_millis(1_500);
/// How long a statement waits before it is sent again to an instance that was too busy to run it.
const BUSY_PAUSE: Duration = Duration::from_millis(20);
/// What a caller is asked to wait for a primary to be replaced.
const CHANGE_EXPECTED: Duration = Duration::from_millis(600);

impl<P: Platform> Session<P> {
    /// Runs a read outside a transaction.
    ///
    /// A replica that lacks the position is asked again when it should have it; an instance that
    /// failed otherwise is passed over.
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
                Err(TryError::Final(failure)) => return Err(failure),
                Err(TryError::Next(failure)) => failure,
            };
            self.log_retry(statement, &candidate.upstream, &failure);
            // The last one that is left may have room again before the caller is refused.
            if is_last && failure.is_busy() && self.may_wait_for_room(operation, arrived_at) {
                actix_rt::time::sleep(BUSY_PAUSE).await;
            } else if !failure.is_behind() {
                failed.insert(candidate.upstream.id());
            }
            last_failure = Some(failure);
            if self.shared.now() >= operation.deadline(arrived_at) {
                break;
            }
        }
        let none = || refuse(RefusalReason::NoFreshReplica, CHANGE_EXPECTED).into();
        Err(last_failure.unwrap_or_else(none))
    }

    async fn try_read(
        &mut self,
        operation: &Operation,
        statement: &Statement,
        arrived_at: Monotonic,
        candidate: &Candidate<P>,
        is_last: bool,
    ) -> Result<UpstreamReply, TryError> {
        let service = &operation.route.service;
        let _use = candidate
            .is_primary
            .then(|| PrimaryUse::begin(&self.shared, service));
        let mut lease = self
            .acquire(operation, &candidate.upstream, arrived_at)
            .await?;
        let timeout = self.patience(operation, arrived_at, &candidate.upstream, is_last);
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
            // A read may run twice.
            Err(error) if is_last => return Err(TryError::Final(lost_read(&error))),
            Err(error) => return Err(TryError::Next(lost_read(&error))),
        };
        lease.finish();
        if let Some(code) = reply.error() {
            let failure = told(&reply);
            return Err(if code.is_not_run() {
                TryError::Next(failure)
            } else {
                TryError::Final(failure)
            });
        }
        if candidate.is_primary && !self.is_confirmed(service, &candidate.upstream.id()).await {
            let refusal = refuse(RefusalReason::NoPrimary, CHANGE_EXPECTED);
            return Err(TryError::Next(refusal.into()));
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
                .acquire(operation, &upstream, arrived_at)
                .await
                .map_err(TryError::into_failure)?;
            let deadline = operation.deadline(arrived_at);
            let timeout = deadline.saturating_sub(self.shared.now());
            let result = run_on(
                &self.shared,
                &mut lease,
                statement,
                None,
                &self.values,
                timeout,
            )
            .await;
            let reply = result.map_err(|error| Failure::Unknown(unknown_reason(&error)))?;
            lease.finish();
            match reply.error() {
                Some(ErrorCode::ReadOnly) if !is_retry => {
                    // The instance lost the lead before the table said so.
                    self.log_retry(statement, &upstream, &told(&reply));
                    is_retry = true;
                    self.shared.wait_for_change(Duration::from_millis(40)).await;
                }
                Some(ErrorCode::Busy) if self.may_wait_for_room(operation, arrived_at) => {
                    self.log_retry(statement, &upstream, &told(&reply));
                    actix_rt::time::sleep(BUSY_PAUSE).await;
                }
                Some(_) => return Err(told(&reply)),
                None => {
                    return self
                        .acknowledge(&service, &upstream, reply, arrived_at)
                        .await;
                }
            }
        }
    }

    /// Tells a commit only while its primary surely leads.
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
        self.shared.with_group(service, |group| {
            group.metrics.writes.increment(1);
            group.metrics.write_seconds.record(seconds);
        });
        Ok(reply)
    }

    /// Whether `instance` led until now, as far as can be found out soon.
    pub(crate) async fn is_confirmed(&self, service: &ServiceId, instance: &InstanceId) -> bool {
        let give_up_at = self.shared.now() + PROOF_PATIENCE;
        loop {
            if self.shared.may_acknowledge(service, instance) {
                return true;
            }
            let now = self.shared.now();
            if now >= give_up_at || !self.shared.may_be_proved(service, instance) {
                return false;
            }
            self.shared
                .wait_for_change(give_up_at.saturating_sub(now))
                .await;
        }
    }

    /// The primary, waited for while it is being replaced.
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
            if now >= give_up_at {
                return Err(refuse(RefusalReason::NoPrimary, CHANGE_EXPECTED).into());
            }
            self.shared
                .wait_for_change(give_up_at.saturating_sub(now))
                .await;
        }
    }

    /// Lends a connection to an instance.
    pub(crate) async fn acquire(
        &self,
        operation: &Operation,
        upstream: &Rc<Upstream<P>>,
        arrived_at: Monotonic,
    ) -> Result<ConnectionLease<P>, TryError> {
        let asked_at = self.shared.now();
        let limits = operation.wait_limits(arrived_at);
        let result = upstream.acquire(&self.values, limits).await;
        let waited = self.shared.now().saturating_sub(asked_at);
        self.shared.with_group(&operation.route.service, |group| {
            group
                .metrics
                .connection_wait_seconds
                .record(waited.as_secs_f64());
        });
        result.map_err(|error| {
            let refusal = match &error {
                AcquireError::NoneFree { expected_wait } => {
                    refuse(RefusalReason::QueueFull, *expected_wait)
                }
                AcquireError::Upstream(UpstreamError::ConnectionLimit) => {
                    refuse(RefusalReason::QueueFull, Duration::ZERO)
                }
                AcquireError::Upstream(_) => {
                    refuse(RefusalReason::UpstreamUnreachable, CHANGE_EXPECTED)
                }
            };
            TryError::Next(refusal.into())
        })
    }

    // What an instance was too busy for has not run, and waits as it would for a connection.
    fn may_wait_for_room(&self, operation: &Operation, arrived_at: Monotonic) -> bool {
        self.shared.now() + BUSY_PAUSE < operation.wait_limits(arrived_at).give_up_at
    }

    fn patience(
        &self,
        operation: &Operation,
        arrived_at: Monotonic,
        upstream: &Upstream<P>,
        is_last: bool,
    ) -> Duration {
        let now = self.shared.now();
        let left = operation.deadline(arrived_at).saturating_sub(now);
        if is_last {
            return left;
        }
        let usual = upstream.health.borrow().expected_time(now);
        left.min(REPLICA_PATIENCE.max(usual * PATIENCE_FACTOR))
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

    pub(crate) fn log_retry(&self, statement: &Statement, upstream: &Upstream<P>, why: &Failure) {
        let now = self.shared.now();
        let service = upstream.entry().service.to_string();
        let reason = why.reason().to_string();
        counter!(RETRIES, "service" => service, "reason" => reason).increment(1);
        if self.shared.log.allows(now) {
            info!(request = statement.id(), instance = upstream.id().as_str(),
                reason = why.reason().as_str(), now_ms = millis(now);
                "trying another instance");
        }
    }
}

/// How an attempt ended without an answer for the caller.
#[derive(Debug)]
pub(crate) enum TryError {
    /// Another instance may be tried.
    Next(Failure),
    /// The caller is told.
    Final(Failure),
}

impl TryError {
    pub(crate) fn into_failure(self) -> Failure {
        match self {
            Self::Next(failure) | Self::Final(failure) => failure,
        }
    }
}

/// The upstream's own error.
pub(crate) fn told(reply: &UpstreamReply) -> Failure {
    match &reply.outcome {
        Some(UpstreamOutcome::Error { code, detail }) => Failure::Told {
            code: *code,
            detail: detail.clone(),
        },
        Some(UpstreamOutcome::Complete { .. }) | None => {
            Failure::told(ErrorCode::Other, "the upstream said nothing")
        }
    }
}

/// Why it is not known whether a statement ran whose connection failed.
pub(crate) fn unknown_reason(error: &UpstreamError) -> UnknownReason {
    match error {
        UpstreamError::Silent => UnknownReason::TimedOut,
        UpstreamError::Unreachable(_)
        | UpstreamError::ConnectionLimit
        | UpstreamError::Refused(_)
        | UpstreamError::Broken(_)
        | UpstreamError::Malformed => UnknownReason::ConnectionLost,
    }
}

// A read leaves nothing behind, so that its caller may be told to come back.
fn lost_read(error: &UpstreamError) -> Failure {
    match error {
        UpstreamError::Silent => Failure::Unknown(UnknownReason::TimedOut),
        UpstreamError::Unreachable(_)
        | UpstreamError::ConnectionLimit
        | UpstreamError::Refused(_)
        | UpstreamError::Broken(_)
        | UpstreamError::Malformed => {
            refuse(RefusalReason::UpstreamUnreachable, CHANGE_EXPECTED).into()
        }
    }
}
