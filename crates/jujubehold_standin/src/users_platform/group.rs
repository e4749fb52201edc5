//! A database group: one primary and its replicas.

use std::collections::BTreeSet;

use super::instance::{Instance, LogEntry};

/// A statement that an instance executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// The request id that the statement carried.
    pub id: String,
    /// The id of the instance that executed it.
    pub instance: String,
    /// The number of the connection, which no other connection of the group has.
    pub connection: u64,
    /// The customer or host that opened the connection.
    pub user: String,
    /// The statement's text.
    pub text: String,
    /// The prepared statement that ran, if it was one.
    pub prepared: Option<PreparedRun>,
    /// The session values set on the connection, as `name=value`.
    pub session_values: Vec<String>,
    /// Whether the statement ran inside a transaction.
    pub in_transaction: bool,
}

/// A prepared statement as an instance ran it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedRun {
    /// Whether it writes.
    pub is_write: bool,
    /// The content that was prepared under its name.
    pub shape: String,
    /// What followed the name; `None` if nothing did.
    pub arguments: Option<String>,
}

/// The state of a database group, shared by its instances' servers.
#[derive(Debug, Default)]
pub struct Group {
    /// The name of the service that the group belongs to.
    pub service: String,
    /// The instances of the group.
    pub instances: Vec<Instance>,
    /// Every read, write and commit that was executed, in order.
    pub executed_statements: Vec<ExecutedStatement>,
    /// Messages of hosts' own that no instance can read or that hosts do not send, and lines that are no
    /// message at all.
    pub unreadable_messages: Vec<String>,
    /// The promotions that took effect: instance id and fencing token.
    pub promotions: Vec<(String, u64)>,
    /// The number of connections that were ever accepted.
    pub accepted_connections: u64,
    /// The connection limit of each instance.
    pub max_connections: u32,
    /// How many replicas must receive a commit before it is acknowledged.
    pub sync_replicas: u32,
    /// The customers and hosts that may open connections; `None` if everybody may.
    pub known_users: Option<BTreeSet<String>>,
}

impl Group {
    /// Returns the instance with this id.
    pub fn instance(&mut self, id: &str) -> Option<&mut Instance> {
        self.instances.iter_mut().find(|instance| instance.id == id)
    }

    /// Returns the primary with the highest term.
    pub fn primary(&self) -> Option<&Instance> {
        let primaries = self.instances.iter().filter(|instance| instance.is_primary);
        primaries.max_by_key(|instance| instance.term)
    }

    /// Returns whether a customer or host may open connections.
    pub(crate) fn knows(&self, user: &str) -> bool {
        let known_users = self.known_users.as_ref();
        known_users.is_none_or(|known| known.contains(user))
    }

    // A primary that stepped down stays the replication source until there is a new primary.
    fn replication_source(&self) -> Option<&Instance> {
        let newest_log = || {
            self.instances
                .iter()
                .max_by_key(|instance| (instance.term, instance.log.len()))
        };
        self.primary().or_else(newest_log)
    }

    /// Brings every replicating instance up to date with the newest primary and demotes superseded
    /// primaries.
    pub(crate) fn replicate(&mut self) {
        let Some(primary) = self.replication_source() else {
            return;
        };
        if primary.faults.is_dead || primary.faults.is_unresponsive {
            return;
        }
        let (term, log) = (primary.term, primary.log.clone());
        for instance in &mut self.instances {
            let is_superseded = instance.is_primary && instance.term < term;
            if is_superseded && !instance.faults.is_dead {
                instance.is_primary = false;
            }
            if instance.is_replicating() {
                instance.term = term;
                instance.log.clone_from(&log);
            }
        }
    }

    /// Appends the writes as one commit to the log of the instance with this id. Returns the number of
    /// the commit, or `None` if there are no writes.
    pub(crate) fn commit(&mut self, id: &str, writes: Vec<(String, String)>) -> Option<usize> {
        let instance = self.instance(id)?;
        if writes.is_empty() {
            return None;
        }
        let term = instance.term;
        instance.log.push(LogEntry { term, writes });
        Some(instance.log.len())
    }

    /// Returns whether commit `number` of the instance with this id may be acknowledged; `None` if the
    /// instance no longer has it.
    pub(crate) fn is_confirmed(&self, id: &str, number: usize) -> Option<bool> {
        let mut instances = self.instances.iter();
        let primary = instances.find(|instance| instance.id == id)?;
        if !primary.is_primary {
            return None;
        }
        let entry = primary.log.get(number - 1)?;
        let others = self
            .instances
            .iter()
            .filter(|instance| instance.id != id && !instance.faults.is_dead);
        let confirming = others.filter(|instance| instance.log.get(number - 1) == Some(entry));
        Some(confirming.count() >= usize::try_from(self.sync_replicas).unwrap_or(usize::MAX))
    }

    /// Promotes the instance with this id to primary of the next term; returns false if it is
    /// unknown or down.
    pub(crate) fn promote(&mut self, id: &str, fencing_token: u64) -> bool {
        let highest_term = self.instances.iter().map(|instance| instance.term).max();
        let next_term = highest_term.unwrap_or(0) + 1;
        let Some(instance) = self.instance(id) else {
            return false;
        };
        if instance.faults.is_dead {
            return false;
        }
        if !instance.is_primary {
            instance.is_primary = true;
            instance.term = next_term;
            instance.pause_term = 0;
            self.promotions.push((id.to_owned(), fencing_token));
        }
        true
    }
}
