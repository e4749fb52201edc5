//! How long a request may wait, and when the caller of a refused request may retry.
//!
//! An early refusal leaves the caller time for another attempt: a request waits for only a part of
//! its objective, the time within which an answer has its full value, and is then refused. A
//! request that is expected to wait longer than that is refused at once.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::refusal_reason::RefusalReason;
use crate::value_type;
use crate::verdict::Refusal;

value_type! {
    /// The limits on waiting times.
    pub struct WaitPolicy {
        /// The part of the objective that a request may spend waiting before it runs, in percent.
        pub wait_percent: u32,
        /// The part of the objective that a request may spend waiting while no primary is known, in
        /// percent. It is larger since every other host is in the same state, so a caller gains
        /// nothing by trying elsewhere.
        pub primary_wait_percent: u32,
        /// The shortest time that a refused caller is asked to wait.
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
    /// The expected duration of a change of primary, which determines when a refused caller is asked
    /// to retry.
    pub const EXPECTED_PRIMARY_CHANGE: Duration = Duration::from_millis(600);

    /// Returns when a request that arrived at `arrived_at` with `objective` is refused if it still
    /// waits.
    pub fn give_up_at(&self, arrived_at: Monotonic, objective: Duration) -> Monotonic {
        arrived_at + objective * self.wait_percent / 100
    }

    /// Returns when a request that arrived at `arrived_at` with `objective` is refused if no
    /// primary is known.
    pub fn give_up_on_primary_at(&self, arrived_at: Monotonic, objective: Duration) -> Monotonic {
        arrived_at + objective * self.primary_wait_percent / 100
    }

    /// Returns whether a request that is expected to wait for `expected_wait` would start before
    /// `give_up_at`.
    pub fn is_worth_waiting(
        &self,
        now: Monotonic,
        give_up_at: Monotonic,
        expected_wait: Duration,
    ) -> bool {
        now + expected_wait < give_up_at
    }

    /// Creates the refusal of a request that could be served after `expected_wait`.
    pub fn refuse(&self, reason: RefusalReason, expected_wait: Duration) -> Refusal {
        let retry_after = expected_wait.clamp(self.min_retry_after, self.max_retry_after);
        Refusal::transient(reason, retry_after)
    }
}
