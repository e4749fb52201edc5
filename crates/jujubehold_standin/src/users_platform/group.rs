//! A database group: one primary and its replicas.

use super::instance::{Instance, LogEntry};

/// One statement that an instance ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExecutedStatement {
    /// The id that came with it.
    pub id: String,
    /// The instance.
    pub instance: String,
    /// Its text.
    pub text: String,
    /// The values that were set on its connection, as `name=value`.
    pub session_values: Vec<String>,
    /// Whether it ran in a transaction.
    pub in_transaction: bool,
}

/// One group.
#[derive(Debug, Default)]
pub struct Group {
    /// Its service's name.
    pub service: String,
    /// Its instances.
    pub instances: Vec<Instance>,
    /// Every read, write and commit that ran, in order.
    pub executed_statements: Vec<ExecutedStatement>,
    /// The promotions that were taken: the instance and the fencing token.
    pub promotions: Vec<(String, u64)>,
    /// How many connections an instance takes.
    pub max_connections: u32,
}

impl Group {
    /// The instance called `id`.
    pub fn instance(&mut self, id: &str) -> Option<&mut Instance> {
        self.instances.iter_mut().find(|instance| instance.id == id)
    }

    /// The instance of the highest term that leads.
    pub fn primary(&self) -> Option<&Instance> {
        let leading = self.instances.iter().filter(|instance| instance.is_primary);
        leading.max_by_key(|instance| instance.term)
    }

    // A primary that stepped down still gives what it has until another one leads.
    fn replication_source(&self) -> Option<&Instance> {
        let newest_log = || {
            self.instances
                .iter()
                .max_by_key(|one| (one.term, one.log.len()))
        };
        self.primary().or_else(newest_log)
    }

    /// Has every replica that receives catch up with the newest primary.
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

    /// Commits writes at the instance called `id`; its position afterwards.
    pub(crate) fn commit(&mut self, id: &str, writes: Vec<(String, String)>) {
        if let Some(instance) = self.instance(id)
            && !writes.is_empty()
        {
            let term = instance.term;
            instance.log.push(LogEntry { term, writes });
        }
    }

    /// Makes the instance called `id` the primary of the next term; whether it could.
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
