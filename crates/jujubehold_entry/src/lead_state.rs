//! What this host knows of the leads, and for how long it may rely on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jujubehold_core::lead_proof::{LeadProof, LeadProofSettings};
use jujubehold_core::lead_table::{LeadTable, Revision};

use crate::prelude::*;
use crate::protocol::LeaseId;

/// The leads, the hosts that may change them, and this host's proof of both.
#[derive(Debug)]
pub(crate) struct LeadState {
    pub(crate) table: LeadTable,
    pub(crate) proof: LeadProof,
    /// Every host that the store lists, this one too.
    pub(crate) members: BTreeMap<HostId, Member>,
    /// The store's revision that the list is of.
    pub(crate) members_revision: Revision,
    /// When each host was last seen in the list.
    pub(crate) seen_at: BTreeMap<HostId, Monotonic>,
    pub(crate) membership: Option<Membership>,
}

/// Another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) peer_address: SocketAddr,
}

/// This host's own place in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Membership {
    pub(crate) lease: LeaseId,
    pub(crate) key_revision: Revision,
    pub(crate) joined_at: Monotonic,
}

impl LeadState {
    pub(crate) fn new() -> Self {
        Self {
            table: LeadTable::default(),
            proof: LeadProof::new(LeadProofSettings::default()),
            members: BTreeMap::new(),
            members_revision: 0,
            seen_at: BTreeMap::new(),
            membership: None,
        }
    }

    /// The other hosts.
    pub(crate) fn others(&self, host: &str) -> BTreeSet<HostId> {
        let others = self.members.keys().filter(|name| *name != host);
        others.cloned().collect()
    }

    /// The hosts that were listed at any time since `since`, this one too.
    pub(crate) fn seen_since(&self, since: Monotonic) -> BTreeSet<HostId> {
        let seen = self
            .seen_at
            .iter()
            .filter(|(_, seen_at)| **seen_at >= since);
        seen.map(|(host, _)| host.clone())
            .chain(self.members.keys().cloned())
            .collect()
    }

    /// Takes in the whole list of hosts as of `revision`, asked for at `asked_at`; whether it is no
    /// older than the one known.
    pub(crate) fn set_members(
        &mut self,
        members: BTreeMap<HostId, Member>,
        revision: Revision,
        asked_at: Monotonic,
    ) -> bool {
        for host in members.keys() {
            self.seen_at.insert(host.clone(), asked_at);
        }
        if revision < self.members_revision {
            return false;
        }
        self.members_revision = revision;
        self.members = members;
        true
    }

    /// Whether the table may be relied on at `now`.
    pub(crate) fn is_proved(&self, host: &str, now: Monotonic) -> bool {
        self.proof.is_valid(&self.others(host), now)
    }

    /// Until when the table may be relied on.
    pub(crate) fn proved_until(&self, host: &str) -> Monotonic {
        self.proof
            .valid_until(&self.others(host))
            .unwrap_or_default()
    }
}
