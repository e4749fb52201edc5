//! How long to wait before the next try.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// Waits that double up to a limit, of which a random part is taken off.
    ///
    /// The random number comes from the caller, since the core draws none.
    pub struct Backoff {
        /// The longest first wait.
        pub base: Duration,
        /// The longest wait of all.
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
    /// The wait before try `attempt` (0 for the first), between half and all of its ceiling.
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
