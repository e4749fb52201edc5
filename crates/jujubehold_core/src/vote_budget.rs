//! On how many primaries a host votes at the same time, and in which order.
//!
//! A host that has no answer from a primary tells the other watchers several times a second. A host
//! whose own link is full misses all primaries, and as many votes as there are services would keep
//! the link full. So it votes on a few at a time.
//!
//! A primary is replaced only if several watchers vote on it in the same period, so all of them vote
//! on the same ones. Some lost primaries cannot be replaced, for example because no replica is left.
//! These must not keep the others from being voted on, so the votes move on through the configured
//! services in rounds. A vote contains the number of its sender's round, and a watcher that hears of
//! a later round continues with that one, which keeps the watchers together without comparing their
//! clocks.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{Monotonic, ServiceId};
use crate::value_type;

/// The maximum number of services on whose primaries a host votes at the same time.
pub const MAX_VOTED_SERVICES: usize = 16;
/// How long a round lasts: the votes are repeated each 200 ms and collected for 250 ms, and the last
/// of the watchers acts 1,200 ms after the first one.
pub const VOTE_ROUND: Duration = Duration::from_secs(2);

value_type! {
    /// The round in which a host votes.
    #[derive(Default)]
    pub struct VoteRounds {
        round: u64,
        /// Since when this host has voted in this round; `None` if it has not.
        round_since: Option<Monotonic>,
    }
}

impl VoteRounds {
    /// Returns the current round, which the votes contain.
    pub fn round(&self) -> u64 {
        self.round
    }

    /// Records that another watcher votes in `round` at `now`.
    pub fn note_heard(&mut self, now: Monotonic, round: u64) {
        if round > self.round {
            self.round = round;
            self.round_since = Some(now);
        }
    }

    /// Returns the services on whose primaries this host votes at `now`, of those whose primary is
    /// `unreachable` to it. `services` are all configured services, in the same order on all hosts.
    ///
    /// Hosts in the same round vote on the same services of one section of the list, whatever else
    /// they cannot reach.
    pub fn voted_services<'a>(
        &mut self,
        now: Monotonic,
        services: impl IntoIterator<Item = &'a ServiceId>,
        unreachable: &BTreeSet<ServiceId>,
    ) -> Vec<ServiceId> {
        self.advance(now, unreachable.len());
        let services: Vec<_> = services.into_iter().collect();
        let (before, from) = services.split_at(self.section_start(services.len()));
        let in_order = from.iter().chain(before);
        let voted = in_order.filter(|service| unreachable.contains(**service));
        let voted = voted.take(MAX_VOTED_SERVICES);
        voted.map(|service| (*service).clone()).collect()
    }

    fn advance(&mut self, now: Monotonic, unreachable_count: usize) {
        if unreachable_count <= MAX_VOTED_SERVICES {
            self.round_since = None;
            return;
        }
        let since = *self.round_since.get_or_insert(now);
        if now.saturating_sub(since) >= VOTE_ROUND {
            self.round = self.round.saturating_add(1);
            self.round_since = Some(now);
        }
    }

    fn section_start(&self, service_count: usize) -> usize {
        let sections = service_count.div_ceil(MAX_VOTED_SERVICES).max(1);
        let section = self.round % u64::try_from(sections).unwrap_or(u64::MAX);
        usize::try_from(section).unwrap_or_default() * MAX_VOTED_SERVICES
    }
}
