//! When an answer that is being received is given up.
//!
//! The size of an answer grows with the installation, while the rate of a host's link does not. A
//! fixed timeout would give up every answer beyond some size, and the host would ask for it again
//! without end. So an answer is given up if nothing of it has arrived for a while, or if it arrives
//! more slowly than any usable link delivers it. Without the latter, a single byte now and then
//! would keep a call waiting without end.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// The least mean rate at which an answer must arrive: a thirtieth of the thinnest link (2 Mbit/s),
/// which a host shares with its callers.
const MIN_BYTES_PER_SECOND: u64 = 8 * 1024;
/// How many received bytes extend the timeout. More than twice the directory of the largest
/// installation; it bounds an answer without end to about nine minutes.
const MAX_COUNTED_BYTES: u64 = 4 * 1024 * 1024;

value_type! {
    /// The timeout of one answer, which starts again with each part that arrives.
    pub struct TransferTimeout {
        /// The longest time without a new part.
        idle_limit: Duration,
        begun_at: Monotonic,
        received_bytes: u64,
        /// When the call began, or the latest part was noticed.
        progress_at: Monotonic,
    }
}

impl TransferTimeout {
    /// Starts the timeout of a call that begins at `now`.
    pub fn new(now: Monotonic, idle_limit: Duration) -> Self {
        Self {
            idle_limit,
            begun_at: now,
            received_bytes: 0,
            progress_at: now,
        }
    }

    /// Records how much of the answer has arrived by `now`.
    pub fn note_received(&mut self, now: Monotonic, received_bytes: u64) {
        if received_bytes > self.received_bytes {
            self.received_bytes = received_bytes;
            self.progress_at = now;
        }
    }

    /// Returns when the answer is given up, unless more of it arrives before.
    pub fn expires_at(&self) -> Monotonic {
        let counted_bytes = self.received_bytes.min(MAX_COUNTED_BYTES);
        let longest_transfer = Duration::from_millis(counted_bytes * 1_000 / MIN_BYTES_PER_SECOND);
        let too_slow_at = self.begun_at + self.idle_limit + longest_transfer;
        too_slow_at.min(self.progress_at + self.idle_limit)
    }

    /// Returns whether the answer is given up at `now`.
    pub fn is_expired(&self, now: Monotonic) -> bool {
        now >= self.expires_at()
    }
}
