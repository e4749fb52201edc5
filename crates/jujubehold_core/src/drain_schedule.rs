//! When a draining host ends what it still does.
//!
//! The platform kills a process that has not ended within the drain timeout, and everything that the
//! process has accepted needs a complete answer before that. So requests run until shortly before
//! the timeout, whatever they wait for, and are then answered; the rest of the time is for writing
//! the answers and for leaving the list of hosts. See docs/notes/graceful-shutdown.md.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// Points in the drain timeout, in percent.
const END_SESSIONS_PERCENT: u32 = 40;
const CLOSE_TRANSACTIONS_PERCENT: u32 = 55;
const ANSWER_PERCENT: u32 = 90;
const EXIT_PERCENT: u32 = 95;

value_type! {
    /// The schedule of one drain.
    pub struct DrainSchedule {
        begun_at: Monotonic,
        timeout: Duration,
    }
}

impl DrainSchedule {
    /// Creates the schedule of a drain that began at `begun_at` and has to end within `timeout`.
    pub fn new(begun_at: Monotonic, timeout: Duration) -> Self {
        Self { begun_at, timeout }
    }

    /// Returns when sessions end that are outside a transaction. By then the platform has noticed that
    /// the host is not ready.
    pub fn end_sessions_at(&self) -> Monotonic {
        self.at(END_SESSIONS_PERCENT)
    }

    /// Returns when idle transactions are rolled back: after the half of the time that callers have to
    /// end them, with some margin for what they sent until then.
    pub fn close_transactions_at(&self) -> Monotonic {
        self.at(CLOSE_TRANSACTIONS_PERCENT)
    }

    /// Returns by when every request has its outcome; that of a request that still runs is then not
    /// known.
    pub fn answer_by(&self) -> Monotonic {
        self.at(ANSWER_PERCENT)
    }

    /// Returns when the process ends although answers are not written yet.
    pub fn exit_by(&self) -> Monotonic {
        self.at(EXIT_PERCENT)
    }

    fn at(&self, percent: u32) -> Monotonic {
        self.begun_at + self.timeout * percent / 100
    }
}
