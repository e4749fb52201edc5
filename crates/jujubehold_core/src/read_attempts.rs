//! Decides which instance a read tries next, and after which pause.
//!
//! Retries must not add to an overload, so each retry at another instance takes one retry from the
//! service's budget; see docs/notes/admission.md.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::refusal_reason::RefusalReason;
use crate::retry_reason::RetryReason;
use crate::value_type;

/// The pauses before a read retries a replica that is behind, meant for replicas that lag by less
/// than this. One read takes each pause once, over all replicas that it tries.
const CATCH_UP_PAUSES: [Duration; 3] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(4),
];

value_type! {
    /// The attempts of one read.
    pub struct ReadAttempts {
        candidates: VecDeque<InstanceId>,
        primary: Option<InstanceId>,
        current: Option<InstanceId>,
        is_primary_tried: bool,
        pauses_taken: usize,
    }

    /// The next step of a read.
    pub enum ReadStep {
        /// Send the read to an instance.
        Try(InstanceId),
        /// Send the read to the same instance again after a pause; this takes nothing from the
        /// budget.
        TryAgain(InstanceId, Duration),
        /// Refuse the read.
        Refuse(RefusalReason),
    }
}

impl ReadAttempts {
    /// Starts a read that may try `candidates`, the best first, in a group whose primary is
    /// `primary`.
    pub fn new(candidates: Vec<InstanceId>, primary: Option<InstanceId>) -> Self {
        Self {
            candidates: candidates.into(),
            primary,
            current: None,
            is_primary_tried: false,
            pauses_taken: 0,
        }
    }

    /// Returns the first step.
    pub fn first(&mut self) -> ReadStep {
        self.advance(RefusalReason::NoFreshReplica)
    }

    /// Returns the next step after an attempt that failed for the reason `failed`.
    ///
    /// `take_retry` takes one retry from the service's budget and returns whether one was left.
    pub fn next(&mut self, failed: RetryReason, take_retry: impl FnOnce() -> bool) -> ReadStep {
        if let Some(retry) = self.retry_same_instance(failed) {
            return retry;
        }
        if self.candidates.is_empty() {
            return ReadStep::Refuse(refusal_after(failed));
        }
        if take_retry() {
            return self.advance(refusal_after(failed));
        }
        if failed != RetryReason::ReplicaBehind {
            return ReadStep::Refuse(RefusalReason::RetryBudgetSpent);
        }
        // The primary is never behind, so a retry there can't cause a retry storm.
        while let Some(instance) = self.candidates.pop_front() {
            if self.primary.as_ref() == Some(&instance) {
                return self.advance_to(instance);
            }
        }
        ReadStep::Refuse(RefusalReason::RetryBudgetSpent)
    }

    // A replica ranks before the primary because it is expected to have what the read needs soon,
    // so it is retried before the read goes to the primary, but not afterwards.
    fn retry_same_instance(&mut self, failed: RetryReason) -> Option<ReadStep> {
        if failed != RetryReason::ReplicaBehind || self.is_primary_tried {
            return None;
        }
        let pause = *CATCH_UP_PAUSES.get(self.pauses_taken)?;
        self.pauses_taken += 1;
        Some(ReadStep::TryAgain(self.current.clone()?, pause))
    }

    fn advance(&mut self, refusal_reason: RefusalReason) -> ReadStep {
        match self.candidates.pop_front() {
            Some(instance) => self.advance_to(instance),
            None => ReadStep::Refuse(refusal_reason),
        }
    }

    fn advance_to(&mut self, instance: InstanceId) -> ReadStep {
        self.is_primary_tried |= self.primary.as_ref() == Some(&instance);
        self.current = Some(instance.clone());
        ReadStep::Try(instance)
    }
}

fn refusal_after(failed: RetryReason) -> RefusalReason {
    match failed {
        RetryReason::ReplicaBehind => RefusalReason::NoFreshReplica,
        RetryReason::OwnerMoved => RefusalReason::OwnerUnreachable,
        RetryReason::BrokenBeforeSend
        | RetryReason::BrokenDuringRead
        | RetryReason::NotPrimary
        | RetryReason::ConnectRefused
        | RetryReason::InstanceSilent => RefusalReason::UpstreamUnreachable,
    }
}
