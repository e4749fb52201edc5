//! How long a host may rely on its copy of the lead table.
//!
//! The host that replaces a primary announces the change in the store and marks the replica that
//! takes over. It then waits until every host has stopped using the old primary, or until every
//! window that began earlier has expired. So a host may use a primary for one window after it
//! requested the table and saw no change and its own entry in the list of hosts, and no longer than
//! that entry is certain to last. While the store does not answer, the replicas serve as evidence
//! instead: as long as none of them is marked or is primary, nobody is about to replace their
//! primary. See docs/notes/platform-path.md.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{InstanceId, Monotonic};
use crate::replica_evidence::ReplicaEvidence;
use crate::value_type;

value_type! {
    /// The durations of the windows.
    pub struct LeadProofSettings {
        /// How long a proof is valid after it was requested.
        pub window: Duration,
        /// How much longer than the window the host that replaces a primary waits, for clocks that
        /// run at different rates.
        pub drift: Duration,
        /// How long after the store's last answer replicas may serve as evidence instead. The host
        /// that replaces a primary takes into account every host that was listed within this time.
        pub evidence_limit: Duration,
    }

    /// What a host can prove about its lead table.
    pub struct LeadProof {
        settings: LeadProofSettings,
        /// When the store's newest answer was requested.
        read_sent_at: Option<Monotonic>,
        /// Since when answers have come without a gap.
        steady_since: Option<Monotonic>,
        /// Whether no host is unknown to this one that was listed before it began to follow the
        /// list: at a first start, or after another host named those that are no longer listed.
        has_complete_list: bool,
        /// Whether this host has followed the list since the whole system started for the first time.
        has_followed_from_start: bool,
        /// Until when the store certainly lists this host.
        listed_until: Monotonic,
    }
}

impl Default for LeadProofSettings {
    fn default() -> Self {
        Self {
            // Leaves time for three tries to read the table, even if an answer takes 300 ms.
            window: Duration::from_millis(2_400),
            // A thousandth of the window would suffice for oscillators; this also covers late
            // timers.
            drift: Duration::from_millis(60),
            // Longer than a host is expected to be cut off.
            evidence_limit: Duration::from_secs(20),
        }
    }
}

impl LeadProof {
    /// Creates the state of a host without any proof; `is_first_start` is whether the whole system
    /// starts for the first time.
    pub fn new(settings: LeadProofSettings, is_first_start: bool) -> Self {
        Self {
            settings,
            read_sent_at: None,
            steady_since: None,
            has_complete_list: is_first_start,
            has_followed_from_start: is_first_start,
            listed_until: Monotonic::ZERO,
        }
    }

    /// Records an answer of the store, requested at `sent_at`, with the whole table and this
    /// host's own entry in the list of hosts.
    pub fn note_read(&mut self, sent_at: Monotonic) {
        let is_steady = self
            .read_sent_at
            .is_some_and(|before| sent_at.saturating_sub(before) <= self.settings.window / 2);
        if !is_steady {
            // At a first start no host can be listed before the first read, but one can during a
            // gap.
            self.has_complete_list &= self.read_sent_at.is_none();
            self.has_followed_from_start &= self.read_sent_at.is_none();
            self.steady_since = None;
        }
        self.steady_since.get_or_insert(sent_at);
        self.read_sent_at = self.read_sent_at.max(Some(sent_at));
    }

    /// Records that the store was restored from a copy, which lost the entries of all hosts.
    ///
    /// Hosts that joined shortly before the restore, or that are cut off, may rely on what the store
    /// said before it and are unknown to this host. What this host proved stays valid: whoever
    /// replaces a primary after a restore does not know all hosts, and waits.
    pub fn note_restored(&mut self) {
        self.steady_since = None;
        self.has_complete_list = false;
        self.has_followed_from_start = false;
    }

    /// Records that the store lists this host at least until `until`.
    pub fn note_listed_until(&mut self, until: Monotonic) {
        self.listed_until = self.listed_until.max(until);
    }

    /// Returns whether this host has followed the list of hosts long enough to know every host that
    /// may still use a primary.
    pub fn knows_all_hosts(&self, now: Monotonic) -> bool {
        let has_recent_read = self
            .read_sent_at
            .is_some_and(|sent_at| now.saturating_sub(sent_at) <= self.settings.window / 2);
        let max_use = self.settings.max_use_after_listing();
        let is_steady = self
            .steady_since
            .is_some_and(|since| now.saturating_sub(since) >= max_use);
        has_recent_read && (is_steady || self.has_complete_list)
    }

    /// Returns until when hosts that were never listed while this one followed the list may have used a
    /// primary; `None` if there are none.
    pub fn unlisted_use_until(&self) -> Option<Monotonic> {
        if self.has_followed_from_start {
            return None;
        }
        let max_use = self.settings.max_use_after_listing();
        Some(
            self.steady_since
                .map_or(Monotonic::MAX, |since| since + max_use),
        )
    }

    /// Returns whether another host should be asked which hosts were listed before this one began to
    /// follow the list, and what it knows would be sufficient.
    pub fn needs_complete_list(&self, now: Monotonic) -> bool {
        let is_following = self.follows_since(now.saturating_sub(self.settings.window / 2));
        is_following && !self.knows_all_hosts(now)
    }

    /// Records that another host, which was asked at `asked_at`, knew every host that may still use
    /// a primary, and named those that are no longer listed.
    ///
    /// What it knows ends with its own latest read, which may be half a window older, so this host
    /// must have followed the list since then.
    pub fn note_complete_list(&mut self, asked_at: Monotonic) {
        let others_read_at = asked_at.saturating_sub(self.settings.window / 2);
        self.has_complete_list |= self.follows_since(others_read_at);
    }

    fn follows_since(&self, time: Monotonic) -> bool {
        self.steady_since.is_some_and(|since| since <= time)
    }

    /// Returns when the store's newest answer was requested.
    pub fn read_sent_at(&self) -> Option<Monotonic> {
        self.read_sent_at
    }

    /// Returns until when the store's newest answer may be relied on.
    pub fn read_valid_until(&self) -> Option<Monotonic> {
        let read = self.read_sent_at?;
        Some((read + self.settings.window).min(self.listed_until))
    }

    /// Returns until when the lead of a service with these `replicas` may be relied on.
    pub fn valid_until(
        &self,
        evidence: &ReplicaEvidence,
        replicas: &BTreeSet<InstanceId>,
    ) -> Option<Monotonic> {
        let read = self.read_sent_at?;
        let by_read = self.read_valid_until()?;
        let by_replicas = evidence.oldest(replicas).map(|sent_at| {
            (sent_at + self.settings.window).min(read + self.settings.evidence_limit)
        });
        by_replicas.max(Some(by_read))
    }

    /// Returns whether the replicas should be asked, because the store's answer is older than half
    /// a window.
    pub fn needs_evidence(&self, now: Monotonic) -> bool {
        self.read_sent_at.is_some_and(|sent_at| {
            let age = now.saturating_sub(sent_at);
            age > self.settings.window / 2 && age < self.settings.evidence_limit
        })
    }
}

impl LeadProofSettings {
    /// Returns how long the host that replaces a primary waits for hosts that do not answer.
    pub fn expiry_wait(&self) -> Duration {
        self.window + self.drift
    }

    /// Returns how long after it was last listed a host may still use a primary on the evidence of
    /// replicas.
    pub fn max_use_after_listing(&self) -> Duration {
        self.evidence_limit + self.expiry_wait()
    }
}
