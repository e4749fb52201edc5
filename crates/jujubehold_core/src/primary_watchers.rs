//! Which hosts watch the primaries, and in which order hosts act on them.
//!
//! If all hosts voted on a silent primary, the votes would grow with the square of their number and
//! arrive while the same hosts are busy with that primary's callers. So a fixed number of hosts of
//! every size of installation probes the primaries over connections that they keep, and only they
//! vote. Hashing picks them, which spreads them over the failure domains.
//!
//! While hundreds of hosts start, the list of hosts grows, and most of those that are among the watchers
//! of a short list are not among those of the whole one. A host opens a connection to every primary
//! for it, so it waits until it has been among the watchers for a while.
//!
//! The order is the same for all services: the duty to order promotions moves with each change that
//! another host makes. See docs/notes/large-fleet.md.

use std::time::Duration;

use crate::ids::{HostId, Monotonic};
use crate::ownership::{owners, weight};
use crate::value_type;

/// The number of hosts that watch the primaries. Each keeps a connection to every one of them.
pub const PRIMARY_WATCHERS: usize = 9;

/// How long a host is among the watchers before it probes all primaries. The other watchers notice a
/// lost primary meanwhile.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The key by which the hosts are ordered.
const ORDER_KEY: &str = "primaries";

value_type! {
    /// Since when a host has been among the watchers.
    #[derive(Default)]
    pub struct WatcherTerm {
        since: Option<Monotonic>,
    }
}

impl WatcherTerm {
    /// Records whether the host is among the watchers at `now`.
    pub fn note(&mut self, now: Monotonic, is_watcher: bool) {
        self.since = is_watcher.then(|| self.since.unwrap_or(now));
    }

    /// Returns whether the host probes all primaries at `now`, if it knows `host_count` hosts. Where
    /// all hosts are watchers, each of them does at once.
    pub fn probes_primaries(&self, now: Monotonic, host_count: usize) -> bool {
        let is_all = host_count <= PRIMARY_WATCHERS;
        self.since
            .is_some_and(|since| is_all || now.saturating_sub(since) >= SETTLE_TIME)
    }
}

/// Returns the hosts that watch the primaries, in the order in which they act.
pub fn primary_watchers<'a>(hosts: impl IntoIterator<Item = &'a HostId>) -> Vec<HostId> {
    owners(ORDER_KEY, hosts, PRIMARY_WATCHERS)
}

/// Returns how many of `hosts` act on a primary before `host` does.
pub fn acting_rank<'a>(host: &HostId, hosts: impl IntoIterator<Item = &'a HostId>) -> usize {
    let own = (weight(ORDER_KEY, host), std::cmp::Reverse(host));
    hosts
        .into_iter()
        .filter(|other| (weight(ORDER_KEY, other), std::cmp::Reverse(*other)) > own)
        .count()
}
