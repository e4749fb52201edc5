//! The lists of instances that a group had a short while ago.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{InstanceId, Monotonic};
use crate::service_config::ServiceConfig;
use crate::value_type;

/// How long a list counts after this host has learnt of another one. Others learn of it within
/// seconds.
const LIFETIME: Duration = Duration::from_mins(1);

value_type! {
    /// The lists that other hosts may still go by.
    ///
    /// While hosts go by different lists, a majority of one need not meet a majority of another.
    /// So a host that has learnt of a new list counts by both for a while, see
    /// docs/notes/failover.md.
    #[derive(Default)]
    pub struct FormerMembers {
        lists: Vec<FormerList>,
    }

    struct FormerList {
        members: BTreeSet<InstanceId>,
        until: Monotonic,
    }
}

impl FormerMembers {
    /// Takes in that `next` comes in the place of `config`.
    pub fn note(&mut self, now: Monotonic, config: &ServiceConfig, next: &ServiceConfig) {
        if config.instances.keys().eq(next.instances.keys()) {
            return;
        }
        let members: BTreeSet<_> = config.instances.keys().cloned().collect();
        self.lists.retain(|list| list.members != members);
        let until = now + LIFETIME;
        self.lists.push(FormerList { members, until });
    }

    /// Drops the lists that no host goes by any more; returns whether there were any.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        let count = self.lists.len();
        self.lists.retain(|list| now < list.until);
        self.lists.len() < count
    }

    /// The lists that still count.
    pub fn lists(&self) -> Vec<BTreeSet<InstanceId>> {
        self.lists.iter().map(|list| list.members.clone()).collect()
    }
}
