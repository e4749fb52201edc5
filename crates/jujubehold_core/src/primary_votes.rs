//! Decides whether enough hosts cannot reach a primary to replace it.
//!
//! A host that cannot reach a primary reports this to all others, and the hosts that can reach it
//! answer that they can. Hosts whose answers do not arrive count for neither side: they are cut off
//! together with whatever they reach.
//!
//! This covers a primary that is cut off with half of the hosts, while the store and the replicas
//! are on the other side.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, InstanceId, Monotonic};
use crate::value_type;

value_type! {
    /// When a primary counts as lost.
    pub struct PrimaryVoteSettings {
        /// How long a host must have had no answer before it votes the primary unreachable.
        pub unreachable_after: Duration,
        /// How long votes are collected before they are counted: several round trips between
        /// regions.
        pub collection_window: Duration,
        /// How long a vote counts.
        pub vote_lifetime: Duration,
    }

    /// The votes on one service's primary, as known to one host.
    pub struct PrimaryVotes {
        settings: PrimaryVoteSettings,
        primary: Option<InstanceId>,
        votes: BTreeMap<HostId, Vote>,
        /// Since when there has been a vote that the primary is unreachable.
        collecting_since: Option<Monotonic>,
    }

    struct Vote {
        is_unreachable: bool,
        noted_at: Monotonic,
    }
}

impl Default for PrimaryVoteSettings {
    fn default() -> Self {
        Self {
            // Longer than a round trip between regions with one retransmission.
            unreachable_after: Duration::from_millis(500),
            collection_window: Duration::from_millis(250),
            vote_lifetime: Duration::from_millis(700),
        }
    }
}

impl PrimaryVotes {
    /// Creates an empty set of votes.
    pub fn new(settings: PrimaryVoteSettings) -> Self {
        Self {
            settings,
            primary: None,
            votes: BTreeMap::new(),
            collecting_since: None,
        }
    }

    /// Records whether `host` can reach `primary`. Votes on another instance are dropped.
    pub fn note(
        &mut self,
        now: Monotonic,
        host: &HostId,
        primary: &InstanceId,
        is_unreachable: bool,
    ) {
        if self.primary.as_ref() != Some(primary) {
            self.primary = Some(primary.clone());
            self.votes.clear();
            self.collecting_since = None;
        }
        if is_unreachable {
            self.collecting_since.get_or_insert(now);
        }
        let noted_at = now;
        self.votes.insert(
            host.clone(),
            Vote {
                is_unreachable,
                noted_at,
            },
        );
    }

    /// Returns whether a host that has had no answer since `silent_since` votes at `now` that the
    /// primary is unreachable.
    pub fn counts_as_unreachable(&self, silent_since: Option<Monotonic>, now: Monotonic) -> bool {
        silent_since
            .is_some_and(|since| now.saturating_sub(since) >= self.settings.unreachable_after)
    }

    /// Returns whether at least half of the hosts that have voted cannot reach `primary`;
    /// `host_count` is the number of recently listed hosts.
    ///
    /// A primary that half of them cannot reach serves fewer callers than one that all can reach. A
    /// single host may be cut off itself, so it decides alone only if there is no other host.
    pub fn is_lost(&mut self, now: Monotonic, primary: &InstanceId, host_count: usize) -> bool {
        if self.primary.as_ref() != Some(primary) {
            return false;
        }
        let lifetime = self.settings.vote_lifetime;
        self.votes
            .retain(|_, vote| now.saturating_sub(vote.noted_at) < lifetime);
        let unreachable_votes = self
            .votes
            .values()
            .filter(|vote| vote.is_unreachable)
            .count();
        let reachable_votes = self.votes.len() - unreachable_votes;
        if unreachable_votes == 0 {
            self.collecting_since = None;
        }
        let is_collection_over = self
            .collecting_since
            .is_some_and(|since| now.saturating_sub(since) >= self.settings.collection_window);
        let is_enough = unreachable_votes >= 2 || host_count <= 1;
        is_collection_over && is_enough && unreachable_votes >= reachable_votes
    }
}
