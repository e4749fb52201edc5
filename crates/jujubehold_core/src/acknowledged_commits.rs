//! Up to which position of a group's log commits can have been acknowledged.
//!
//! A replica that takes over must have every commit that was acknowledged. Which instances have
//! confirmed a commit can't be told from a list of those that are known now: one that crashed may
//! alone have what the primary acknowledged last. The hosts know what they acknowledged. Once all
//! of them have stopped using the primary and have said so, a replica that has received as much is
//! certainly complete, however many instances are silent.
//!
//! A process that ended can't be asked. It acknowledged nothing later than the primary had when it
//! was asked for its position after that process could last use it. See
//! docs/notes/confirmed-commits.md.

use std::collections::BTreeMap;

use crate::ids::{HostId, Monotonic, Nonce, Term};
use crate::log_position::LogPosition;
use crate::primary_positions::PrimaryPositions;
use crate::value_type;

value_type! {
    /// What a process has acknowledged by the time at which it stopped using a primary.
    pub struct AcknowledgedCommits {
        /// The process.
        pub process: Nonce,
        /// The newest position at which it acknowledged a commit, in any term.
        pub newest: LogPosition,
    }

    /// What is known of the hosts' acknowledgements during a change of primary.
    pub struct AcknowledgementEvidence<'a> {
        /// The processes that may have used the old primary and can be asked.
        pub processes: BTreeMap<HostId, Nonce>,
        /// What hosts stated once they had stopped using it.
        pub statements: &'a BTreeMap<HostId, AcknowledgedCommits>,
        /// Until when processes that can't be asked may have acknowledged commits; `None` if there
        /// are none.
        pub unknown_until: Option<Monotonic>,
        /// The old primary's positions.
        pub positions: &'a PrimaryPositions,
        /// The old primary's term; 0 if it is not known.
        pub term: Term,
    }
}

impl AcknowledgementEvidence<'_> {
    /// Returns a position up to which all acknowledged commits are; `None` if it is not known.
    pub fn bound(&self) -> Option<LogPosition> {
        let mut bound = self.unknown_bound()?;
        for (host, process) in &self.processes {
            let stated = self.statements.get(host)?;
            // A process that was started later under the same name does not know what its
            // predecessor acknowledged.
            if stated.process != *process {
                return None;
            }
            bound = bound.max(stated.newest);
        }
        Some(bound)
    }

    // Returns the bound of what processes acknowledged that can't be asked.
    fn unknown_bound(&self) -> Option<LogPosition> {
        let Some(unknown_until) = self.unknown_until else {
            return Some(LogPosition::START);
        };
        let term = match self.term {
            0 => self.positions.term(),
            term => term,
        };
        let (position, _) = self.positions.complete_as_of(term, unknown_until)?;
        Some(LogPosition { term, position })
    }
}
