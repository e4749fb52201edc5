//! How long a host may rely on the lead table that it knows.
//!
//! Whoever replaces a primary announces the change in the store and then waits until every host
//! has stopped using the old one, or until every window that began before the announcement has
//! lapsed. So a host may use a primary for one window after it asked for the table and saw no
//! change and its own place in the list of hosts, and no longer than that place is sure to last.
//! While the store gives no answer, promises of all other hosts stand in for it: each says that it
//! has announced nothing. See docs/notes/platform-path.md.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{HostId, Monotonic};
use crate::value_type;

value_type! {
    /// The lengths of the windows.
    pub struct LeadProofSettings {
        /// How long a proof holds after it was asked for.
        pub window: Duration,
        /// What whoever replaces a primary waits beyond the window, for clocks of different rates.
        pub drift: Duration,
        /// How long promises may stand in for the store after its last answer. A host that joined
        /// later must have been a member for this long before it may replace a primary.
        pub promise_limit: Duration,
    }

    /// What a host can prove of its lead table.
    pub struct LeadProof {
        settings: LeadProofSettings,
        /// When the newest answer of the store was asked for.
        read_asked_at: Option<Monotonic>,
        /// Since when answers came without a gap.
        steady_since: Option<Monotonic>,
        /// Until when the store surely lists this host.
        listed_until: Monotonic,
        /// When each other host was asked for the promise that it gave last.
        promises: BTreeMap<HostId, Monotonic>,
    }
}

impl Default for LeadProofSettings {
    fn default() -> Self {
        Self {
            // Three tries to read the table fit in, also when an answer takes 300 ms.
            window: Duration::from_millis(2_400),
            // A thousandth of the window would do for oscillators; this also covers late timers.
            drift: Duration::from_millis(60),
            // Longer than the store's outages of the platform's pages.
            promise_limit: Duration::from_secs(10),
        }
    }
}

impl LeadProof {
    /// A host that has no proof yet.
    pub fn new(settings: LeadProofSettings) -> Self {
        Self {
            settings,
            read_asked_at: None,
            steady_since: None,
            listed_until: Monotonic::ZERO,
            promises: BTreeMap::new(),
        }
    }

    /// Notes an answer of the store with the whole table and this host's own place in the list of
    /// hosts, asked for at `asked_at`.
    pub fn note_read(&mut self, asked_at: Monotonic) {
        let is_steady = self
            .read_asked_at
            .is_some_and(|before| asked_at.saturating_sub(before) <= self.settings.window / 2);
        if !is_steady {
            self.steady_since = Some(asked_at);
        }
        self.read_asked_at = self.read_asked_at.max(Some(asked_at));
    }

    /// Notes that the store lists this host until `until` at least.
    pub fn note_listed_until(&mut self, until: Monotonic) {
        self.listed_until = self.listed_until.max(until);
    }

    /// Whether this host has followed the list of hosts for a whole window before `now`, so that it
    /// knows every host that may still rely on an answer of the store.
    pub fn knows_all_hosts(&self, now: Monotonic) -> bool {
        let has_recent_read = self
            .read_asked_at
            .is_some_and(|asked_at| now.saturating_sub(asked_at) <= self.settings.window / 2);
        let is_steady = self
            .steady_since
            .is_some_and(|since| now.saturating_sub(since) >= self.settings.lapse());
        has_recent_read && is_steady
    }

    /// Notes the promise of `host`, asked for at `asked_at`.
    pub fn note_promise(&mut self, host: &HostId, asked_at: Monotonic) {
        let newest = self.promises.entry(host.clone()).or_insert(asked_at);
        *newest = asked_at.max(*newest);
    }

    /// Forgets what `host` promised, as when it says that it replaces a primary.
    pub fn forget_promise(&mut self, host: &str) {
        self.promises.remove(host);
    }

    /// When the newest answer of the store was asked for.
    pub fn read_asked_at(&self) -> Option<Monotonic> {
        self.read_asked_at
    }

    /// Until when the table may be relied on; `others` are the hosts that the store listed last.
    pub fn valid_until(&self, others: &BTreeSet<HostId>) -> Option<Monotonic> {
        let read = self.read_asked_at?;
        let by_read = (read + self.settings.window).min(self.listed_until);
        let oldest_promise = others
            .iter()
            .map(|host| self.promises.get(host).copied())
            .min()
            .flatten();
        let by_promises = oldest_promise
            .filter(|_| !others.is_empty())
            .map(|asked_at| {
                (asked_at + self.settings.window).min(read + self.settings.promise_limit)
            });
        by_promises.max(Some(by_read))
    }

    /// Whether the table may be relied on at `now`.
    pub fn is_valid(&self, others: &BTreeSet<HostId>, now: Monotonic) -> bool {
        self.valid_until(others).is_some_and(|until| now < until)
    }

    /// Whether promises should be asked for: the store's answer is older than half a window.
    pub fn wants_promises(&self, now: Monotonic) -> bool {
        self.read_asked_at
            .is_some_and(|asked_at| now.saturating_sub(asked_at) > self.settings.window / 2)
    }
}

impl LeadProofSettings {
    /// How long whoever replaces a primary waits for hosts that give no answer.
    pub fn lapse(&self) -> Duration {
        self.window + self.drift
    }

    /// How long a host must be a member before it may replace a primary.
    pub fn least_membership(&self) -> Duration {
        self.promise_limit + self.drift
    }
}
