//! How long a host may rely on the lead table that it knows.
//!
//! Whoever replaces a primary announces the change in the store, marks the replica that is to take
//! over, and then waits until every host has stopped using the old primary, or until every window
//! that began before has lapsed. So a host may use a primary for one window after it asked for the
//! table and saw no change and its own place in the list of hosts, and no longer than that place is
//! sure to last. While the store gives no answer, the replicas stand in for it: as long as none of
//! them is marked or leads, nobody is about to replace their primary. See
//! docs/notes/platform-path.md.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{InstanceId, Monotonic};
use crate::replica_evidence::ReplicaEvidence;
use crate::value_type;

value_type! {
    /// The lengths of the windows.
    pub struct LeadProofSettings {
        /// How long a proof holds after it was asked for.
        pub window: Duration,
        /// What whoever replaces a primary waits beyond the window, for clocks of different rates.
        pub drift: Duration,
        /// How long replicas may stand in for the store after its last answer. Whoever replaces a
        /// primary counts with every host that was listed within this time.
        pub evidence_limit: Duration,
    }

    /// What a host can prove of its lead table.
    pub struct LeadProof {
        settings: LeadProofSettings,
        /// When the newest answer of the store was asked for.
        read_asked_at: Option<Monotonic>,
        /// Since when answers came without a gap.
        steady_since: Option<Monotonic>,
        /// Whether no host can have been listed before this one followed the list.
        is_first_start: bool,
        /// Until when the store surely lists this host.
        listed_until: Monotonic,
    }
}

impl Default for LeadProofSettings {
    fn default() -> Self {
        Self {
            // Three tries to read the table fit in, also when an answer takes 300 ms.
            window: Duration::from_millis(2_400),
            // A thousandth of the window would do for oscillators; this also covers late timers.
            drift: Duration::from_millis(60),
            // Longer than a host of the platform's pages is cut off.
            evidence_limit: Duration::from_secs(20),
        }
    }
}

impl LeadProof {
    /// A host that has no proof yet; `is_first_start` when the whole system starts for the first
    /// time.
    pub fn new(settings: LeadProofSettings, is_first_start: bool) -> Self {
        Self {
            settings,
            read_asked_at: None,
            steady_since: None,
            is_first_start,
            listed_until: Monotonic::ZERO,
        }
    }

    /// Notes an answer of the store with the whole table and this host's own place in the list of
    /// hosts, asked for at `asked_at`.
    pub fn note_read(&mut self, asked_at: Monotonic) {
        let is_steady = self
            .read_asked_at
            .is_some_and(|before| asked_at.saturating_sub(before) <= self.settings.window / 2);
        if !is_steady {
            // What came before a gap at the first start is known to be nothing.
            self.is_first_start &= self.read_asked_at.is_none();
            self.steady_since = Some(asked_at);
        }
        self.read_asked_at = self.read_asked_at.max(Some(asked_at));
    }

    /// Notes that the store lists this host until `until` at least.
    pub fn note_listed_until(&mut self, until: Monotonic) {
        self.listed_until = self.listed_until.max(until);
    }

    /// Whether this host has followed the list of hosts for so long that it knows every host that
    /// may still use a primary.
    pub fn knows_all_hosts(&self, now: Monotonic) -> bool {
        let has_recent_read = self
            .read_asked_at
            .is_some_and(|asked_at| now.saturating_sub(asked_at) <= self.settings.window / 2);
        let horizon = self.settings.horizon();
        let is_steady = self
            .steady_since
            .is_some_and(|since| now.saturating_sub(since) >= horizon);
        has_recent_read && (is_steady || self.is_first_start)
    }

    /// When the newest answer of the store was asked for.
    pub fn read_asked_at(&self) -> Option<Monotonic> {
        self.read_asked_at
    }

    /// Until when the store's newest answer may be relied on.
    pub fn read_valid_until(&self) -> Option<Monotonic> {
        let read = self.read_asked_at?;
        Some((read + self.settings.window).min(self.listed_until))
    }

    /// Until when the lead of a service with these `replicas` may be relied on.
    pub fn valid_until(
        &self,
        evidence: &ReplicaEvidence,
        replicas: &BTreeSet<InstanceId>,
    ) -> Option<Monotonic> {
        let read = self.read_asked_at?;
        let by_read = self.read_valid_until()?;
        let by_replicas = evidence.oldest(replicas).map(|asked_at| {
            (asked_at + self.settings.window).min(read + self.settings.evidence_limit)
        });
        by_replicas.max(Some(by_read))
    }

    /// Whether the replicas should be asked: the store's answer is older than half a window.
    pub fn wants_evidence(&self, now: Monotonic) -> bool {
        self.read_asked_at.is_some_and(|asked_at| {
            let age = now.saturating_sub(asked_at);
            age > self.settings.window / 2 && age < self.settings.evidence_limit
        })
    }
}

impl LeadProofSettings {
    /// How long whoever replaces a primary waits for hosts that give no answer.
    pub fn lapse(&self) -> Duration {
        self.window + self.drift
    }

    /// For how long a host that was listed may go on by the replicas' word.
    pub fn horizon(&self) -> Duration {
        self.evidence_limit + self.lapse()
    }
}
