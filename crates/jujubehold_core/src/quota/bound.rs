//! The bound on the operations of a customer in any window of time, across all hosts.

use std::time::Duration;

use super::limit::QuotaLimit;
use crate::key_type;

/// How long after its request was sent a token may be used, by the clock of the requesting host.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(250);

/// How many hosts may grant from a backup bucket at a time.
pub(super) const BACKUP_COUNT: usize = 2;

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
    /// Returns the limit of one backup bucket.
    ///
    /// A token is used up to a lifetime L after its grant, so the operations in a window W come
    /// from grants within W + L. The grantor gives burst + rate × (W + L) in that time. That leaves
    /// rate × (excess × W - L) + burst × excess + slack for the backup buckets together. Half of
    /// the slack is kept for rounding and for hosts whose lists differ for a moment.
    pub fn backup(&self, limit: QuotaLimit) -> QuotaLimit {
        if limit.admits_nothing() {
            return QuotaLimit {
                rate_per_1000_s: 0,
                burst: 0,
            };
        }
        let excess = u128::from(self.excess_per_mille);
        let spare_us =
            (self.window.as_micros() * excess / 1_000).saturating_sub(TOKEN_LIFETIME.as_micros());
        let granted_us = (self.window + TOKEN_LIFETIME).as_micros() * BACKUP_COUNT as u128;
        let rate = u128::from(limit.rate_per_1000_s) * spare_us / granted_us;
        let burst = u128::from(self.slack) / 4 + u128::from(limit.burst) * excess / 2_000;
        QuotaLimit {
            rate_per_1000_s: u64::try_from(rate).unwrap_or(u64::MAX),
            burst: u32::try_from(burst).unwrap_or(u32::MAX),
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
