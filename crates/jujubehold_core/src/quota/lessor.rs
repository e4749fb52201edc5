//! Leases this host's share to the keepers of its failure domain.

use std::time::Duration;

use super::messages::{ShareAnswer, ShareRelease, ShareRequest};
use super::partition::{PARTITION_COUNT, PartitionSet, QuotaPartition};
use super::start_credit::MAX_CREDIT_AGE;
use crate::ids::{HostId, Monotonic, Nonce};
use crate::value_type;

/// How long a share is leased. A keeper counts it from the time at which it sent its request, the
/// lessor from the later time at which it answers.
pub const LEASE_LIFETIME: Duration = Duration::from_millis(300);

value_type! {
    /// The leases of this host's share, one per partition.
    #[derive(Default)]
    pub(super) struct ShareLessor {
        leases: [Option<ShareLease>; PARTITION_COUNT],
        /// Whether this process has leased the share before.
        has_leased: [bool; PARTITION_COUNT],
    }

    struct ShareLease {
        keeper: HostId,
        process: Nonce,
        number: u64,
        until: Monotonic,
    }
}

impl ShareLessor {
    /// Answers a request of `keeper`. `counted_from` is when this host's share may be leased, and
    /// `has_credit` whether the first lease carries a start credit.
    ///
    /// A process leases nothing until the leases of the host's earlier process have ended.
    pub(super) fn answer(
        &mut self,
        now: Monotonic,
        keeper: &HostId,
        request: &ShareRequest,
        counted_from: Option<Monotonic>,
        has_credit: bool,
    ) -> ShareAnswer {
        let mut answer = ShareAnswer {
            number: request.number,
            leased: PartitionSet::default(),
            credited: PartitionSet::default(),
            next_in: Duration::ZERO,
            count: None,
        };
        let Some(counted_from) = counted_from else {
            answer.next_in = LEASE_LIFETIME;
            return answer;
        };
        let from = counted_from.max(LEASE_LIFETIME);
        if now < from {
            answer.next_in = from.saturating_sub(now);
            return answer;
        }
        for partition in request.partitions.iter() {
            match self.lease(now, keeper, request, partition) {
                Ok(()) => {
                    answer.leased.insert(partition);
                    let has_leased = &mut self.has_leased[partition.index()];
                    let is_first = !std::mem::replace(has_leased, true);
                    if is_first && has_credit && now < MAX_CREDIT_AGE {
                        answer.credited.insert(partition);
                    }
                }
                Err(next_in) => answer.next_in = answer.next_in.max(next_in),
            }
        }
        answer
    }

    // Returns the time until the lease of another keeper ends, if there is one.
    fn lease(
        &mut self,
        now: Monotonic,
        keeper: &HostId,
        request: &ShareRequest,
        partition: QuotaPartition,
    ) -> Result<(), Duration> {
        let lease = &mut self.leases[partition.index()];
        if let Some(lease) = lease {
            let is_same = lease.keeper == *keeper && lease.process == request.process;
            if !is_same && now < lease.until {
                return Err(lease.until.saturating_sub(now));
            }
            // A late datagram must not bring back a lease that was released.
            if is_same && request.number <= lease.number {
                return Err(LEASE_LIFETIME);
            }
        }
        *lease = Some(ShareLease {
            keeper: keeper.clone(),
            process: request.process,
            number: request.number,
            until: now + LEASE_LIFETIME,
        });
        Ok(())
    }

    /// Ends the leases that `keeper` no longer uses.
    pub(super) fn release(&mut self, now: Monotonic, keeper: &HostId, release: &ShareRelease) {
        for partition in release.partitions.iter() {
            if let Some(lease) = &mut self.leases[partition.index()]
                && lease.keeper == *keeper
                && lease.process == release.process
                && lease.number <= release.number
            {
                lease.number = release.number;
                lease.until = lease.until.min(now);
            }
        }
    }

    /// Returns the keeper that holds this host's share of `partition`.
    pub(super) fn keeper(&self, now: Monotonic, partition: QuotaPartition) -> Option<&HostId> {
        let lease = self.leases[partition.index()].as_ref();
        lease
            .filter(|lease| now < lease.until)
            .map(|lease| &lease.keeper)
    }
}
