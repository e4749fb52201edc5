//! Decides whether a write may be acknowledged.
//!
//! See docs/notes/authority.md.

use std::collections::BTreeMap;

use crate::authority::Authority;
use crate::ids::{InstanceId, Monotonic, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::service_config::{Confirm, ServiceConfig};
use crate::value_type;
use crate::verdict::UnknownReason;

value_type! {
    /// The evidence for a commit that the primary of `term` answered.
    pub struct CommitEvidence {
        /// The instance that committed it.
        pub primary: InstanceId,
        /// The term in which it was committed.
        pub term: Term,
        /// The position of the commit.
        pub position: Position,
        /// When the primary's status was requested, at or after the commit.
        pub primary_query_sent_at: Monotonic,
        /// The latest answer of each replica.
        pub replicas: BTreeMap<InstanceId, ReplicaAnswer>,
    }

    /// A replica's status and when it was requested.
    pub struct ReplicaAnswer {
        /// When the request was sent.
        pub sent_at: Monotonic,
        /// What the replica answered.
        pub status: InstanceStatus,
    }

    /// What to do with a commit that is not yet acknowledged.
    pub enum AckDecision {
        /// Acknowledge it now.
        Acknowledge,
        /// Ask the primary for its status again, because its answer is too old.
        AskPrimary,
        /// Ask the replicas again, or wait for their answers.
        AskReplicas,
        /// Tell the caller that the outcome is unknown, because the term can no longer be proved.
        Unknown(UnknownReason),
    }
}

impl CommitEvidence {
    /// Decides at `now`, which must be read just before the acknowledgement is sent.
    ///
    /// The primary and the replicas that count meet every majority, and each was asked within the
    /// window. So no majority has been fenced for longer than the window, and no promotion can have
    /// happened before `now`.
    pub fn decide(
        &self,
        config: &ServiceConfig,
        authority: &Authority,
        now: Monotonic,
    ) -> AckDecision {
        if self.is_term_over(config) {
            return AckDecision::Unknown(UnknownReason::AuthorityLost);
        }
        if !authority.is_valid(self.primary_query_sent_at, now) {
            return AckDecision::AskPrimary;
        }
        let proves = |answer: &ReplicaAnswer| {
            authority.is_valid(answer.sent_at, now) && answer.status.confirms_term(self.term)
        };
        let holds = |answer: &ReplicaAnswer| proves(answer) && self.is_held_by(&answer.status);
        let is_enough = match config.confirm {
            Confirm::None => self.has_quorum(config, proves),
            Confirm::Replica => self.has_quorum(config, holds),
        };
        if is_enough {
            AckDecision::Acknowledge
        } else {
            AckDecision::AskReplicas
        }
    }

    // Whether the primary and the replicas whose answers count meet every majority.
    fn has_quorum(&self, config: &ServiceConfig, counts: impl Fn(&ReplicaAnswer) -> bool) -> bool {
        let is_counted = |name: &InstanceId| self.replicas.get(name).is_some_and(&counts);
        let replica_count = self.replicas.keys().filter(|name| is_counted(name)).count();
        replica_count >= config.min_confirming_replicas()
            && config.intersects_every_majority(|name| *name == self.primary || is_counted(name))
    }

    fn is_held_by(&self, status: &InstanceStatus) -> bool {
        status.received >= self.position && status.history.contains(self.term, self.position)
    }

    // Whether so many replicas know of a higher term that the others can never prove this one.
    fn is_term_over(&self, config: &ServiceConfig) -> bool {
        let knows_higher_term = |name: &InstanceId| {
            let answer = self.replicas.get(name);
            answer.is_some_and(|answer| !answer.status.confirms_term(self.term))
        };
        let can_prove =
            |name: &InstanceId| config.instances.contains_key(name) && !knows_higher_term(name);
        let replicas = config.instances.keys();
        let remaining = replicas.filter(|name| **name != self.primary && can_prove(name));
        let is_provable = remaining.count() >= config.min_confirming_replicas()
            && config.intersects_every_majority(|name| *name == self.primary || can_prove(name));
        self.replicas.keys().any(knows_higher_term) && !is_provable
    }
}
