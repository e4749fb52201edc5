//! Ownership: which hosts own an instance, watch a group or watch the configuration.
//!
//! All three are picked by rendezvous hashing, so that every host derives the same answer from the
//! same list of hosts, and a host that joins or leaves moves only its own share. See
//! docs/notes/membership.md.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{DomainId, HostId, InstanceId, ServiceId};
use crate::service_config::ServiceConfig;
use crate::value_type;

/// The number of hosts that own an instance.
pub const OWNERS_PER_INSTANCE: usize = 2;

/// The number of hosts in each of a group's failure domains that watch the group.
pub const WATCHERS_PER_DOMAIN: usize = 2;

/// The number of hosts of a failure domain that watch the configuration and relay it to the rest.
pub const CONFIG_WATCHERS_PER_DOMAIN: usize = 2;

value_type! {
    /// A host that watches a group, and its failure domain.
    pub struct Watcher {
        /// The host.
        pub host: HostId,
        /// The failure domain that the host is in.
        pub domain: DomainId,
    }
}

/// The hosts of each failure domain.
pub type DomainHosts = BTreeMap<DomainId, BTreeSet<HostId>>;

/// Returns the weight of `host` for `key`: FNV-1a over both, mixed so that similar names differ
/// widely.
///
/// It is written out here because hosts must agree on owners across versions of the product, and
/// the standard library's hashers don't promise stable results.
pub fn weight(key: &str, host: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = key.bytes().chain(std::iter::once(0)).chain(host.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    mix(hash)
}

/// Spreads the bits of `value` over all 64 bits.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// Returns the `count` hosts with the highest weight for `key`, highest first.
pub fn owners<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a HostId>,
    count: usize,
) -> Vec<HostId> {
    let mut ranked: Vec<_> = hosts
        .into_iter()
        .map(|host| (std::cmp::Reverse(weight(key, host)), host))
        .collect();
    ranked.sort_unstable();
    ranked.dedup();
    ranked
        .into_iter()
        .take(count)
        .map(|(_, host)| host.clone())
        .collect()
}

/// Returns the key by which an instance's owners are picked.
pub fn instance_key(service: &ServiceId, instance: &InstanceId) -> String {
    format!("{service}/{instance}")
}

/// Returns how many connections each of `owner_count` owners may open to an instance that accepts
/// `connections`.
///
/// One connection is reserved for the probes of each watcher of the group, and one owner's share
/// stays free, so that one additional owner does not exceed the limit while ownership moves.
pub fn quota(connections: u32, owner_count: usize, watcher_count: usize) -> u32 {
    let shares = u32::try_from(owner_count).map_or(u32::MAX, |count| count.saturating_add(1));
    let probes = u32::try_from(watcher_count).unwrap_or(u32::MAX);
    (connections.saturating_sub(probes) / shares).max(1)
}

/// Returns how many hosts watch a service's group if each of its failure domains has enough hosts.
pub fn watcher_count(config: &ServiceConfig) -> usize {
    let instances = config.instances.values();
    let domains: BTreeSet<_> = instances.map(|instance| &instance.domain).collect();
    domains.len() * WATCHERS_PER_DOMAIN
}

/// Returns the hosts that watch a service's group, in the order in which they act.
///
/// They come from the failure domains of the group's instances, so a domain that is cut off still
/// has watchers for its own instances.
pub fn group_watchers(
    config: &ServiceConfig,
    hosts: &DomainHosts,
    per_domain: usize,
) -> Vec<Watcher> {
    let domains: BTreeSet<_> = config
        .instances
        .values()
        .map(|instance| &instance.domain)
        .collect();
    let mut watchers: Vec<_> = domains
        .into_iter()
        .filter_map(|domain| Some((domain, hosts.get(domain)?)))
        .flat_map(|(domain, hosts)| {
            owners(&config.service, hosts, per_domain)
                .into_iter()
                .map(|host| Watcher {
                    host,
                    domain: domain.clone(),
                })
        })
        .collect();
    watchers.sort_by_key(|watcher| {
        std::cmp::Reverse((weight(&config.service, &watcher.host), watcher.host.clone()))
    });
    watchers
}

/// Returns the hosts of a failure domain that hold a watch on the platform's key-value service for
/// the rest.
pub fn config_watchers(domain: &DomainId, hosts: &BTreeSet<HostId>, count: usize) -> Vec<HostId> {
    owners(&format!("config/{domain}"), hosts, count)
}
