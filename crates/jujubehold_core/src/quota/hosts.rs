//! The hosts that may keep quotas, as one host knows them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::partition::{PARTITION_COUNT, QuotaPartition};
use crate::ids::{DomainId, HostId};
use crate::ownership::weight;
use crate::store_version::Revision;
use crate::value_type;

value_type! {
    /// A host in the list of hosts.
    pub struct QuotaHost {
        /// Its failure domain.
        pub domain: DomainId,
        /// The store's revision of its entry.
        pub revision: Revision,
    }

    /// The listed hosts by failure domain, ranked for each partition.
    pub struct QuotaHosts {
        own: HostId,
        own_domain: DomainId,
        listed: BTreeMap<HostId, QuotaHost>,
        /// The hosts that said that they are leaving, with the revision of their entries.
        leaving: BTreeMap<HostId, Revision>,
        ranked: [BTreeMap<DomainId, Vec<HostId>>; PARTITION_COUNT],
    }
}

impl QuotaHosts {
    /// Creates an empty list for the host `own` of `own_domain`.
    pub fn new(own: HostId, own_domain: DomainId) -> Self {
        let mut hosts = Self {
            own,
            own_domain,
            listed: BTreeMap::new(),
            leaving: BTreeMap::new(),
            ranked: Default::default(),
        };
        hosts.rank();
        hosts
    }

    /// Returns this host.
    pub fn own(&self) -> &HostId {
        &self.own
    }

    /// Applies the known list of hosts.
    pub fn set_listed(&mut self, listed: BTreeMap<HostId, QuotaHost>) {
        self.listed = listed;
        let listed = &self.listed;
        self.leaving.retain(|host, revision| {
            let entry = listed.get(host);
            entry.is_some_and(|entry| entry.revision == *revision)
        });
        self.rank();
    }

    /// Records that `host` is leaving.
    pub fn note_leaving(&mut self, host: &HostId) {
        if let Some(entry) = self.listed.get(host) {
            self.leaving.insert(host.clone(), entry.revision);
            self.rank();
        }
    }

    fn rank(&mut self) {
        for partition in QuotaPartition::all() {
            let mut domains: BTreeMap<DomainId, Vec<HostId>> = BTreeMap::new();
            let own = (&self.own, &self.own_domain);
            let listed = self.listed.iter();
            let others = listed.map(|(host, entry)| (host, &entry.domain));
            let hosts = others
                .filter(|(host, _)| **host != self.own)
                .chain(std::iter::once(own));
            for (host, domain) in hosts {
                if !self.leaving.contains_key(host) {
                    let of_domain = domains.entry(domain.clone()).or_default();
                    of_domain.push(host.clone());
                }
            }
            for ranked in domains.values_mut() {
                ranked.sort_by_key(|host| Reverse(weight(partition.rank_key(), host)));
            }
            self.ranked[partition.index()] = domains;
        }
    }

    /// Returns the position of `host` among the hosts of this host's failure domain that may keep
    /// `partition`, the first one at 0.
    pub(super) fn rank_of(&self, partition: QuotaPartition, host: &str) -> Option<usize> {
        let ranked = self.ranked[partition.index()].get(&self.own_domain)?;
        ranked.iter().position(|ranked| ranked == host)
    }

    /// Returns the first host of this host's failure domain that may keep `partition`.
    pub(super) fn first_own(&self, partition: QuotaPartition) -> Option<&HostId> {
        let ranked = self.ranked[partition.index()].get(&self.own_domain)?;
        ranked.first()
    }

    /// Returns the first host of each other failure domain that may keep `partition`.
    pub(super) fn first_of_others(
        &self,
        partition: QuotaPartition,
    ) -> impl Iterator<Item = &HostId> + Clone {
        let domains = self.ranked[partition.index()].iter();
        let others = domains.filter(|(domain, _)| **domain != self.own_domain);
        others.filter_map(|(_, ranked)| ranked.first())
    }

    /// Returns the other listed hosts of this host's failure domain, those that are leaving
    /// included.
    pub fn domain_peers(&self) -> impl Iterator<Item = &HostId> {
        let of_domain = self
            .listed
            .iter()
            .filter(|(_, entry)| entry.domain == self.own_domain);
        of_domain
            .map(|(host, _)| host)
            .filter(|host| **host != self.own)
    }
}
