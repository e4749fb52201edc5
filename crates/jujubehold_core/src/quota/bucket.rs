//! A token bucket of one keeper.

use std::time::Duration;

use super::share::{Share, ShareTime};
use super::start_credit::StartCredit;
use crate::{key_type, value_type};

/// The parts into which a token is divided, so that one nanosecond at a rate of one token in 1,000
/// seconds adds one part.
const PARTS_PER_TOKEN: u128 = 1_000_000_000_000;

key_type! {
    /// The limit of all buckets of a customer together.
    #[derive(Default)]
    pub struct BucketLimit {
        /// The tokens that accrue in 1,000 seconds.
        pub rate_per_1000_s: u64,
        /// The most tokens that the buckets contain, in thousandths.
        pub burst_per_mille: u64,
        /// The tokens with which buckets start after their hosts have been restarted, in
        /// thousandths.
        pub start_credit_per_mille: u64,
    }
}

impl BucketLimit {
    /// Returns the limit with the lower rate of the two, and the burst of `other`.
    #[must_use]
    pub fn min_rate(self, other: Self) -> Self {
        Self {
            rate_per_1000_s: self.rate_per_1000_s.min(other.rate_per_1000_s),
            ..other
        }
    }
}

value_type! {
    /// The tokens that accrue to the shares that a keeper holds.
    pub struct TokenBucket {
        parts: u128,
        accrued_until: ShareTime,
        /// The start credit that the bucket has received.
        credit: StartCredit,
    }
}

impl TokenBucket {
    /// Creates a bucket whose tokens accrue from `since` on.
    pub fn new(since: ShareTime) -> Self {
        Self {
            parts: 0,
            accrued_until: since,
            credit: StartCredit::default(),
        }
    }

    /// Adds the tokens that accrued until `now` and those of the start credit, and removes those
    /// above the burst of `share`.
    pub fn refill(
        &mut self,
        now: ShareTime,
        share: Share,
        credit: StartCredit,
        limit: BucketLimit,
    ) {
        let accrued = now
            .nanos_since(self.accrued_until)
            .saturating_mul(u128::from(limit.rate_per_1000_s));
        let start_credit = parts(limit.start_credit_per_mille);
        let added = accrued.saturating_add(credit.since(self.credit).of(start_credit));
        let capacity = share.of(parts(limit.burst_per_mille)) + credit.share().of(start_credit);
        self.parts = self.parts.saturating_add(added).min(capacity);
        self.accrued_until = now;
        self.credit = credit;
    }

    /// Removes up to `wanted` whole tokens and returns how many were removed.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = self.tokens().min(wanted);
        self.parts -= u128::from(taken) * PARTS_PER_TOKEN;
        taken
    }

    /// Returns the number of whole tokens.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.parts / PARTS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Returns the time after the last refill until the bucket contains a whole token, at the rate
    /// of `share`.
    pub fn next_token_in(&self, share: Share, limit: BucketLimit) -> Duration {
        let missing = PARTS_PER_TOKEN.saturating_sub(self.parts);
        time_for(missing, share, limit)
    }
}

fn parts(per_mille: u64) -> u128 {
    u128::from(per_mille) * (PARTS_PER_TOKEN / 1_000)
}

/// Returns the time in which one token accrues to `share`, at most one hour.
pub(super) fn interval(share: Share, limit: BucketLimit) -> Duration {
    time_for(PARTS_PER_TOKEN, share, limit)
}

fn time_for(parts: u128, share: Share, limit: BucketLimit) -> Duration {
    const MAX_TIME: Duration = Duration::from_hours(1);
    let rate = share.of(u128::from(limit.rate_per_1000_s) * 1_000_000);
    let nanos = parts.saturating_mul(1_000_000).checked_div(rate);
    let time = nanos.map_or(MAX_TIME, |nanos| {
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    });
    time.min(MAX_TIME)
}
