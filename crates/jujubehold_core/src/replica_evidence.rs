//! What the instances of a service prove about its primary.
//!
//! Before a primary is replaced, the replica that takes over is marked, and the mark shows in that
//! replica's status. A host does not know which replica will be marked, so all of them must report
//! that they are replicas without a mark. It may also not know the one that is marked, because that
//! one was added while the host was cut off. So the primary itself must report that it still leads,
//! and no replica may follow a later term.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{InstanceId, Monotonic, Term};
use crate::instance_status::Role;
use crate::lead_table::Lead;
use crate::value_type;

value_type! {
    /// When each instance of one service was last asked and confirmed the primary on record.
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

/// Returns whether an instance with this status confirms that `lead` is current. `held_term` is the
/// highest term with which it was marked.
pub fn confirms_lead(
    lead: &Lead,
    instance: &InstanceId,
    role: Role,
    term: Term,
    held_term: Term,
) -> bool {
    let is_term_known = lead.term > 0;
    if *instance == lead.primary {
        return role == Role::Primary && (!is_term_known || term == lead.term);
    }
    is_unmarked_replica(role, term, held_term) && (!is_term_known || term <= lead.term)
}

impl ReplicaEvidence {
    /// Records whether an instance that was asked at `sent_at` confirmed the primary.
    pub fn note(&mut self, instance: &InstanceId, sent_at: Monotonic, has_confirmed: bool) {
        if has_confirmed {
            self.sent_at.insert(instance.clone(), sent_at);
        } else {
            self.sent_at.remove(instance);
        }
    }

    /// Returns when the least recent confirmation of `instances` was requested; `None` if one of them
    /// has not confirmed or if there are none.
    pub fn oldest(&self, instances: &BTreeSet<InstanceId>) -> Option<Monotonic> {
        let asked = instances
            .iter()
            .map(|instance| self.sent_at.get(instance).copied());
        asked.min().flatten()
    }
}
