//! One instance of a database group.

use std::cell::Cell;

use super::faults::InstanceFaults;

/// One commit in an instance's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LogEntry {
    pub(crate) term: u64,
    pub(crate) writes: Vec<(String, String)>,
}

/// One instance.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub id: String,
    /// Whether it believes that it leads.
    pub is_primary: bool,
    /// The term that it serves or follows.
    pub term: u64,
    /// The highest term that it is marked with; 0 without a mark.
    pub pause_term: u64,
    /// Its faults.
    pub faults: InstanceFaults,
    /// How many connections are open.
    pub connections: Cell<u32>,
    /// How many connections are being opened.
    pub opening_count: u32,
    /// How many statements it was too busy for.
    pub busy_rejection_count: u32,
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
            log: Vec::new(),
        }
    }

    /// Its position, as it states it.
    pub fn position(&self) -> String {
        format!("{}.{}", self.term, self.log.len())
    }

    /// Whether its log has a position.
    pub(crate) fn has_position(&self, term: u64, number: usize) -> bool {
        term <= self.term && self.log.len() >= number
    }

    /// The newest value of an item.
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

    /// Whether it takes part in replication.
    pub(crate) fn is_replicating(&self) -> bool {
        let is_paused = self.pause_term > self.term;
        !self.is_primary && !is_paused && !self.faults.is_dead && !self.faults.is_replication_cut
    }
}
