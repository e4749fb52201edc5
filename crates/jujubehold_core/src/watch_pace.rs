//! How often a host asks the store for what is new.
//!
//! Each host follows the store by one call that waits, and each change ends the waits of all
//! hosts. When many hosts start at once, each tells all others of itself, and the calls grow with
//! the square of their number; so changes that come close together are taken in by one call.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::lead_table::Revision;
use crate::value_type;

value_type! {
    /// How the store is followed.
    pub struct WatchPace {
        /// The least time between two calls of one host, for each host that there is.
        pub spacing_per_host: Duration,
        /// The longest such time.
        pub longest_spacing: Duration,
        /// How long a watch may lack what the store is known to hold.
        pub patience: Duration,
    }

    /// Whether a watch that says nothing has gone silent, as seen from the store's other answers.
    #[derive(Default)]
    pub struct WatchNews {
        /// The newest revision that another answer told of.
        known: Revision,
        /// Up to where the watch has told.
        followed: Revision,
        /// Since when the watch has lacked it.
        lacking_since: Option<Monotonic>,
    }
}

impl Default for WatchPace {
    fn default() -> Self {
        Self {
            // All hosts together make at most 50 calls a second, however much changes: an eighth of
            // what the smallest store on the platform's pages takes in writes alone.
            spacing_per_host: Duration::from_millis(20),
            // Half of the time in which a configuration has to be in force.
            longest_spacing: Duration::from_secs(2),
            // Longer than a change takes to a host at a slow store.
            patience: Duration::from_millis(1_500),
        }
    }
}

impl WatchPace {
    /// The least time between two calls of one of `hosts`.
    pub fn spacing(&self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let spacing = self.spacing_per_host.saturating_mul(hosts);
        spacing.min(self.longest_spacing)
    }
}

impl WatchNews {
    /// Notes that the store was at `revision` in an answer that came at `now`.
    pub fn note_known(&mut self, now: Monotonic, revision: Revision) {
        self.known = self.known.max(revision);
        if self.known > self.followed {
            self.lacking_since.get_or_insert(now);
        }
    }

    /// Notes that the watch answered at `now` and has told all up to `revision`.
    pub fn note_followed(&mut self, now: Monotonic, revision: Revision) {
        self.followed = revision;
        self.lacking_since = (self.known > revision).then_some(now);
    }

    /// Whether the watch should be begun anew.
    pub fn is_silent(&self, pace: &WatchPace, now: Monotonic) -> bool {
        self.lacking_since
            .is_some_and(|since| now.saturating_sub(since) >= pace.patience)
    }
}
