//! Who passes news on to whom within one failure domain.
//!
//! No host sends more than a few copies, and no single dead host keeps the news from any other;
//! see docs/notes/configuration-relay.md.

use std::collections::{BTreeSet, VecDeque};

use crate::ids::HostId;
use crate::ownership::{mix, weight};
use crate::value_type;

/// To how many hosts a host passes news on in one tree.
pub const FANOUT: usize = 3;

/// Up to how many other hosts the one that begins tells all of them itself.
pub const DIRECT_LIMIT: usize = 2 * FANOUT;

/// How many trees a host remembers.
const MEMORY_SIZE: usize = 512;

value_type! {
    /// A tree over the hosts of a failure domain, along which one piece of news goes.
    ///
    /// News goes along two trees, the second with the hosts in the reverse order, so that a host
    /// that passes it on in one of them passes it on to nobody in the other.
    pub struct RelayTree {
        /// The host that begins it.
        pub root: HostId,
        /// The host that begins the other tree, the last one of this; the root itself where one
        /// host begins both.
        pub other_root: HostId,
        /// Whether the hosts stand in the reverse order.
        pub is_reversed: bool,
    }

    /// One copy that the host that begins has to send.
    pub struct FirstCopy {
        /// The receiver.
        pub to: HostId,
        /// The tree along which it passes the news on; `None` when it is to keep it.
        pub tree: Option<RelayTree>,
    }

    /// The trees in which this host has passed news on, so that hosts that disagree on who is
    /// live never pass it around in a circle.
    #[derive(Default)]
    pub struct RelayMemory {
        seen: BTreeSet<u64>,
        oldest_first: VecDeque<u64>,
    }
}

impl RelayTree {
    /// The trees that `own` begins. The two relays of the domain begin one each; any other host
    /// begins both.
    pub fn begun_by(own: &HostId, relays: &[HostId]) -> Vec<Self> {
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

    /// The hosts that `own` passes the news `key` on to, among the live `hosts` of the domain.
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

    // Each piece of news has an order of its own, which spreads the copies over the hosts.
    fn order<'a>(&'a self, key: &str, hosts: &'a BTreeSet<HostId>) -> Vec<&'a HostId> {
        let mut between: Vec<_> = hosts
            .iter()
            .filter(|host| **host != self.root && **host != self.other_root)
            .collect();
        between.sort_by_cached_key(|host| weight(key, host));
        if self.is_reversed {
            between.reverse();
        }
        let last = Some(&self.other_root).filter(|last| **last != self.root);
        std::iter::once(&self.root)
            .chain(between)
            .chain(last)
            .collect()
    }

    /// What stands for the news `key` in this tree in a [`RelayMemory`].
    fn mark(&self, key: &str) -> u64 {
        mix(weight(key, &self.root) ^ u64::from(self.is_reversed))
    }
}

impl RelayMemory {
    /// Notes that the news `key` came along `tree`; returns whether it is the first time.
    pub fn is_first(&mut self, key: &str, tree: &RelayTree) -> bool {
        let mark = tree.mark(key);
        if !self.seen.insert(mark) {
            return false;
        }
        self.oldest_first.push_back(mark);
        if self.oldest_first.len() > MEMORY_SIZE
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.seen.remove(&oldest);
        }
        true
    }
}

/// The copies that `own` sends when it begins to tell the news `key`.
pub fn first_copies(
    key: &str,
    hosts: &BTreeSet<HostId>,
    own: &HostId,
    relays: &[HostId],
) -> Vec<FirstCopy> {
    let others = hosts.iter().filter(|host| *host != own);
    if others.clone().count() <= DIRECT_LIMIT {
        let copy = |to: &HostId| FirstCopy {
            to: to.clone(),
            tree: None,
        };
        return others.map(copy).collect();
    }
    let mut copies = Vec::new();
    for tree in RelayTree::begun_by(own, relays) {
        for to in tree.receivers(key, hosts, own) {
            let tree = Some(tree.clone());
            copies.push(FirstCopy { to, tree });
        }
    }
    copies
}
