//! Limits how often a host calls a store that refuses its calls.
//!
//! The store may turn some hosts away for seconds while it serves the others, and each refused call
//! costs as much as an answered one. The host's background tasks follow the store independently of
//! each other, so that a backoff of each one alone would let all of them try again. The first call
//! that is answered lets all tasks go on.

use std::time::Duration;

use crate::backoff::Backoff;
use crate::ids::Monotonic;
use crate::value_type;

/// The delays between the calls of all tasks of a host. Hosts have to follow the store again soon
/// after it is available.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(200),
    limit: Duration::from_millis(700),
};

value_type! {
    /// Whether a host's background tasks may call the store.
    #[derive(Default)]
    pub struct CallGate {
        /// The number of calls that have failed since the last one that was answered.
        failures: u32,
        /// When the next call may be made, while calls fail.
        next_call_at: Monotonic,
    }
}

impl CallGate {
    /// Admits a call at `now`, or returns when to ask again.
    ///
    /// # Errors
    /// Returns the time of the next call if calls fail and another one was made recently.
    pub fn admit(&mut self, now: Monotonic, random: u64) -> Result<(), Monotonic> {
        let Some(attempt) = self.failures.checked_sub(1) else {
            return Ok(());
        };
        if now < self.next_call_at {
            return Err(self.next_call_at);
        }
        self.next_call_at = now + BACKOFF.delay(attempt, random);
        Ok(())
    }

    /// Records that a call was answered.
    pub fn note_answered(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed at `now`.
    pub fn note_failed(&mut self, now: Monotonic, random: u64) {
        if self.failures == 0 {
            self.next_call_at = now + BACKOFF.delay(0, random);
        }
        self.failures = self.failures.saturating_add(1);
    }
}
