//! How many connections to one instance a host has, opens and may open.
//!
//! The load patterns behind it: an instance takes few connections from all hosts and refuses what is
//! too much; each one that is opened takes a slot of it for a while; and after a loss of all hosts
//! more comes than it has slots for. So a host opens few at a time, and a refusal or a busy instance
//! cuts its limit to what it has in use, from where it rises step by step, since all hosts want what
//! becomes free.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// How many connections are being opened at once: each takes a slot of the instance for a while, and
/// a request that waits mostly gets one that another has used, sooner than one of its own.
const MAX_OPENING: usize = 2;
/// How long no connection is asked for after a refusal: another one would be refused too, and take
/// the instance's time.
const REFUSAL_PAUSE: Duration = Duration::from_millis(40);
/// How often the limit rises by one after it was cut.
const RECOVERY_STEP: Duration = Duration::from_millis(300);

value_type! {
    /// The count of one host's connections to one instance, and its bound.
    pub struct ConnectionLimit {
        /// Connections that are open or being opened.
        open_count: usize,
        /// How many of those are being opened.
        opening_count: usize,
        limit: usize,
        /// Until when no connection is opened after a refusal.
        closed_until: Monotonic,
        /// When the limit was cut, or rose again after that.
        cut_at: Option<Monotonic>,
    }
}

impl ConnectionLimit {
    /// No connection, and room for `limit`.
    pub fn new(limit: usize) -> Self {
        Self {
            open_count: 0,
            opening_count: 0,
            limit,
            closed_until: Monotonic::ZERO,
            cut_at: None,
        }
    }

    /// How many connections are open or being opened.
    pub fn open_count(&self) -> usize {
        self.open_count
    }

    /// Whether one more may be opened for a request.
    pub fn has_room(&self, now: Monotonic) -> bool {
        let is_below = self.open_count < self.limit && self.opening_count < MAX_OPENING;
        is_below && now >= self.closed_until
    }

    /// Whether more are open than should be.
    pub fn is_exceeded(&self) -> bool {
        self.open_count > self.limit
    }

    /// Counts a connection that is being opened.
    pub fn begin_opening(&mut self) {
        self.open_count += 1;
        self.opening_count += 1;
    }

    /// Notes that a connection is not being opened any more; one that failed is closed besides.
    pub fn end_opening(&mut self) {
        self.opening_count = self.opening_count.saturating_sub(1);
    }

    /// Notes that `count` connections are closed.
    pub fn note_closed(&mut self, count: usize) {
        self.open_count = self.open_count.saturating_sub(count);
    }

    /// Notes that the instance refused the connection that is being opened.
    pub fn note_refused(&mut self, now: Monotonic) {
        self.cut(now, self.open_count.saturating_sub(1));
        self.closed_until = now + REFUSAL_PAUSE;
    }

    /// Notes that the instance was too busy to run what was sent to it, while `unused` connections
    /// had nothing to do. Answers that come close together have one cause.
    pub fn note_busy(&mut self, now: Monotonic, unused: usize) {
        let is_same_cause = self
            .cut_at
            .is_some_and(|cut_at| now.saturating_sub(cut_at) < REFUSAL_PAUSE);
        if !is_same_cause {
            self.cut(now, self.open_count.saturating_sub(unused + 1));
        }
    }

    /// Lets the limit rise to `share`, step by step after a cut.
    pub fn raise(&mut self, now: Monotonic, share: usize) {
        let Some(cut_at) = self.cut_at else {
            self.limit = share;
            return;
        };
        if now.saturating_sub(cut_at) >= RECOVERY_STEP {
            self.limit = (self.limit + 1).min(share);
            self.cut_at = (self.limit < share).then_some(now);
        }
    }

    // One is always left: without it nothing would tell that there is room again.
    fn cut(&mut self, now: Monotonic, limit: usize) {
        self.limit = limit.max(1);
        self.cut_at = Some(now);
    }
}
