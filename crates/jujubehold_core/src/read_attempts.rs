//! Which instance is tried next for a read, and after which pause.
//!
//! A retry must not add to an overload, so those that another instance has to answer take from the
//! service's budget; see docs/notes/admission.md.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::InstanceId;
use crate::refusal_reason::RefusalReason;
use crate::retry_reason::RetryReason;
use crate::value_type;

/// The pauses between tries at replicas that lag by less than that, for one read in all.
const REPLICA_PAUSES: [Duration; 3] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(4),
];

value_type! {
    /// The tries of one read.
    pub struct ReadAttempts {
        candidates: VecDeque<InstanceId>,
        primary: Option<InstanceId>,
        current: Option<InstanceId>,
        is_primary_tried: bool,
        pauses_taken: usize,
    }

    /// What to do next for a read.
    pub enum ReadStep {
        /// Try an instance.
        Try(InstanceId),
        /// Try the same instance once more after a pause, which takes nothing from the budget.
        TryAgain(InstanceId, Duration),
        /// Give up.
        Refuse(RefusalReason),
    }
}

impl ReadAttempts {
    /// The tries at `candidates`, the best first, in a group whose primary is `primary`.
    pub fn new(candidates: Vec<InstanceId>, primary: Option<InstanceId>) -> Self {
        Self {
            candidates: candidates.into(),
            primary,
            current: None,
            is_primary_tried: false,
            pauses_taken: 0,
        }
    }

    /// The first try.
    pub fn first(&mut self) -> ReadStep {
        self.go_on_to_next(RefusalReason::NoFreshReplica)
    }

    /// The next step after a try that gave the caller nothing; `take_retry` takes one retry from
    /// the service's budget and tells whether there was one.
    pub fn next(&mut self, failed: RetryReason, take_retry: impl FnOnce() -> bool) -> ReadStep {
        if let Some(again) = self.try_again(failed) {
            return again;
        }
        if self.candidates.is_empty() {
            return ReadStep::Refuse(refusal_after(failed));
        }
        if take_retry() {
            return self.go_on_to_next(refusal_after(failed));
        }
        if failed != RetryReason::ReplicaBehind {
            return ReadStep::Refuse(RefusalReason::RetryBudgetSpent);
        }
        // The primary is never behind, so going on to it can't grow into a storm.
        while let Some(instance) = self.candidates.pop_front() {
            if self.primary.as_ref() == Some(&instance) {
                return self.go_on_to(instance);
            }
        }
        ReadStep::Refuse(RefusalReason::RetryBudgetSpent)
    }

    // A replica that ranks before the primary does so because it will soon have what the read
    // needs.
    fn try_again(&mut self, failed: RetryReason) -> Option<ReadStep> {
        if failed != RetryReason::ReplicaBehind || self.is_primary_tried {
            return None;
        }
        let pause = *REPLICA_PAUSES.get(self.pauses_taken)?;
        self.pauses_taken += 1;
        Some(ReadStep::TryAgain(self.current.clone()?, pause))
    }

    fn go_on_to_next(&mut self, without: RefusalReason) -> ReadStep {
        match self.candidates.pop_front() {
            Some(instance) => self.go_on_to(instance),
            None => ReadStep::Refuse(without),
        }
    }

    fn go_on_to(&mut self, instance: InstanceId) -> ReadStep {
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
