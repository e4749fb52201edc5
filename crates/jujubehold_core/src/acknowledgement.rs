//! Whether a write may be acknowledged.
//!
//! See docs/notes/authority.md.

use std::collections::BTreeMap;

use crate::authority::Authority;
use crate::ids::{InstanceId, Monotonic, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::service_config::ServiceConfig;
use crate::value_type;
use crate::verdict::UnknownReason;

value_type! {
    /// What stands for a commit that the primary of `term` answered.
    pub struct CommitEvidence {
        /// The term in which it was committed.
        pub term: Term,
        /// The position of the commit.
        pub position: Position,
        /// When the primary's status was asked for, at or after the commit.
        pub primary_asked_at: Monotonic,
        /// The latest answer of each replica.
        pub replicas: BTreeMap<InstanceId, ReplicaAnswer>,
    }

    /// A replica's status and when it was asked for.
    pub struct ReplicaAnswer {
        /// When the question left this host.
        pub asked_at: Monotonic,
        /// What the replica answered.
        pub status: InstanceStatus,
    }

    /// What to do with a commit that is not yet acknowledged.
    pub enum AckDecision {
        /// Acknowledge it now.
        Acknowledge,
        /// Ask the primary for its status again; the answer lapsed.
        AskPrimary,
        /// Ask replicas again, or wait for their answers.
        AskReplicas,
        /// Tell the caller that it can't be known; the term can't be proved any more.
        Unknown(UnknownReason),
    }
}

impl CommitEvidence {
    /// Decides at `now`, which must be read just before the acknowledgement goes out.
    ///
    /// The primary and the replicas that count meet every majority, and each was asked within
    /// the window. So no majority had been fenced for longer than the window, and no promotion
    /// can have come before `now`.
    pub fn decide(
        &self,
        config: &ServiceConfig,
        authority: &Authority,
        now: Monotonic,
    ) -> AckDecision {
        let holding_needed = config.confirming_replicas();
        let proving_needed = config.proving_replicas().max(holding_needed);
        if self.is_term_over(config, proving_needed) {
            return AckDecision::Unknown(UnknownReason::AuthorityLost);
        }
        if !authority.is_valid(self.primary_asked_at, now) {
            return AckDecision::AskPrimary;
        }
        let proving: Vec<_> = self
            .replicas
            .values()
            .filter(|answer| authority.is_valid(answer.asked_at, now))
            .filter(|answer| answer.status.proves(self.term))
            .collect();
        let holding = proving
            .iter()
            .filter(|answer| self.is_held_by(&answer.status))
            .count();
        if proving.len() >= proving_needed && holding >= holding_needed {
            AckDecision::Acknowledge
        } else {
            AckDecision::AskReplicas
        }
    }

    fn is_held_by(&self, status: &InstanceStatus) -> bool {
        status.received >= self.position && status.history.contains(self.term, self.position)
    }

    fn is_term_over(&self, config: &ServiceConfig, needed: usize) -> bool {
        let past = self
            .replicas
            .values()
            .filter(|answer| !answer.status.proves(self.term))
            .count();
        let replica_count = config.instances.len().saturating_sub(1);
        past > 0 && past + needed > replica_count
    }
}
