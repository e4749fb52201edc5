//! The keepers that a host asks for tokens, and what it knows of them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::hosts::QuotaHosts;
use super::partition::QuotaPartition;
use crate::ids::{HostId, Monotonic};
use crate::value_type;

/// How long a host is skipped that did not answer twice in a row.
const SKIP_TIME: Duration = Duration::from_secs(2);
/// How long a host is skipped that did not answer once. Some datagrams are always lost.
const SHORT_SKIP_TIME: Duration = Duration::from_millis(50);
/// How long the keeper named by another host is asked before the order of hosts applies again.
const REDIRECT_TIME: Duration = Duration::from_secs(2);

value_type! {
    /// What a host knows of the keepers of all failure domains, from all its requests.
    #[derive(Default)]
    pub struct QuotaSources {
        silences: BTreeMap<HostId, Silence>,
        /// The keeper that another host named, by the host that was asked.
        redirects: BTreeMap<(QuotaPartition, HostId), (HostId, Monotonic)>,
    }

    struct Silence {
        count: u32,
        noted_at: Monotonic,
        skipped_until: Monotonic,
    }

    /// The keeper to ask, or why there is none.
    pub(super) enum NextSource {
        /// The keeper to ask.
        Ask(HostId),
        /// Every keeper had too few tokens a short time ago.
        AllEmpty,
        /// The others had too few tokens, and at least one did not answer.
        SomeSilent,
    }
}

/// The keepers of one partition, as one request sees them.
#[derive(Debug)]
pub struct PartitionSources<'a> {
    /// What the host knows of the keepers.
    pub sources: &'a mut QuotaSources,
    /// The known hosts.
    pub hosts: &'a QuotaHosts,
    /// The partition.
    pub partition: QuotaPartition,
    /// The keeper in the host's own failure domain.
    pub own_keeper: Option<&'a HostId>,
}

impl PartitionSources<'_> {
    /// Returns the keeper to ask: that of the own failure domain, or else one of the others, from
    /// the one at `first_other` on.
    pub(super) fn next(
        &mut self,
        now: Monotonic,
        first_other: usize,
        is_empty: impl Fn(&HostId) -> bool,
    ) -> NextSource {
        let mut has_silent = self.own_keeper.is_none();
        let others = self.hosts.first_of_others(self.partition);
        let count = others.clone().count().max(1);
        let others = others.cycle().skip(first_other % count).take(count);
        for host in self.own_keeper.into_iter().chain(others) {
            let keeper = self.sources.redirected(now, self.partition, host);
            if self.sources.is_skipped(now, keeper) {
                has_silent = true;
            } else if !is_empty(keeper) {
                return NextSource::Ask(keeper.clone());
            }
        }
        if has_silent {
            NextSource::SomeSilent
        } else {
            NextSource::AllEmpty
        }
    }

    /// Returns whether `host` keeps the partition in the host's own failure domain.
    pub(super) fn is_own_keeper(&self, host: &HostId) -> bool {
        self.own_keeper == Some(host)
    }

    /// Records that `asked` holds no share and named `keeper`.
    pub(super) fn note_not_keeper(
        &mut self,
        now: Monotonic,
        asked: &HostId,
        keeper: Option<HostId>,
    ) {
        match keeper {
            Some(keeper) if keeper != *asked && !self.sources.is_skipped(now, &keeper) => {
                let key = (self.partition, asked.clone());
                let until = now + REDIRECT_TIME;
                self.sources.redirects.insert(key, (keeper, until));
            }
            Some(_) | None => self.sources.skip(now, asked, SHORT_SKIP_TIME),
        }
        // A host that was named and is not the keeper either is not asked again.
        let partition = self.partition;
        self.sources
            .redirects
            .retain(|(of, _), (to, until)| (*of != partition || to != asked) && now < *until);
    }
}

impl QuotaSources {
    fn redirected<'a>(
        &'a self,
        now: Monotonic,
        partition: QuotaPartition,
        host: &'a HostId,
    ) -> &'a HostId {
        let redirect = self.redirects.get(&(partition, host.clone()));
        let valid = redirect.filter(|(to, until)| now < *until && !self.is_skipped(now, to));
        valid.map_or(host, |(to, _)| to)
    }

    fn is_skipped(&self, now: Monotonic, host: &str) -> bool {
        let silence = self.silences.get(host);
        silence.is_some_and(|silence| now < silence.skipped_until)
    }

    fn skip(&mut self, now: Monotonic, host: &HostId, time: Duration) {
        let silence = self.silences.entry(host.clone()).or_insert(Silence {
            count: 0,
            noted_at: now,
            skipped_until: now,
        });
        silence.skipped_until = silence.skipped_until.max(now + time);
    }

    /// Records that `host` answered.
    pub(super) fn note_answered(&mut self, host: &str) {
        self.silences.remove(host);
    }

    /// Records that `host` did not answer a request that was sent at `sent_at`. Requests of several
    /// customers that were on their way at the same time count as one.
    pub(super) fn note_silent(&mut self, now: Monotonic, host: &HostId, sent_at: Monotonic) {
        let silence = self.silences.get(host);
        if silence.is_some_and(|silence| silence.count > 0 && sent_at < silence.noted_at) {
            return;
        }
        let count = silence.map_or(0, |silence| silence.count) + 1;
        let skip_time = if count > 1 {
            SKIP_TIME
        } else {
            SHORT_SKIP_TIME
        };
        let silence = Silence {
            count,
            noted_at: now,
            skipped_until: now + skip_time,
        };
        self.silences.insert(host.clone(), silence);
    }
}
