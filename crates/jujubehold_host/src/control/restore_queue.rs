//! The queue of configurations to write back because the platform's key-value service lost them.

use std::collections::BTreeMap;

use jujubehold_core::prelude::*;
use smol_str::SmolStr;

/// The write-back of one configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Restore {
    /// The text to write.
    pub(crate) text: SmolStr,
    /// The modification revision on which the write compares.
    pub(crate) mod_revision: i64,
}

/// The pending write-backs, of which one runs at a time.
///
/// Every configuration watcher has the same queue. Each of them picks random entries, with a short
/// delay before each write, and drops those that another host has already written.
#[derive(Debug, Default)]
pub(crate) struct RestoreQueue {
    waiting: BTreeMap<ServiceId, Restore>,
    is_writing: bool,
}

impl RestoreQueue {
    /// Adds a write-back.
    pub(crate) fn add(&mut self, service: ServiceId, restore: Restore) {
        self.waiting.insert(service, restore);
    }

    /// Drops a service's write-back before the newly read value of its key is merged.
    pub(crate) fn drop_service(&mut self, service: &ServiceId) {
        self.waiting.remove(service);
    }

    /// Drops all write-backs before all services are read again.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Starts the write-back that `random` selects; returns `None` while another one runs or if
    /// none is pending.
    pub(crate) fn take(&mut self, random: u64) -> Option<(ServiceId, Restore)> {
        if self.is_writing || self.waiting.is_empty() {
            return None;
        }
        let count = self.waiting.len() as u64;
        let index = usize::try_from(random % count).unwrap_or(0);
        let service = self.waiting.keys().nth(index)?.clone();
        let restore = self.waiting.remove(&service)?;
        self.is_writing = true;
        Some((service, restore))
    }

    /// Marks the running write-back as ended.
    pub(crate) fn end(&mut self) {
        self.is_writing = false;
    }
}
