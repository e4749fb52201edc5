//! Detects that this host itself could not run for a while.
//!
//! A host that was suspended, or that waited for its processor, reads answers late. It then seems
//! to it that an instance was silent, while it was the host that did not read.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// How late a periodic task may run before the host counts as stalled: a processor quota may hold a
/// process back for most of a tenth of a second.
const MAX_TICK_DELAY: Duration = Duration::from_millis(150);

value_type! {
    /// The stalls of a host, detected by a task that runs at a fixed interval.
    pub struct StallDetector {
        interval: Duration,
        last_tick_at: Option<Monotonic>,
        steady_since: Monotonic,
    }
}

impl StallDetector {
    /// Creates the detector of a task that runs every `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            last_tick_at: None,
            steady_since: Monotonic::ZERO,
        }
    }

    /// Records that the task runs at `now`.
    pub fn note_tick(&mut self, now: Monotonic) {
        let due_at = self.last_tick_at.map_or(now, |last| last + self.interval);
        if now.saturating_sub(due_at) > MAX_TICK_DELAY {
            self.steady_since = now;
        }
        self.last_tick_at = Some(now);
    }

    /// Returns since when the host has run without a stall.
    pub fn steady_since(&self) -> Monotonic {
        self.steady_since
    }
}
