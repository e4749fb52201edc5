//! Configurations that the platform's service lost and that are to be written back.

use std::collections::BTreeMap;

use jujubehold_core::prelude::*;
use smol_str::SmolStr;

/// One write back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Restore {
    /// The text to write.
    pub(crate) text: SmolStr,
    /// The revision to compare on.
    pub(crate) mod_revision: i64,
}

/// The writes that are to be made, one after the other.
///
/// Every watching host has the same queue. Each takes a random one of them after a short wait,
/// and drops those that another host's write has made needless.
#[derive(Debug, Default)]
pub(crate) struct RestoreQueue {
    waiting: BTreeMap<ServiceId, Restore>,
    is_writing: bool,
}

impl RestoreQueue {
    /// Adds a write.
    pub(crate) fn add(&mut self, service: ServiceId, restore: Restore) {
        self.waiting.insert(service, restore);
    }

    /// Drops a write, since the platform's service shows what is in force.
    pub(crate) fn drop_service(&mut self, service: &ServiceId) {
        self.waiting.remove(service);
    }

    /// Drops all, before the whole configuration is taken in anew.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// The next write, picked by `random`; `None` while one is under way or nothing waits.
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

    /// Notes that the write under way ended.
    pub(crate) fn end(&mut self) {
        self.is_writing = false;
    }
}
