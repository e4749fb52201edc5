//! The tokens that one host grants from the shares that are leased to it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::bound::QuotaBound;
use super::bucket::{BucketLimit, TokenBucket, interval};
use super::held_shares::HeldShares;
use super::host_count::KnownHostCount;
use super::lessor::LEASE_LIFETIME;
use super::limit::QuotaLimit;
use super::messages::{ShareAnswer, TokenGrant, TokenRequest};
use super::partition::{PARTITION_COUNT, PartitionSet, QuotaPartition};
use super::share::ShareTime;
use crate::ids::{CustomerId, HostId, Monotonic};
use crate::value_type;

/// The longest time after which a refused caller is asked to retry.
const MAX_RETRY_IN: Duration = Duration::from_secs(2);

value_type! {
    /// The buckets of a host, and the shares from which they fill.
    ///
    /// A bucket fills at the rate of the shares that are held at the time, and contains at most
    /// their part of the burst. A share is leased to one keeper at a time, so that the buckets of
    /// all keepers together never contain more than the whole.
    pub(super) struct QuotaKeeper {
        bound: QuotaBound,
        partitions: [KeptPartition; PARTITION_COUNT],
        /// The requests whose leases may still be used, with the time at which they were sent.
        requests: VecDeque<(u64, Monotonic)>,
        last_number: u64,
    }

    #[derive(Default)]
    struct KeptPartition {
        shares: HeldShares,
        buckets: BTreeMap<CustomerId, CustomerBucket>,
        /// From when on tokens accrue to customers that have not requested any yet.
        accrues_since: ShareTime,
        /// Leases that were requested up to this number are not used.
        released_number: u64,
    }

    struct CustomerBucket {
        bucket: TokenBucket,
        limit: BucketLimit,
        /// When the next caller that is refused should retry.
        retry_at: Monotonic,
    }
}

impl QuotaKeeper {
    /// Creates the state of a host that holds no share.
    pub(super) fn new(bound: QuotaBound) -> Self {
        Self {
            bound,
            partitions: Default::default(),
            requests: VecDeque::new(),
            last_number: 0,
        }
    }

    /// Grants tokens of `customer`, whose quota is `limit`; `None` if this host holds no share.
    pub(super) fn grant(
        &mut self,
        now: Monotonic,
        customer: &CustomerId,
        limit: QuotaLimit,
        request: &TokenRequest,
    ) -> Option<TokenGrant> {
        let limit = self.bound.bucket_limit(limit);
        let partition = &mut self.partitions[QuotaPartition::of(customer).index()];
        partition.advance(now);
        partition.grant(now, customer, limit, request)
    }

    /// Ends the leases that expired.
    pub(super) fn advance(&mut self, now: Monotonic) {
        for partition in &mut self.partitions {
            partition.advance(now);
        }
    }

    /// Applies the known count of the hosts.
    pub(super) fn set_count(&mut self, now: Monotonic, count: &KnownHostCount) {
        let (share, until) = count.share_of_host();
        for partition in &mut self.partitions {
            partition.advance(now);
            if partition.shares.set_share_of_host(share, until) {
                partition.trim();
            }
        }
    }

    /// Begins a request for shares and returns its number.
    pub(super) fn begin_request(&mut self, now: Monotonic) -> u64 {
        self.last_number += 1;
        self.requests.push_back((self.last_number, now));
        self.requests
            .retain(|(_, sent_at)| now.saturating_sub(*sent_at) < LEASE_LIFETIME);
        self.last_number
    }

    /// Returns when the request `number` was sent, if its leases may still be used.
    pub(super) fn requested_at(&self, number: u64) -> Option<Monotonic> {
        let mut requests = self.requests.iter();
        let (_, sent_at) = requests.find(|(sent, _)| *sent == number)?;
        Some(*sent_at)
    }

    /// Applies the answer of `host` to a request for its share that was sent at `sent_at`.
    pub(super) fn note_answer(
        &mut self,
        now: Monotonic,
        sent_at: Monotonic,
        host: &HostId,
        answer: &ShareAnswer,
    ) {
        for partition in answer.leased.iter() {
            let has_credit = answer.credited.contains(partition);
            let partition = &mut self.partitions[partition.index()];
            if answer.number > partition.released_number {
                partition.advance(now);
                let until = sent_at + LEASE_LIFETIME;
                partition.shares.add(now, host, until, has_credit);
            }
        }
    }

    /// Gives up the shares of `partitions`. Returns the number of the latest request whose leases
    /// end.
    pub(super) fn release(&mut self, now: Monotonic, partitions: PartitionSet) -> u64 {
        for partition in partitions.iter() {
            let partition = &mut self.partitions[partition.index()];
            partition.advance(now);
            partition.shares.clear();
            partition.released_number = self.last_number;
            partition.trim();
        }
        self.last_number
    }
}

impl KeptPartition {
    fn advance(&mut self, now: Monotonic) {
        if self.shares.advance(now) {
            self.trim();
        }
    }

    // Removes the tokens that belong to shares that are no longer held: another keeper may have
    // them by now.
    fn trim(&mut self) {
        let (held, share) = (self.shares.held(), self.shares.share());
        let credit = self.shares.credit();
        self.accrues_since = held;
        if share.is_nothing() {
            self.buckets.clear();
        }
        for bucket in self.buckets.values_mut() {
            bucket.bucket.refill(held, share, credit, bucket.limit);
        }
    }

    fn grant(
        &mut self,
        now: Monotonic,
        customer: &CustomerId,
        limit: BucketLimit,
        request: &TokenRequest,
    ) -> Option<TokenGrant> {
        let (held, share) = (self.shares.held(), self.shares.share());
        if share.is_nothing() {
            return None;
        }
        let accrues_since = self.accrues_since;
        let entry = self.buckets.entry(customer.clone());
        let bucket = entry.or_insert_with(|| CustomerBucket {
            bucket: TokenBucket::new(accrues_since),
            limit,
            retry_at: Monotonic::ZERO,
        });
        // What accrued before a change of the limit accrued at the lower of the two rates.
        let credit = self.shares.credit();
        let limit_until_now = bucket.limit.min_rate(limit);
        bucket.bucket.refill(held, share, credit, limit_until_now);
        bucket.limit = limit;
        let tokens = bucket.bucket.take(request.tokens);
        let next_in = bucket.bucket.next_token_in(share, limit);
        let interval = interval(share, limit);
        Some(TokenGrant {
            tokens,
            next_in,
            interval,
            retry_in: bucket.note_refused(now, next_in, interval, request.refused),
        })
    }
}

impl CustomerBucket {
    // Moves the end of the line of refused callers and returns the time until then.
    fn note_refused(
        &mut self,
        now: Monotonic,
        next_in: Duration,
        interval: Duration,
        refused: u32,
    ) -> Duration {
        let retry_at = self.retry_at.max(now + next_in) + interval.saturating_mul(refused);
        self.retry_at = retry_at.min(now + MAX_RETRY_IN);
        self.retry_at.saturating_sub(now)
    }
}
