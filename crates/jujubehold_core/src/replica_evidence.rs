//! What a service's replicas prove about its primary.
//!
//! Before a primary is replaced, the replica that takes over is marked, and the mark shows in that
//! replica's status. A host does not know which replica will be marked, so all of them must report
//! that they are replicas without a mark.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Term;
use crate::ids::{InstanceId, Monotonic};
use crate::instance_status::Role;
use crate::value_type;

value_type! {
    /// When each replica of one service was last asked and reported that it is not marked.
    #[derive(Default)]
    pub struct ReplicaEvidence {
        sent_at: BTreeMap<InstanceId, Monotonic>,
    }
}

/// Returns whether an instance reports that it is a replica without a mark; `held_term` is the
/// highest term with which it was marked.
pub fn is_unmarked_replica(role: Role, term: Term, held_term: Term) -> bool {
    match role {
        Role::Primary => false,
        Role::Replica => held_term <= term,
    }
}

impl ReplicaEvidence {
    /// Records the report of a replica that was asked at `sent_at`.
    pub fn note(&mut self, replica: &InstanceId, sent_at: Monotonic, is_unmarked: bool) {
        if is_unmarked {
            self.sent_at.insert(replica.clone(), sent_at);
        } else {
            self.sent_at.remove(replica);
        }
    }

    /// Returns when the least recent report of `replicas` was requested; `None` if one of them has
    /// not reported or if there are no replicas.
    pub fn oldest(&self, replicas: &BTreeSet<InstanceId>) -> Option<Monotonic> {
        let asked = replicas
            .iter()
            .map(|replica| self.sent_at.get(replica).copied());
        asked.min().flatten()
    }
}
