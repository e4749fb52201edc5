//! Whether enough hosts miss a primary to replace it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, InstanceId, Monotonic};
use crate::value_type;

value_type! {
    /// When a primary counts as lost.
    pub struct PrimaryVoteSettings {
        /// How long a host must have had no answer before it votes.
        pub silence: Duration,
        /// How long a vote counts.
        pub vote_kept: Duration,
    }

    /// The votes on one service's primary, as one host knows them.
    pub struct PrimaryVotes {
        settings: PrimaryVoteSettings,
        primary: Option<InstanceId>,
        votes: BTreeMap<HostId, Monotonic>,
    }
}

impl Default for PrimaryVoteSettings {
    fn default() -> Self {
        Self {
            // Longer than a round trip between regions with one retransmission.
            silence: Duration::from_millis(500),
            vote_kept: Duration::from_millis(900),
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
        }
    }

    /// Notes that `host` misses `primary`. Votes on another instance are dropped.
    pub fn note(&mut self, now: Monotonic, host: &HostId, primary: &InstanceId) {
        if self.primary.as_ref() != Some(primary) {
            self.primary = Some(primary.clone());
            self.votes.clear();
        }
        self.votes.insert(host.clone(), now);
    }

    /// Whether a host that has had no answer since `silent_since` votes at `now`.
    pub fn is_missed(&self, silent_since: Option<Monotonic>, now: Monotonic) -> bool {
        silent_since.is_some_and(|since| now.saturating_sub(since) >= self.settings.silence)
    }

    /// Whether at least half of `host_count` hosts miss `primary`.
    ///
    /// A primary that half of the hosts can't reach serves fewer callers than one that all reach.
    pub fn is_lost(&mut self, now: Monotonic, primary: &InstanceId, host_count: usize) -> bool {
        if self.primary.as_ref() != Some(primary) {
            return false;
        }
        let kept = self.settings.vote_kept;
        self.votes
            .retain(|_, voted_at| now.saturating_sub(*voted_at) < kept);
        !self.votes.is_empty() && self.votes.len() * 2 >= host_count
    }
}
