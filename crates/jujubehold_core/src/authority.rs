//! How long a proof of a term allows a host to acknowledge writes.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

value_type! {
    /// The window in which a host may acknowledge a write after it requested a proof of the term.
    ///
    /// A promotion waits at least [`Authority::promotion_wait`] after its fence, so that every
    /// window has expired; see docs/notes/authority.md.
    pub struct Authority {
        /// The length of the window.
        pub window: Duration,
        /// How much longer than the window a promotion waits, for clocks that run at different
        /// rates.
        pub drift: Duration,
    }
}

impl Default for Authority {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(400),
            drift: Duration::from_millis(20),
        }
    }
}

impl Authority {
    /// Returns whether a write may be acknowledged at `now` on a proof requested at `sent_at`.
    pub fn is_valid(&self, sent_at: Monotonic, now: Monotonic) -> bool {
        now.checked_sub(sent_at)
            .is_some_and(|age| age < self.window)
    }

    /// Returns how long a promotion waits after a majority was fenced.
    pub fn promotion_wait(&self) -> Duration {
        self.window + self.drift
    }
}
