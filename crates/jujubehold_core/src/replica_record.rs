//! Which instances may have confirmed commits in a primary's term.
//!
//! The list of instances forgets one that is silent, but its log remains and may alone have a
//! commit. So the instances of a service whose replicas confirm commits are recorded in the store
//! and stay there until it is certain that they are not needed: an instance that is gone is
//! forgotten once every listed replica has received what the primary had after it went. The record
//! outlives a restart of all hosts. See docs/notes/confirmed-commits.md.

use std::collections::BTreeSet;

use crate::ids::{InstanceId, Term};
use crate::log_position::LogPosition;
use crate::value_type;

value_type! {
    /// The record of one service.
    #[derive(Default)]
    pub struct ReplicaRecord {
        /// The term to which the record belongs.
        pub term: Term,
        /// What the primary had when it took over in that term; `None` if it is not known. Another
        /// instance may not have received it yet.
        pub start: Option<LogPosition>,
        /// The instances that may have confirmed commits, including those that are gone.
        pub instances: BTreeSet<InstanceId>,
    }
}

impl ReplicaRecord {
    /// Returns what a primary had that took over in `term`; `None` if it is not known. Term 0 is one
    /// that is not known.
    pub fn start_of(&self, term: Term) -> Option<LogPosition> {
        self.start.filter(|_| self.term == term || term == 0)
    }

    /// Returns the record with the instances that are `listed`, as of `term`. Another term began if it
    /// differs, with a start that is not known.
    #[must_use]
    pub fn extended(&self, term: Term, listed: &BTreeSet<InstanceId>) -> Self {
        Self {
            term,
            start: self.start.filter(|_| self.term == term),
            instances: self.instances.union(listed).cloned().collect(),
        }
    }

    /// Returns the recorded instances that are not among those `known`.
    pub fn missing_from(&self, known: &BTreeSet<InstanceId>) -> BTreeSet<InstanceId> {
        self.instances.difference(known).cloned().collect()
    }
}
