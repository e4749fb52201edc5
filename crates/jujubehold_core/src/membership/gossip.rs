//! The updates that still have to be sent to peers.

use std::collections::BTreeMap;

use crate::ids::HostId;
use crate::value_type;

value_type! {
    /// The number of times that the latest update on each host was sent.
    ///
    /// An update is sent a number of times that grows with the logarithm of the failure domain's
    /// size, after which every host very likely has it.
    #[derive(Default)]
    pub(super) struct Gossip {
        send_counts: BTreeMap<HostId, u32>,
    }
}

impl Gossip {
    /// Queues the latest update on a host, to be sent as often as a new one.
    pub(super) fn enqueue(&mut self, host: &HostId) {
        self.send_counts.insert(host.clone(), 0);
    }

    /// Returns the hosts whose updates the next datagram carries, those sent least often first, and
    /// counts them as sent.
    pub(super) fn select(&mut self, count: usize, host_count: usize) -> Vec<HostId> {
        let limit = 3 * (usize::BITS - host_count.leading_zeros()).max(1);
        let mut hosts: Vec<_> = self
            .send_counts
            .iter()
            .map(|(host, sent)| (*sent, host.clone()))
            .collect();
        hosts.sort_unstable();
        hosts.truncate(count);
        let hosts: Vec<_> = hosts.into_iter().map(|(_, host)| host).collect();
        for host in &hosts {
            if let Some(sent) = self.send_counts.get_mut(host) {
                *sent += 1;
            }
        }
        self.send_counts.retain(|_, sent| *sent < limit);
        hosts
    }
}
