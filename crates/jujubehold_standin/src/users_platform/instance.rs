//! The state of one instance of a database group.

use std::cell::Cell;

use super::faults::InstanceFaults;

/// One commit in the log of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogEntry {
    pub(crate) term: u64,
    pub(crate) writes: Vec<(String, String)>,
}

/// An instance of a database group.
#[derive(Debug)]
pub struct Instance {
    /// The instance's id.
    pub id: String,
    /// Whether the instance considers itself the primary.
    pub is_primary: bool,
    /// The term in which the instance is primary or replicates.
    pub term: u64,
    /// The term up to which replication is paused by a `PAUSE` command; 0 if it is not paused.
    pub pause_term: u64,
    /// The injected faults.
    pub faults: InstanceFaults,
    /// The number of open connections.
    pub connections: Cell<u32>,
    /// The number of connections whose setup is in progress.
    pub opening_count: u32,
    /// The number of statements that were rejected as busy.
    pub busy_rejection_count: u32,
    /// The number of SET and PREPARE commands that were rejected by a fault.
    pub setup_rejection_count: u32,
    pub(crate) log: Vec<LogEntry>,
}

impl Instance {
    pub(crate) fn new(id: &str, is_primary: bool) -> Self {
        Self {
            id: id.to_owned(),
            is_primary,
            term: 1,
            pause_term: 0,
            faults: InstanceFaults::default(),
            connections: Cell::new(0),
            opening_count: 0,
            busy_rejection_count: 0,
            setup_rejection_count: 0,
            log: Vec::new(),
        }
    }

    /// Returns the log position in the form that is sent to callers, `term.length`.
    pub fn position(&self) -> String {
        format!("{}.{}", self.term, self.log.len())
    }

    /// Returns whether the log contains the position.
    pub(crate) fn has_position(&self, term: u64, number: usize) -> bool {
        term <= self.term && self.log.len() >= number
    }

    /// Returns the most recently committed value of an item.
    pub(crate) fn latest_value(&self, item: &str) -> Option<&str> {
        let writes = self
            .log
            .iter()
            .rev()
            .flat_map(|entry| entry.writes.iter().rev());
        writes
            .into_iter()
            .find(|(key, _)| key == item)
            .map(|(_, value)| value.as_str())
    }

    /// Returns whether the instance receives log entries from the primary.
    pub(crate) fn is_replicating(&self) -> bool {
        let is_paused = self.pause_term > self.term;
        !self.is_primary && !is_paused && !self.faults.is_dead && !self.faults.is_replication_cut
    }
}
