//! How many hosts may lease shares, as one host knows it.

use std::time::Duration;

use super::messages::CountedHosts;
use super::share::Share;
use crate::ids::Monotonic;
use crate::value_type;

/// How long a count of the hosts may be used after it was read from the store. It is longer than
/// the store is usually unavailable.
pub const MAX_COUNT_AGE: Duration = Duration::from_secs(20);

/// How long a count may be used that a host read in the first seconds of the whole system, when the
/// others may not have been recorded yet.
const MAX_FIRST_COUNT_AGE: Duration = Duration::from_millis(2_400);

/// How long after its start a host of a system that starts for the first time regards its counts as
/// incomplete.
pub(super) const FIRST_START_PHASE: Duration = Duration::from_secs(5);

value_type! {
    /// The number of hosts whose names are recorded in the store, and when it was read.
    pub struct HostCount {
        /// The number.
        pub hosts: u32,
        /// When the read was sent to the store.
        pub read_at: Monotonic,
    }

    /// The newest count of the hosts that a host knows.
    #[derive(Default)]
    pub(super) struct KnownHostCount {
        is_first_start: bool,
        newest: Option<HostCount>,
    }
}

impl HostCount {
    /// Returns the count that another host sent in an answer to a request of `asked_at`; `None` if
    /// it is older than this process.
    pub fn received(asked_at: Monotonic, counted: &CountedHosts) -> Option<Self> {
        Some(Self {
            hosts: counted.hosts,
            read_at: asked_at.checked_sub(counted.age)?,
        })
    }
}

impl KnownHostCount {
    /// Creates the state of a host that knows no count; `is_first_start` is whether the whole
    /// system starts for the first time.
    pub(super) fn new(is_first_start: bool) -> Self {
        Self {
            is_first_start,
            newest: None,
        }
    }

    /// Applies a count that this host or another one read.
    pub(super) fn note(&mut self, count: HostCount) {
        let is_newer = |known: &HostCount| known.read_at < count.read_at;
        if self.newest.as_ref().is_none_or(is_newer) {
            self.newest = Some(count);
        }
    }

    /// Returns the newest count with its age at `now`.
    pub(super) fn counted(&self, now: Monotonic) -> Option<CountedHosts> {
        let count = self.newest.as_ref()?;
        Some(CountedHosts {
            hosts: count.hosts,
            age: now.saturating_sub(count.read_at),
        })
    }

    /// Returns the share of one host, and until when it may be relied on.
    pub(super) fn share_of_host(&self) -> (Share, Monotonic) {
        let Some(count) = &self.newest else {
            return (Share::default(), Monotonic::ZERO);
        };
        let is_incomplete = self.is_first_start && count.read_at < FIRST_START_PHASE;
        let max_age = if is_incomplete {
            MAX_FIRST_COUNT_AGE
        } else {
            MAX_COUNT_AGE
        };
        (Share::of_one_host(count.hosts), count.read_at + max_age)
    }
}
