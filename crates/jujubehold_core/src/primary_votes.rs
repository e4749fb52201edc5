//! Whether enough hosts miss a primary to replace it.
//!
//! A host that misses a primary says so to all others, and those that reach it answer so. Hosts that
//! can't be heard count for neither side: they are cut off together with what they reach. The load
//! pattern behind it: a primary that is cut off with half of the hosts, while the store and the
//! replicas are on the other side.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, InstanceId, Monotonic};
use crate::value_type;

value_type! {
    /// When a primary counts as lost.
    pub struct PrimaryVoteSettings {
        /// How long a host must have had no answer before it votes.
        pub silence: Duration,
        /// How long votes are gathered before they are counted: several round trips between regions.
        pub gathering: Duration,
        /// How long a vote counts.
        pub vote_kept: Duration,
    }

    /// The votes on one service's primary, as one host knows them.
    pub struct PrimaryVotes {
        settings: PrimaryVoteSettings,
        primary: Option<InstanceId>,
        votes: BTreeMap<HostId, Vote>,
        /// Since when this host has missed the primary without a break.
        gathering_since: Option<Monotonic>,
    }

    struct Vote {
        misses: bool,
        noted_at: Monotonic,
    }
}

impl Default for PrimaryVoteSettings {
    fn default() -> Self {
        Self {
            // Longer than a round trip between regions with one retransmission.
            silence: Duration::from_millis(500),
            gathering: Duration::from_millis(250),
            vote_kept: Duration::from_millis(700),
        }
    }
}

impl PrimaryVotes {
    /// No votes.
    pub fn new(settings: PrimaryVoteSettings) -> Self {
        Self {
            settings,
            primary: None,
            votes: BTreeMap::new(),
            gathering_since: None,
        }
    }

    /// Notes that `host` misses `primary`, or reaches it. Votes on another instance are dropped.
    pub fn note(&mut self, now: Monotonic, host: &HostId, primary: &InstanceId, misses: bool) {
        if self.primary.as_ref() != Some(primary) {
            self.primary = Some(primary.clone());
            self.votes.clear();
            self.gathering_since = None;
        }
        if misses {
            self.gathering_since.get_or_insert(now);
        }
        let noted_at = now;
        self.votes.insert(host.clone(), Vote { misses, noted_at });
    }

    /// Whether a host that has had no answer since `silent_since` votes at `now`.
    pub fn is_missed(&self, silent_since: Option<Monotonic>, now: Monotonic) -> bool {
        silent_since.is_some_and(|since| now.saturating_sub(since) >= self.settings.silence)
    }

    /// Whether at least half of the hosts that are heard miss `primary`; `host_count` hosts have
    /// been listed lately.
    ///
    /// A primary that half of them can't reach serves fewer callers than one that all reach. One
    /// host alone may be cut off itself, and decides only where there is no other.
    pub fn is_lost(&mut self, now: Monotonic, primary: &InstanceId, host_count: usize) -> bool {
        if self.primary.as_ref() != Some(primary) {
            return false;
        }
        let kept = self.settings.vote_kept;
        self.votes
            .retain(|_, vote| now.saturating_sub(vote.noted_at) < kept);
        let missing = self.votes.values().filter(|vote| vote.misses).count();
        let reaching = self.votes.len() - missing;
        if missing == 0 {
            self.gathering_since = None;
        }
        let has_gathered = self
            .gathering_since
            .is_some_and(|since| now.saturating_sub(since) >= self.settings.gathering);
        let is_enough = missing >= 2 || host_count <= 1;
        has_gathered && is_enough && missing >= reaching
    }
}
