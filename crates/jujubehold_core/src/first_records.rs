//! When a host records the primaries of services that have none on record.
//!
//! All leads are in one table, and of two changes of it at once one fails. A deployment that starts
//! has to record every service, so one host records many with one change, and each change shows the
//! others that a host is at work. They wait anew, and act only if that host is lost.
//!
//! Only the hosts that watch the primaries record them, and while the table does not change, each of
//! them tries once a second. Otherwise, while no change of the table succeeds, every host asks the
//! same primaries for their terms without a pause, and a primary accepts few connections.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::primary_watchers::PRIMARY_WATCHERS;
use crate::store_version::Revision;
use crate::value_type;

/// The maximum number of services that are recorded with one change: each instance is asked for its
/// term before, and the others wait for the change.
pub const MAX_FIRST_RECORDS: usize = 64;

/// The minimum time between two attempts of one host while the table does not change.
const ATTEMPT_INTERVAL: Duration = Duration::from_secs(1);

value_type! {
    /// How long a host has seen services without a record while the table did not change.
    #[derive(Default)]
    pub struct FirstRecords {
        table_revision: Revision,
        waiting_since: Option<Monotonic>,
        /// When this host last began to record primaries, if the table has not changed since.
        attempted_at: Option<Monotonic>,
    }
}

impl FirstRecords {
    /// Records whether services lack a record at `now`, and the table's revision.
    pub fn note(&mut self, now: Monotonic, is_lacking: bool, table_revision: Revision) {
        if !is_lacking {
            self.waiting_since = None;
        } else if self.waiting_since.is_none() || self.table_revision != table_revision {
            self.waiting_since = Some(now);
        }
        if self.table_revision != table_revision {
            self.attempted_at = None;
        }
        self.table_revision = table_revision;
    }

    /// Records that this host begins to record primaries at `now`.
    pub fn note_attempt(&mut self, now: Monotonic) {
        self.attempted_at = Some(now);
    }

    /// Returns whether a host records the primaries now. It leaves `delay` to those before it, of
    /// which there are `rank`.
    pub fn is_due(&self, now: Monotonic, rank: usize, delay: Duration) -> bool {
        let has_elapsed = |since: Monotonic, time| now.saturating_sub(since) >= time;
        rank < PRIMARY_WATCHERS
            && self
                .waiting_since
                .is_some_and(|since| has_elapsed(since, delay))
            && self
                .attempted_at
                .is_none_or(|at| has_elapsed(at, ATTEMPT_INTERVAL))
    }
}
