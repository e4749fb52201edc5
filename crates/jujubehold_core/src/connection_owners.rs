//! Which hosts own the connections to an instance, and how many connections each host may have.
//!
//! Where a deployment has at least as many hosts as an instance accepts connections, nearly every
//! operation would open a connection: 86 to 115 hosts share 40 to 73 connections, each of which
//! serves one customer, and opening one occupies a slot of the instance for 12 ms. A few hosts in
//! the instance's failure domain then own its connections and run the statements of all others.

use std::collections::BTreeSet;

use crate::ids::{HostId, InstanceId, ServiceId};
use crate::ownership::{OWNERS_PER_INSTANCE, instance_key, owners, weight};
use crate::value_type;

/// The part of an instance's connections that one owner may have, as a fraction: two fifths.
const OWNER_SHARE: (usize, usize) = (2, 5);

value_type! {
    /// The owners of one instance's connections.
    pub struct ConnectionOwners {
        /// The owners, the one with the highest weight first.
        owners: Vec<HostId>,
        /// How many connections the instance accepts from all hosts together.
        max_connections: usize,
        /// How many hosts are listed.
        hosts: usize,
        /// How many hosts keep a connection for control calls beside the owners' connections.
        control_connections: usize,
    }
}

impl ConnectionOwners {
    /// Picks the owners of `instance` among `domain_hosts`, the listed hosts of its failure domain.
    ///
    /// Returns `None` if every host connects directly: there are fewer than `max_connections`
    /// hosts, or none is listed in the failure domain, or the instance accepts so few connections
    /// that nothing would be left beside the owners' shares.
    pub fn new<'a>(
        service: &ServiceId,
        instance: &InstanceId,
        domain_hosts: impl IntoIterator<Item = &'a HostId>,
        hosts: usize,
        max_connections: usize,
        control_connections: usize,
    ) -> Option<Self> {
        let is_scarce = hosts >= max_connections && max_connections > OWNERS_PER_INSTANCE;
        if !is_scarce {
            return None;
        }
        let key = instance_key(service, instance);
        let owners = owners(&key, domain_hosts, OWNERS_PER_INSTANCE);
        (!owners.is_empty()).then_some(Self {
            owners,
            max_connections,
            hosts,
            control_connections,
        })
    }

    /// Returns whether `host` owns connections to the instance.
    pub fn is_owner(&self, host: &str) -> bool {
        self.owners.iter().any(|owner| owner == host)
    }

    /// Returns the owners in the order in which they are tried for `key`: the customer's name, or
    /// the name of the session's host if no customer is known.
    ///
    /// All hosts derive the same order, so that a customer's connections are reused.
    pub fn order<'a>(&'a self, key: &str) -> impl Iterator<Item = &'a HostId> + use<'a> {
        let mut ranked: Vec<_> = self
            .owners
            .iter()
            .map(|owner| (std::cmp::Reverse(weight(key, owner)), owner))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, owner)| owner)
    }

    /// Returns how many connections `host` may have.
    pub fn share(&self, host: &str) -> usize {
        if self.is_owner(host) {
            self.owner_share()
        } else {
            self.direct_share()
        }
    }

    /// Returns whether the instance accepts a connection for control calls from each host that keeps one,
    /// beside those of the owners. Otherwise these hosts have to close theirs when they are idle: an
    /// owner that starts later would get none.
    pub fn leaves_control_connections(&self) -> bool {
        let owned = self.owner_share() * self.owners.len();
        owned + self.control_connections <= self.max_connections
    }

    // Two fifths, less where the hosts that keep a connection for control calls need more than the
    // rest. Without that, the instance would refuse those hosts' calls.
    fn owner_share(&self) -> usize {
        let (part, whole) = OWNER_SHARE;
        let unreserved = self
            .max_connections
            .saturating_sub(self.control_connections);
        let share = (self.max_connections * part / whole).min(unreserved / OWNERS_PER_INSTANCE);
        share.max(1)
    }

    // What the owners leave, divided among the other hosts. Each may have one: it connects directly
    // only while no owner responds.
    fn direct_share(&self) -> usize {
        let owned = self.owner_share() * self.owners.len();
        let others = self.hosts.saturating_sub(self.owners.len()).max(1);
        (self.max_connections.saturating_sub(owned) / others).max(1)
    }
}

/// Returns how many hosts keep a connection for control calls to a primary: those that watch it and
/// those that read the store for their failure domain.
pub fn control_connections<'a>(
    watchers: impl IntoIterator<Item = &'a HostId>,
    domain_readers: impl IntoIterator<Item = &'a HostId>,
) -> usize {
    let hosts: BTreeSet<_> = watchers.into_iter().chain(domain_readers).collect();
    hosts.len()
}
