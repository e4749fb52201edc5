//! How often a host asks the store for changes.
//!
//! Each host follows the store with a long-polling call, and each change ends the calls of all
//! hosts. When many hosts start at once, each of them announces itself to all others, and the
//! number of calls grows with the square of the number of hosts. So one call collects changes that
//! come close together.

use std::time::Duration;

use crate::directory_progress::MAX_UNCONFIRMED_TIME;
use crate::ids::Monotonic;
use crate::store_version::Revision;
use crate::value_type;

value_type! {
    /// The limits of following the store.
    pub struct WatchPace {
        /// The minimum time between two calls of one host, per existing host.
        pub spacing_per_host: Duration,
        /// The upper limit of the time between two calls.
        pub max_spacing: Duration,
        /// The minimum time between two calls of a host that learns of changes from another one.
        pub min_follower_spacing: Duration,
        /// How long a watch may lag behind what the store is known to hold.
        pub max_watch_lag: Duration,
    }

    /// Detects a stalled watch by comparing it with the store's other answers.
    #[derive(Default)]
    pub struct WatchProgress {
        /// The newest revision that another answer reported.
        store_revision: Revision,
        /// The revision up to which the watch has reported changes.
        watch_revision: Revision,
        /// Since when the watch has been behind the store, or has received nothing while it was.
        behind_since: Option<Monotonic>,
        /// How much of the watch's answer has arrived.
        received_bytes: u64,
        /// When the latest part of a watch's answer arrived.
        received_at: Monotonic,
    }
}

impl Default for WatchPace {
    fn default() -> Self {
        Self {
            // All hosts together make at most 50 calls a second, however much changes. This is an
            // eighth of the writes that the platform's smallest store can take, if it takes nothing
            // else.
            spacing_per_host: Duration::from_millis(20),
            // Half of the time within which a configuration has to take effect.
            max_spacing: Duration::from_secs(2),
            // A quarter of the time within which a configuration has to take effect. The instances
            // of an installation that starts register one by one.
            min_follower_spacing: Duration::from_secs(1),
            // Longer than a change takes to reach a host while the store is slow.
            max_watch_lag: Duration::from_millis(1_500),
        }
    }
}

impl WatchPace {
    /// Returns the minimum time between two calls of one host, if there are `hosts` hosts.
    pub fn spacing(&self, hosts: usize) -> Duration {
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let spacing = self.spacing_per_host.saturating_mul(hosts);
        spacing.min(self.max_spacing)
    }

    /// Returns the minimum time between two calls of a host that learns of changes from another
    /// one, if there are `hosts` hosts.
    pub fn follower_spacing(&self, hosts: usize) -> Duration {
        self.spacing(hosts).max(self.min_follower_spacing)
    }
}

impl WatchProgress {
    /// Records that the store was at `revision` according to an answer that arrived at `now`.
    pub fn note_store_revision(&mut self, now: Monotonic, revision: Revision) {
        self.store_revision = self.store_revision.max(revision);
        if self.store_revision > self.watch_revision {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records that the watch answered at `now` and has reported all changes up to `revision`.
    pub fn note_watch_revision(&mut self, now: Monotonic, revision: Revision) {
        self.watch_revision = revision;
        self.behind_since = (self.store_revision > revision).then_some(now);
        self.received_bytes = 0;
    }

    /// Records how much of the watch's answer has arrived by `now`. A watch whose answer is on its
    /// way is not stalled, however long the answer takes.
    pub fn note_received(&mut self, now: Monotonic, received_bytes: u64) {
        if received_bytes > self.received_bytes {
            self.received_bytes = received_bytes;
            self.received_at = now;
            self.behind_since = self.behind_since.map(|_| now);
        }
    }

    /// Returns whether the watch is stalled and should be restarted.
    pub fn is_stalled(&self, pace: &WatchPace, now: Monotonic) -> bool {
        self.behind_since
            .is_some_and(|since| now.saturating_sub(since) >= pace.max_watch_lag)
    }

    /// Returns whether a waiting watch should be given up because nothing has confirmed the directory
    /// since `confirmed_at`. A connection that went silent says as little as a store without changes,
    /// and a host that is not listed makes no other call that would show the difference.
    pub fn is_unconfirmed(&self, confirmed_at: Monotonic, now: Monotonic) -> bool {
        let heard_at = confirmed_at.max(self.received_at);
        now.saturating_sub(heard_at) > MAX_UNCONFIRMED_TIME
    }
}
