//! Parts of the quotas, and the time for which a keeper held them.

use std::time::Duration;

use crate::key_type;

/// The billionths that make up the whole of every quota.
const WHOLE: u64 = 1_000_000_000;

key_type! {
    /// A part of every quota, in billionths.
    #[derive(Default)]
    pub struct Share(u64);

    /// The time for which shares were held, in nanoseconds × billionths.
    #[derive(Default)]
    pub struct ShareTime(u128);
}

impl Share {
    /// Returns the share of one of `hosts` hosts; nothing if there are none.
    pub fn of_one_host(hosts: u32) -> Self {
        Self(WHOLE.checked_div(hosts.into()).unwrap_or_default())
    }

    /// Returns `count` times the share.
    #[must_use]
    pub fn times(self, count: usize) -> Self {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        Self(self.0.saturating_mul(count).min(WHOLE))
    }

    /// Returns the sum of both, at most the whole.
    #[must_use]
    pub(super) fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0).min(WHOLE))
    }

    /// Returns the difference of both.
    #[must_use]
    pub(super) fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the part of `amount` that belongs to the share.
    pub fn of(self, amount: u128) -> u128 {
        amount.saturating_mul(self.0.into()) / u128::from(WHOLE)
    }

    /// Returns whether it is nothing.
    pub fn is_nothing(self) -> bool {
        self.0 == 0
    }
}

impl ShareTime {
    /// Adds the time for which `share` was held.
    #[must_use]
    pub fn plus(self, share: Share, time: Duration) -> Self {
        Self(self.0 + time.as_nanos() * u128::from(share.0))
    }

    /// Returns for how many nanoseconds the whole would have been held since `earlier`.
    pub fn nanos_since(self, earlier: Self) -> u128 {
        self.0.saturating_sub(earlier.0) / u128::from(WHOLE)
    }
}
