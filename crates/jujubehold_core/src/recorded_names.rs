//! Which hosts' recorded names are removed.
//!
//! The load that this addresses: hosts that are replaced for good, a few on each day. The share of
//! a host that is gone is lost to the customers until its name is removed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, Monotonic};
use crate::quota::MAX_COUNT_AGE;
use crate::value_type;

/// How long after a host left the list its name is removed. A host leases its share for at most
/// [`MAX_COUNT_AGE`] after it was last listed.
const REMOVAL_DELAY: Duration = Duration::from_secs(30);
const _: () = assert!(REMOVAL_DELAY.as_millis() > MAX_COUNT_AGE.as_millis() + 5_000);
/// The longest pause between two listings. A host may have been listed in a longer one.
const MAX_PAUSE: Duration = Duration::from_secs(4);

value_type! {
    /// The recorded names of hosts that are not listed.
    #[derive(Default)]
    pub struct UnlistedNames {
        /// When each host was first found missing.
        missing_since: BTreeMap<HostId, Monotonic>,
        listed_at: Option<Monotonic>,
    }
}

impl UnlistedNames {
    /// Applies a complete listing: the recorded names of the hosts that are not in the list.
    pub fn note_listing(&mut self, now: Monotonic, unlisted: impl IntoIterator<Item = HostId>) {
        let is_continuous = self
            .listed_at
            .is_some_and(|before| now.saturating_sub(before) <= MAX_PAUSE);
        let before = std::mem::take(&mut self.missing_since);
        let since = |host: &HostId| before.get(host).copied().filter(|_| is_continuous);
        let missing = unlisted.into_iter();
        self.missing_since = missing
            .map(|host| (host.clone(), since(&host).unwrap_or(now)))
            .collect();
        self.listed_at = Some(now);
    }

    /// Returns the names that may be removed.
    pub fn removable(&self) -> impl Iterator<Item = &HostId> {
        let listed_at = self.listed_at.unwrap_or_default();
        let missing = self.missing_since.iter();
        missing
            .filter(move |(_, since)| listed_at.saturating_sub(**since) >= REMOVAL_DELAY)
            .map(|(host, _)| host)
    }
}
