//! Exponential backoff with jitter.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// Delays that double up to a limit, each reduced by a random part.
    ///
    /// The random number is an argument, since the core draws no random numbers.
    pub struct Backoff {
        /// The ceiling of the first delay.
        pub base: Duration,
        /// The ceiling of all delays.
        pub limit: Duration,
    }
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            base: Duration::from_millis(50),
            limit: Duration::from_secs(2),
        }
    }
}

impl Backoff {
    /// Returns the delay before attempt `attempt`, counted from 0: between half and all of that
    /// attempt's ceiling.
    pub fn delay(&self, attempt: u32, random: u64) -> Duration {
        let doubled = self.base.saturating_mul(1_u32 << attempt.min(20));
        let ceiling = doubled.min(self.limit);
        let half = ceiling / 2;
        let spread_ns = u64::try_from(half.as_nanos())
            .unwrap_or(u64::MAX - 1)
            .saturating_add(1);
        half + Duration::from_nanos(random % spread_ns)
    }
}
