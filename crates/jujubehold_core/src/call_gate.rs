//! Limits how often a host calls a store that refuses its calls.
//!
//! The store may turn some hosts away for seconds while it serves the others, and each refused call
//! costs as much as an answered one. The host's background tasks follow the store independently of
//! each other, so that a backoff of each one alone would let all of them try again. The first call
//! that is answered lets all tasks go on.
//!
//! Reads and writes have a backoff each: a store that loses the answers to writes may answer reads all
//! the while, and what is in force must be read whatever can be written.

use std::time::Duration;

use crate::backoff::Backoff;
use crate::ids::Monotonic;
use crate::{key_type, value_type};

/// The delays between the calls of all tasks of a host. Hosts have to follow the store again soon
/// after it is available.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(200),
    limit: Duration::from_millis(700),
};
/// How many times longer the delays of writes are while reads fail too: one answered read shows as much
/// as a write.
const WRITE_DELAY_FACTOR: u32 = 2;

key_type! {
    /// What a call asks of the store.
    pub enum CallKind {
        /// It reads keys, or waits for changes.
        Read,
        /// It changes keys or leases.
        Write,
    }
}

value_type! {
    /// Whether a host's background tasks may call the store.
    #[derive(Default)]
    pub struct CallGate {
        reads: CallBackoff,
        writes: CallBackoff,
    }

    /// The backoff of the calls of one kind.
    #[derive(Default)]
    struct CallBackoff {
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
    /// Returns the time of the next call if calls of this kind fail and another one was made
    /// recently.
    pub fn admit(&mut self, kind: CallKind, now: Monotonic, random: u64) -> Result<(), Monotonic> {
        match kind {
            CallKind::Read => self.reads.admit(now, 1, random),
            CallKind::Write if self.reads.failures == 0 => self.writes.admit(now, 1, random),
            CallKind::Write => self.writes.admit(now, WRITE_DELAY_FACTOR, random),
        }
    }

    /// Records that a call was answered. The store is available, whatever it was asked.
    pub fn note_answered(&mut self) {
        self.reads.failures = 0;
        self.writes.failures = 0;
    }

    /// Records that a call failed at `now`.
    pub fn note_failed(&mut self, kind: CallKind, now: Monotonic, random: u64) {
        match kind {
            CallKind::Read => self.reads.note_failed(now, random),
            CallKind::Write => self.writes.note_failed(now, random),
        }
    }
}

impl CallBackoff {
    fn admit(&mut self, now: Monotonic, delay_factor: u32, random: u64) -> Result<(), Monotonic> {
        let Some(attempt) = self.failures.checked_sub(1) else {
            return Ok(());
        };
        if now < self.next_call_at {
            return Err(self.next_call_at);
        }
        self.next_call_at = now + BACKOFF.delay(attempt, random) * delay_factor;
        Ok(())
    }

    fn note_failed(&mut self, now: Monotonic, random: u64) {
        if self.failures == 0 {
            self.next_call_at = now + BACKOFF.delay(0, random);
        }
        self.failures = self.failures.saturating_add(1);
    }
}
