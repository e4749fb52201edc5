//! What a service's replicas prove of its primary.
//!
//! Nobody replaces a primary without marking the replica that takes over first, and the mark shows
//! in that replica's status. A host does not know which replica that would be, so all of them must
//! say that they are replicas without a mark.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::Term;
use crate::ids::{InstanceId, Monotonic};
use crate::instance_status::Role;
use crate::value_type;

value_type! {
    /// When each replica of one service was last asked and said that nobody takes over.
    #[derive(Default)]
    pub struct ReplicaEvidence {
        asked_at: BTreeMap<InstanceId, Monotonic>,
    }
}

/// Whether an instance says that it is a replica without a mark; `held_term` is the highest term
/// that it was marked with.
pub fn is_unmarked_replica(role: Role, term: Term, held_term: Term) -> bool {
    match role {
        Role::Primary => false,
        Role::Replica => held_term <= term,
    }
}

impl ReplicaEvidence {
    /// Notes what a replica that was asked at `asked_at` said.
    pub fn note(&mut self, replica: &InstanceId, asked_at: Monotonic, is_unmarked: bool) {
        if is_unmarked {
            self.asked_at.insert(replica.clone(), asked_at);
        } else {
            self.asked_at.remove(replica);
        }
    }

    /// When the one of `replicas` was asked whose word is oldest; `None` while one has not given
    /// its word, or without any.
    pub fn oldest(&self, replicas: &BTreeSet<InstanceId>) -> Option<Monotonic> {
        let asked = replicas
            .iter()
            .map(|replica| self.asked_at.get(replica).copied());
        asked.min().flatten()
    }
}
