//! The bound on the operations of a customer in any window of time, across all hosts.

use std::time::Duration;

use super::bucket::BucketLimit;
use super::limit::QuotaLimit;
use crate::key_type;

/// How long after its request was sent a token may be used, by the clock of the requesting host.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(250);

key_type! {
    /// In any window at most (rate × window + burst) × (1 + excess) + slack operations may run.
    pub struct QuotaBound {
        /// The length of the window.
        pub window: Duration,
        /// The excess, in thousandths.
        pub excess_per_mille: u32,
        /// The slack, in operations.
        pub slack: u32,
    }
}

impl Default for QuotaBound {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            excess_per_mille: 100,
            slack: 20,
        }
    }
}

impl QuotaBound {
    /// Returns the limit of all buckets of a customer together.
    ///
    /// A token is used up to a lifetime L after its grant, so the operations in a window W come
    /// from grants within W + L, which are at most the burst of all buckets, rate × (W + L) and one
    /// start credit. The rate is the customer's, or less if that does not leave its burst. A quarter
    /// of the slack is not used, for configurations that reach the hosts at different times.
    pub fn bucket_limit(&self, limit: QuotaLimit) -> BucketLimit {
        if limit.admits_nothing() {
            return BucketLimit::default();
        }
        let factor = u128::from(1_000 + self.excess_per_mille);
        let (window_us, lifetime_us) = (self.window.as_micros(), TOKEN_LIFETIME.as_micros());
        let granted_us = (window_us + lifetime_us).max(1);
        let rate = u128::from(limit.rate_per_1000_s);
        let max_rate = rate * window_us * factor / (1_000 * granted_us);
        let rate = rate.min(max_rate);
        let slack = u128::from(self.slack);
        let burst = u128::from(limit.burst) * factor + slack * 500;
        let granted = rate * granted_us / 1_000_000;
        let quota = u128::from(limit.rate_per_1000_s) * window_us / 1_000_000
            + u128::from(limit.burst) * 1_000;
        let spare = (quota * factor / 1_000 + slack * 750).saturating_sub(granted + burst);
        BucketLimit {
            rate_per_1000_s: u64::try_from(rate).unwrap_or(u64::MAX),
            burst_per_mille: u64::try_from(burst).unwrap_or(u64::MAX),
            start_credit_per_mille: u64::try_from(spare).unwrap_or(u64::MAX),
        }
    }

    /// Returns how many operations may run in any window.
    pub fn max_operations(&self, limit: QuotaLimit) -> u64 {
        let by_rate = u128::from(limit.rate_per_1000_s) * self.window.as_micros() / 1_000_000_000;
        let quota = by_rate + u128::from(limit.burst);
        let bound = quota * u128::from(1_000 + self.excess_per_mille) / 1_000;
        u64::try_from(bound + u128::from(self.slack)).unwrap_or(u64::MAX)
    }
}
