//! Limits how many connections to one instance a host opens.
//!
//! An instance accepts few connections from all hosts together and refuses the rest, opening a
//! connection occupies one of its slots for a while, and after a loss of all hosts more requests
//! arrive than it has slots for. A host therefore opens few connections at a time. When the
//! instance refuses a connection or is busy, the host cuts its limit to no more than it has in use
//! and raises it again step by step, since all hosts compete for the connections that become free.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// How many connections may be opening at once: each occupies a slot of the instance for a while,
/// and a waiting request mostly gets a connection that another request returns before a new one is
/// open.
const MAX_CONCURRENT_OPENS: usize = 2;
/// How long no connection is opened after a refusal: another attempt would be refused too, and
/// would cost the instance time.
const REFUSAL_PAUSE: Duration = Duration::from_millis(40);
/// The time between two increases of the limit, by one each, after it was cut.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(300);

value_type! {
    /// Counts one host's connections to one instance and limits them.
    pub struct ConnectionLimit {
        /// The number of connections that are open or opening.
        open_count: usize,
        /// The number of connections that are opening.
        opening_count: usize,
        limit: usize,
        /// The end of the pause after a refusal, during which no connection is opened.
        opens_paused_until: Monotonic,
        /// When the limit was last cut or raised; `None` once it is back at the host's share.
        last_change_at: Option<Monotonic>,
    }
}

impl ConnectionLimit {
    /// Creates a count of no connections with the given limit.
    pub fn new(limit: usize) -> Self {
        Self {
            open_count: 0,
            opening_count: 0,
            limit,
            opens_paused_until: Monotonic::ZERO,
            last_change_at: None,
        }
    }

    /// Returns the number of connections that are open or opening.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns whether another connection may be opened.
    pub fn has_room(&self, now: Monotonic) -> bool {
        self.closes_needed(now) == Some(0)
    }

    /// Returns how many connections have to be closed before another one may be opened; `None` if
    /// none may be opened now whatever is closed.
    pub fn closes_needed(&self, now: Monotonic) -> Option<usize> {
        let may_open = self.opening_count < MAX_CONCURRENT_OPENS && now >= self.opens_paused_until;
        may_open.then(|| (self.open_count + 1).saturating_sub(self.limit))
    }

    /// Returns whether more connections are open than the limit allows.
    pub fn is_exceeded(&self) -> bool {
        self.open_count > self.limit
    }

    /// Counts a connection that starts to open.
    pub fn begin_opening(&mut self) {
        self.open_count += 1;
        self.opening_count += 1;
    }

    /// Records that a connection is no longer opening, whether it opened or failed.
    ///
    /// For one that failed, call [`note_closed`](Self::note_closed) as well.
    pub fn end_opening(&mut self) {
        self.opening_count = self.opening_count.saturating_sub(1);
    }

    /// Records that `count` connections were closed.
    pub fn note_closed(&mut self, count: usize) {
        self.open_count = self.open_count.saturating_sub(count);
    }

    /// Records that the instance refused a connection that was opening.
    pub fn note_refused(&mut self, now: Monotonic) {
        self.cut(now, self.open_count.saturating_sub(1));
        self.opens_paused_until = now + REFUSAL_PAUSE;
    }

    /// Records that the instance was too busy to run a request, while `unused` connections were
    /// idle.
    ///
    /// Busy answers in quick succession have the same cause, so they cut the limit only once.
    pub fn note_busy(&mut self, now: Monotonic, unused: usize) {
        let is_same_cause = self
            .last_change_at
            .is_some_and(|last_change_at| now.saturating_sub(last_change_at) < REFUSAL_PAUSE);
        if !is_same_cause {
            self.cut(now, self.open_count.saturating_sub(unused + 1));
        }
    }

    /// Raises the limit to `share`, or by one step if it was cut.
    pub fn raise(&mut self, now: Monotonic, share: usize) {
        let Some(last_change_at) = self.last_change_at else {
            self.limit = share;
            return;
        };
        if now.saturating_sub(last_change_at) >= RECOVERY_INTERVAL {
            self.limit = (self.limit + 1).min(share);
            self.last_change_at = (self.limit < share).then_some(now);
        }
    }

    // At least one connection is always allowed: without it the host would never learn that the
    // instance has room again.
    fn cut(&mut self, now: Monotonic, limit: usize) {
        self.limit = limit.max(1);
        self.last_change_at = Some(now);
    }
}
