//! Which news still has to be told.

use std::collections::BTreeMap;

use crate::ids::HostId;
use crate::value_type;

value_type! {
    /// How often each host's latest news was told.
    ///
    /// News is told a number of times that grows with the logarithm of the failure domain's size,
    /// after which every host very likely has it.
    #[derive(Default)]
    pub(super) struct Gossip {
        told: BTreeMap<HostId, u32>,
    }
}

impl Gossip {
    /// Has the latest news of a host told anew.
    pub(super) fn add(&mut self, host: &HostId) {
        self.told.insert(host.clone(), 0);
    }

    /// The hosts whose news a datagram carries, the least told first.
    pub(super) fn take(&mut self, count: usize, host_count: usize) -> Vec<HostId> {
        let limit = 3 * (usize::BITS - host_count.leading_zeros()).max(1);
        let mut hosts: Vec<_> = self
            .told
            .iter()
            .map(|(host, told)| (*told, host.clone()))
            .collect();
        hosts.sort_unstable();
        hosts.truncate(count);
        let hosts: Vec<_> = hosts.into_iter().map(|(_, host)| host).collect();
        for host in &hosts {
            if let Some(told) = self.told.get_mut(host) {
                *told += 1;
            }
        }
        self.told.retain(|_, told| *told < limit);
        hosts
    }
}
