//! Which partitions of its failure domain a host keeps.
//!
//! The hosts of a domain are ranked for each partition. A host becomes the keeper if no other one
//! has requested shares for a lease's lifetime, and later the lower it ranks. A keeper stays one
//! until a host that ranks higher requests shares too, so that a restart moves no keeper but those
//! of the host itself. Two keepers at a time divide the shares and grant no more than one would.

use super::hosts::QuotaHosts;
use super::lessor::LEASE_LIFETIME;
use super::partition::{PARTITION_COUNT, PartitionSet, QuotaPartition};
use crate::ids::{HostId, Monotonic};
use crate::ownership::weight;
use crate::value_type;

value_type! {
    /// The partitions that this host keeps, and the other keepers that it has heard of.
    #[derive(Default)]
    pub(super) struct KeeperCandidacy {
        kept: PartitionSet,
        /// The host that last requested shares, and when.
        others: [Option<(HostId, Monotonic)>; PARTITION_COUNT],
        /// Since when no other host has requested shares.
        vacant_since: [Monotonic; PARTITION_COUNT],
    }

    /// What changed.
    pub(super) struct KeptPartitions {
        /// The partitions that the host keeps.
        pub(super) kept: PartitionSet,
        /// Those that it no longer keeps.
        pub(super) given_up: PartitionSet,
    }
}

impl KeeperCandidacy {
    /// Decides which partitions the host keeps at `now`.
    pub(super) fn decide(&mut self, now: Monotonic, hosts: &QuotaHosts) -> KeptPartitions {
        let before = self.kept;
        let mut kept = PartitionSet::default();
        let mut given_up = PartitionSet::default();
        for partition in QuotaPartition::all() {
            if self.is_kept(now, hosts, partition) {
                kept.insert(partition);
            } else if before.contains(partition) {
                given_up.insert(partition);
            }
        }
        self.kept = kept;
        KeptPartitions { kept, given_up }
    }

    fn is_kept(&self, now: Monotonic, hosts: &QuotaHosts, partition: QuotaPartition) -> bool {
        // A host that is leaving has no rank.
        let Some(rank) = hosts.rank_of(partition, hosts.own()) else {
            return false;
        };
        if self.kept.contains(partition) {
            let other = self.other(now, partition);
            return other.is_none_or(|other| !ranks_ahead(partition, other, hosts.own()));
        }
        let turns = u32::try_from(rank + 1).unwrap_or(u32::MAX);
        let delay = LEASE_LIFETIME.saturating_mul(turns);
        now >= self.vacant_since[partition.index()] + delay
    }

    /// Records that `keeper` requested shares.
    pub(super) fn note_request(
        &mut self,
        now: Monotonic,
        keeper: &HostId,
        partitions: PartitionSet,
    ) {
        for partition in partitions.iter() {
            self.others[partition.index()] = Some((keeper.clone(), now));
            self.vacant_since[partition.index()] = now;
        }
    }

    /// Records that `keeper` gave up `partitions`. The host that ranks first follows at once.
    pub(super) fn note_release(
        &mut self,
        now: Monotonic,
        keeper: &HostId,
        partitions: PartitionSet,
    ) {
        for partition in partitions.iter() {
            let other = &mut self.others[partition.index()];
            if other.take_if(|(host, _)| host == keeper).is_some() {
                self.vacant_since[partition.index()] = now.saturating_sub(LEASE_LIFETIME);
            }
        }
    }

    /// Returns whether this host keeps `partition`.
    pub(super) fn keeps(&self, partition: QuotaPartition) -> bool {
        self.kept.contains(partition)
    }

    /// Returns the other host that requested shares of `partition` lately.
    pub(super) fn other(&self, now: Monotonic, partition: QuotaPartition) -> Option<&HostId> {
        let (host, requested_at) = self.others[partition.index()].as_ref()?;
        (now < *requested_at + LEASE_LIFETIME).then_some(host)
    }
}

fn ranks_ahead(partition: QuotaPartition, host: &str, other: &str) -> bool {
    let key = partition.rank_key();
    (weight(key, host), host) > (weight(key, other), other)
}
