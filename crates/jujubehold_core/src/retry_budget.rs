//! How many retries the traffic may carry.

use crate::value_type;

value_type! {
    /// The settings of a [`RetryBudget`].
    pub struct RetryBudgetSettings {
        /// How many retries are allowed for each hundred requests.
        pub retry_percent: u32,
        /// How many retries may be saved up, so that a quiet service may still retry.
        pub burst: u32,
    }

    /// A token bucket that is filled by requests and not by time.
    ///
    /// When an upstream fails everything, retries then add at most their share to its load. A
    /// bucket takes 16 bytes for each service.
    pub struct RetryBudget {
        settings: RetryBudgetSettings,
        hundredths: u64,
    }
}

/// One retry, in hundredths of a token.
const RETRY_COST: u64 = 100;

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            retry_percent: 10,
            burst: 20,
        }
    }
}

impl RetryBudget {
    /// A full bucket.
    pub fn new(settings: RetryBudgetSettings) -> Self {
        let hundredths = u64::from(settings.burst) * RETRY_COST;
        Self {
            settings,
            hundredths,
        }
    }

    /// Counts one request that is not a retry.
    pub fn count_request(&mut self) {
        let limit = u64::from(self.settings.burst) * RETRY_COST;
        let filled = self.hundredths + u64::from(self.settings.retry_percent);
        self.hundredths = filled.min(limit);
    }

    /// Takes one retry from the bucket; `false` when none is left.
    pub fn try_retry(&mut self) -> bool {
        let Some(rest) = self.hundredths.checked_sub(RETRY_COST) else {
            return false;
        };
        self.hundredths = rest;
        true
    }
}
