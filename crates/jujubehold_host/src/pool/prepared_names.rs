//! Tracks the statements that are prepared on a connection.

use std::collections::{BTreeSet, VecDeque};

use jujubehold_core::statement_name::StatementName;

/// The most statements that a connection keeps; the oldest is closed to make room.
const MAX_STATEMENTS: usize = 256;

/// The names of a connection's prepared statements, which are derived from their texts.
#[derive(Debug, Default)]
pub struct PreparedNames {
    names: BTreeSet<StatementName>,
    order: VecDeque<StatementName>,
    is_wrong: bool,
}

impl PreparedNames {
    /// Returns whether the statement is prepared.
    pub fn contains(&self, name: &StatementName) -> bool {
        self.names.contains(name)
    }

    /// Records that the upstream has other statements than these.
    pub fn set_wrong(&mut self) {
        self.is_wrong = true;
    }

    /// Returns whether the upstream is known to have other statements than these.
    pub fn is_wrong(&self) -> bool {
        self.is_wrong
    }

    /// Returns whether another statement would displace the oldest one.
    pub fn is_full(&self) -> bool {
        self.order.len() >= MAX_STATEMENTS
    }

    /// Adds a statement; returns the one that must be closed for it, if any.
    pub fn add(&mut self, name: StatementName) -> Option<StatementName> {
        if !self.names.insert(name.clone()) {
            return None;
        }
        self.order.push_back(name);
        if self.order.len() <= MAX_STATEMENTS {
            return None;
        }
        let oldest = self.order.pop_front()?;
        self.names.remove(&oldest);
        Some(oldest)
    }

    /// Adds a statement as the oldest one, because its Close was skipped.
    pub fn restore(&mut self, name: StatementName) {
        if self.names.insert(name.clone()) {
            self.order.push_front(name);
        }
    }

    /// Removes a statement that another host named in a message.
    pub fn remove_named(&mut self, name: &str) {
        self.names.retain(|kept| kept.as_str() != name);
        self.order.retain(|kept| kept.as_str() != name);
    }

    /// Removes a statement whose preparation failed.
    pub fn remove(&mut self, name: &StatementName) {
        if self.names.remove(name) {
            self.order.retain(|kept| kept != name);
        }
    }
}
