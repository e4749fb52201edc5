//! The hosts that may grant a customer's tokens, as one host knows them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, Monotonic};
use crate::lead_table::Revision;
use crate::ownership::weight;
use crate::value_type;

/// How long a host that grants without a handover waits after the hosts ahead of it left the list,
/// and after it was listed: as long as a read proves the list of hosts, and some more for clocks
/// that run at different rates.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(2_460);

/// How long it is remembered that a host left the list. A bucket that is taken over is empty at
/// first; after this time it counts as full.
const GONE_REMEMBERED: Duration = Duration::from_hours(1);

value_type! {
    /// This host's own entry in the list of hosts.
    pub struct OwnListing {
        /// The store's revision of the entry.
        pub revision: Revision,
        /// Since when the host is listed.
        pub since: Monotonic,
    }

    /// The list of hosts and its recent changes.
    pub struct QuotaHosts {
        own: HostId,
        listed: BTreeMap<HostId, Revision>,
        /// When this host learned that another one had left the list.
        gone_since: BTreeMap<HostId, Monotonic>,
        /// The hosts that said that they are leaving, with the revision of their entries.
        leaving: BTreeMap<HostId, Revision>,
        own_listing: Option<OwnListing>,
        proved_until: Monotonic,
    }
}

impl QuotaHosts {
    /// Creates an empty list for the host `own`.
    pub fn new(own: HostId) -> Self {
        Self {
            own,
            listed: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            leaving: BTreeMap::new(),
            own_listing: None,
            proved_until: Monotonic::ZERO,
        }
    }

    /// Returns this host.
    pub fn own(&self) -> &HostId {
        &self.own
    }

    /// Applies the known list of hosts with the revisions of their entries.
    pub fn set_listed(&mut self, now: Monotonic, listed: BTreeMap<HostId, Revision>) {
        let before = std::mem::replace(&mut self.listed, listed);
        for host in before.into_keys() {
            if !self.listed.contains_key(&host) {
                self.gone_since.insert(host, now);
            }
        }
        self.gone_since
            .retain(|_, since| now.saturating_sub(*since) < GONE_REMEMBERED);
        let listed = &self.listed;
        self.leaving
            .retain(|host, revision| listed.get(host) == Some(revision));
    }

    /// Records this host's own entry, and until when the list is proved.
    pub fn set_own(&mut self, listing: Option<OwnListing>, proved_until: Monotonic) {
        self.own_listing = listing;
        self.proved_until = proved_until;
    }

    /// Records that `host` is leaving.
    pub fn note_leaving(&mut self, host: &HostId) {
        if let Some(revision) = self.listed.get(host) {
            self.leaving.insert(host.clone(), *revision);
        }
    }

    /// Returns the revision of this host's own entry if it is listed.
    pub(super) fn own_revision(&self) -> Option<Revision> {
        self.own_listing.as_ref().map(|listing| listing.revision)
    }

    /// Returns whether `host` is in the list.
    pub(super) fn is_listed(&self, host: &str) -> bool {
        self.listed.contains_key(host)
    }

    /// Returns until when the list is proved.
    pub(super) fn proved_until(&self) -> Monotonic {
        self.proved_until
    }

    /// Returns the first `count` hosts that may grant tokens of `customer`, in the order in which
    /// they are asked. The host itself is always among the candidates, so that a host without a
    /// list is the only one.
    pub fn order(&self, customer: &str, count: usize) -> Vec<HostId> {
        let others = self.listed.keys().filter(|host| **host != self.own);
        let candidates = others.chain(std::iter::once(&self.own));
        let mut ranked: Vec<_> = candidates
            .filter(|host| !self.leaving.contains_key(*host))
            .map(|host| (Reverse(weight(customer, host)), host))
            .collect();
        if count < ranked.len() {
            ranked.select_nth_unstable(count);
            ranked.truncate(count);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, host)| host.clone()).collect()
    }

    /// Returns the listed host, first in order, that ranks ahead of this one and is not leaving.
    pub(super) fn ahead(&self, customer: &str) -> Option<HostId> {
        let first = self.order(customer, 1).into_iter().next();
        first.filter(|host| *host != self.own)
    }

    /// Returns when this host may grant from an empty bucket without a handover; `None` if another
    /// host ranks ahead of it or it is not listed. A host that is leaving may still grant until it
    /// is off the list.
    pub(super) fn takeover_at(&self, customer: &str) -> Option<Monotonic> {
        let listing = self.own_listing.as_ref()?;
        let own_weight = weight(customer, &self.own);
        let is_ahead = |host: &HostId| weight(customer, host) > own_weight;
        if self.listed.keys().any(is_ahead) {
            return None;
        }
        let gone = self.gone_since.iter().filter(|(host, _)| is_ahead(host));
        let last_gone_at = gone.map(|(_, since)| *since + TAKEOVER_DELAY).max();
        last_gone_at.max(Some(listing.since + TAKEOVER_DELAY))
    }
}
