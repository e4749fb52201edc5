//! Limits retries to a share of the traffic.

use crate::value_type;

value_type! {
    /// The settings of a [`RetryBudget`].
    pub struct RetryBudgetSettings {
        /// How many retries are allowed for each hundred requests.
        pub retry_percent: u32,
        /// How many retries the budget may save up, so that a service with little traffic can still
        /// retry.
        pub burst: u32,
    }

    /// A token bucket that is filled by requests rather than by time.
    ///
    /// When an upstream fails all requests, retries therefore add at most `retry_percent` to its
    /// load. Each service has one bucket, which takes 16 bytes of memory.
    pub struct RetryBudget {
        settings: RetryBudgetSettings,
        token_hundredths: u64,
    }
}

/// The cost of one retry, in hundredths of a token.
const RETRY_COST_HUNDREDTHS: u64 = 100;

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            retry_percent: 10,
            burst: 20,
        }
    }
}

impl RetryBudget {
    /// Creates a full bucket.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        let token_hundredths = u64::from(settings.burst) * RETRY_COST_HUNDREDTHS;
        Self {
            settings,
            token_hundredths,
        }
    }

    /// Adds the tokens that one request earns; call it for requests that are not retries.
    pub fn count_request(&mut self) {
        let limit = u64::from(self.settings.burst) * RETRY_COST_HUNDREDTHS;
        let filled = self.token_hundredths + u64::from(self.settings.retry_percent);
        self.token_hundredths = filled.min(limit);
    }

    /// Takes one retry from the bucket, or returns `false` if none is left.
    pub fn try_retry(&mut self) -> bool {
        let Some(remaining) = self.token_hundredths.checked_sub(RETRY_COST_HUNDREDTHS) else {
            return false;
        };
        self.token_hundredths = remaining;
        true
    }
}
