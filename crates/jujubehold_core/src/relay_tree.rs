//! The relaying of notifications within one failure domain.
//!
//! No host sends more than a few copies, and no single dead host prevents a notification from
//! reaching the others; see docs/notes/configuration-relay.md.

use std::collections::{BTreeSet, VecDeque};

use crate::ids::HostId;
use crate::ownership::{mix, weight};
use crate::value_type;

/// The number of hosts to which a host relays a notification in one tree.
pub const FANOUT: usize = 3;

/// The most other hosts to which an origin sends a notification directly, without a tree.
pub const MAX_DIRECT_RECEIVERS: usize = 2 * FANOUT;

/// The most notifications that a host remembers, counted once for each tree.
const MAX_REMEMBERED_NOTIFICATIONS: usize = 512;

value_type! {
    /// A tree over the hosts of a failure domain, along which a notification is relayed.
    ///
    /// Every notification is relayed along two trees. The second one has the hosts in reverse
    /// order, so that a host that relays in one of them has no receivers in the other.
    pub struct RelayTree {
        /// The host at which the tree starts.
        pub root: HostId,
        /// The host at which the other tree starts, which is the last one of this tree; the root
        /// itself where one host starts both.
        pub other_root: HostId,
        /// Whether the hosts are in reverse order.
        pub is_reversed: bool,
    }

    /// One copy that the origin of a notification sends.
    pub struct InitialCopy {
        /// The receiver.
        pub to: HostId,
        /// The tree along which the receiver relays the notification; `None` if it does not relay
        /// it.
        pub tree: Option<RelayTree>,
    }

    /// The notifications that this host relayed, by tree, so that hosts that disagree on which
    /// hosts are live never relay a notification in a circle.
    #[derive(Default)]
    pub struct RelayHistory {
        seen: BTreeSet<u64>,
        oldest_first: VecDeque<u64>,
    }
}

impl RelayTree {
    /// Returns the trees that start at `own`. Each of the domain's two relays starts one; any other
    /// host starts both.
    pub fn rooted_at(own: &HostId, relays: &[HostId]) -> Vec<Self> {
        let tree = |other_root: &HostId, is_reversed| Self {
            root: own.clone(),
            other_root: other_root.clone(),
            is_reversed,
        };
        match relays {
            [first, second] if own == first => vec![tree(second, false)],
            [first, second] if own == second => vec![tree(first, true)],
            _ => vec![tree(own, false), tree(own, true)],
        }
    }

    /// Returns the hosts to which `own` relays the notification `key`, among the live `hosts` of
    /// the domain.
    pub fn receivers(&self, key: &str, hosts: &BTreeSet<HostId>, own: &HostId) -> Vec<HostId> {
        let order = self.order(key, hosts);
        let Some(position) = order.iter().position(|host| *host == own) else {
            return Vec::new();
        };
        order
            .into_iter()
            .skip(position * FANOUT + 1)
            .take(FANOUT)
            .cloned()
            .collect()
    }

    // Each notification has its own order, which spreads the copies over the hosts.
    fn order<'a>(&'a self, key: &str, hosts: &'a BTreeSet<HostId>) -> Vec<&'a HostId> {
        let mut middle: Vec<_> = hosts
            .iter()
            .filter(|host| **host != self.root && **host != self.other_root)
            .collect();
        middle.sort_by_cached_key(|host| weight(key, host));
        if self.is_reversed {
            middle.reverse();
        }
        let last = Some(&self.other_root).filter(|last| **last != self.root);
        std::iter::once(&self.root)
            .chain(middle)
            .chain(last)
            .collect()
    }

    /// Returns the value that identifies the notification `key` in this tree in a [`RelayHistory`].
    fn dedup_key(&self, key: &str) -> u64 {
        mix(weight(key, &self.root) ^ u64::from(self.is_reversed))
    }
}

impl RelayHistory {
    /// Records that the notification `key` was received along `tree`; returns whether it is the
    /// first time.
    pub fn insert(&mut self, key: &str, tree: &RelayTree) -> bool {
        let dedup_key = tree.dedup_key(key);
        if !self.seen.insert(dedup_key) {
            return false;
        }
        self.oldest_first.push_back(dedup_key);
        if self.oldest_first.len() > MAX_REMEMBERED_NOTIFICATIONS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}

/// Returns the copies that `own` sends as the origin of the notification `key`.
pub fn initial_copies(
    key: &str,
    hosts: &BTreeSet<HostId>,
    own: &HostId,
    relays: &[HostId],
) -> Vec<InitialCopy> {
    let others = hosts.iter().filter(|host| *host != own);
    if others.clone().count() <= MAX_DIRECT_RECEIVERS {
        let copy = |to: &HostId| InitialCopy {
            to: to.clone(),
            tree: None,
        };
        return others.map(copy).collect();
    }
    let mut copies = Vec::new();
    for tree in RelayTree::rooted_at(own, relays) {
        for to in tree.receivers(key, hosts, own) {
            let tree = Some(tree.clone());
            copies.push(InitialCopy { to, tree });
        }
    }
    copies
}
