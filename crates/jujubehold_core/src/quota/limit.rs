//! The quota of one customer.

use std::time::Duration;

use crate::key_type;

key_type! {
    /// How many operations a customer may start: `burst` at once, and `rate_per_1000_s` in each
    /// 1,000 seconds.
    pub struct QuotaLimit {
        /// The rate. It is counted for 1,000 seconds so that fractions of an operation per second
        /// are exact.
        pub rate_per_1000_s: u64,
        /// The number of operations that may start at once after a pause.
        pub burst: u32,
    }
}

impl QuotaLimit {
    /// Returns whether the quota admits no operation at all.
    pub fn admits_nothing(&self) -> bool {
        self.rate_per_1000_s == 0 || self.burst == 0
    }

    /// Returns the time in which one token becomes due, at most one hour.
    pub fn interval(&self) -> Duration {
        const MAX_INTERVAL: Duration = Duration::from_hours(1);
        let nanos = 1_000_000_000_000_u64.checked_div(self.rate_per_1000_s);
        nanos.map_or(MAX_INTERVAL, |nanos| {
            Duration::from_nanos(nanos).min(MAX_INTERVAL)
        })
    }
}
