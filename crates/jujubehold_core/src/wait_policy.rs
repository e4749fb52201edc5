//! How long a request may wait, and when its caller may come back.
//!
//! A caller is served best when it knows early: a request waits for a part of the time in which an
//! answer is worth its full value, and is then refused with most of that time left for another
//! try. What surely can't be served in that time is refused at once.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::refusal_reason::RefusalReason;
use crate::value_type;
use crate::verdict::Refusal;

value_type! {
    /// How waiting is bounded.
    pub struct WaitPolicy {
        /// The part of the objective that a request may wait before it runs, in percent.
        pub wait_percent: u32,
        /// The same while no primary is known, in percent: every other host is in the same state,
        /// so that a caller gains nothing by trying elsewhere.
        pub primary_wait_percent: u32,
        /// The least time that a refused caller is asked to wait.
        pub min_retry_after: Duration,
        /// The longest time that a refused caller is asked to wait.
        pub max_retry_after: Duration,
    }
}

impl Default for WaitPolicy {
    fn default() -> Self {
        Self {
            wait_percent: 24,
            primary_wait_percent: 75,
            min_retry_after: Duration::from_millis(50),
            max_retry_after: Duration::from_secs(2),
        }
    }
}

impl WaitPolicy {
    /// When a request that arrived at `arrived_at` under `objective` is refused if nothing runs it.
    pub fn give_up_at(&self, arrived_at: Monotonic, objective: Duration) -> Monotonic {
        arrived_at + objective * self.wait_percent / 100
    }

    /// When a request that arrived at `arrived_at` under `objective` is refused if no primary is
    /// known.
    pub fn give_up_on_primary_at(&self, arrived_at: Monotonic, objective: Duration) -> Monotonic {
        arrived_at + objective * self.primary_wait_percent / 100
    }

    /// Whether a request should wait at all when `expected_wait` is ahead of it.
    pub fn is_worth_waiting(
        &self,
        now: Monotonic,
        give_up_at: Monotonic,
        expected_wait: Duration,
    ) -> bool {
        now + expected_wait < give_up_at
    }

    /// The refusal of a request that is expected to be served after `expected_wait`.
    pub fn refuse(&self, reason: RefusalReason, expected_wait: Duration) -> Refusal {
        let retry_after = expected_wait.clamp(self.min_retry_after, self.max_retry_after);
        Refusal::transient(reason, retry_after)
    }
}
