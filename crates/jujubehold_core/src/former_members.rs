//! The lists of instances that a group had recently.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{InstanceId, Monotonic};
use crate::service_config::ServiceConfig;
use crate::value_type;

/// How long a list counts after this host learned of a new one. Other hosts learn of it within
/// seconds.
const FORMER_LIST_LIFETIME: Duration = Duration::from_mins(1);

value_type! {
    /// The lists of instances that other hosts may still use.
    ///
    /// While hosts use different lists, a majority of one list need not meet a majority of another.
    /// So a host that has learned of a new list counts by both for a while; see
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
    /// Records that `next` replaces `config`.
    pub fn note(&mut self, now: Monotonic, config: &ServiceConfig, next: &ServiceConfig) {
        if config.instances.keys().eq(next.instances.keys()) {
            return;
        }
        let members: BTreeSet<_> = config.instances.keys().cloned().collect();
        self.lists.retain(|list| list.members != members);
        let until = now + FORMER_LIST_LIFETIME;
        self.lists.push(FormerList { members, until });
    }

    /// Drops the lists that no host uses any more; returns whether there were any.
    pub fn expire(&mut self, now: Monotonic) -> bool {
        let count = self.lists.len();
        self.lists.retain(|list| now < list.until);
        self.lists.len() < count
    }

    /// Returns the lists that still count.
    pub fn lists(&self) -> Vec<BTreeSet<InstanceId>> {
        self.lists.iter().map(|list| list.members.clone()).collect()
    }
}
