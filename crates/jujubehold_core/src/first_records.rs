//! When a host records the primaries of services that have none on record.
//!
//! All leads are in one table, and of two changes of it at once one fails. A deployment that starts
//! has to record every service, so one host records many with one change, and each change shows the
//! others that a host is at work. They wait anew, and act only if that host is lost.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::lead_table::Revision;
use crate::value_type;

/// The maximum number of services that are recorded with one change: each instance is asked for its
/// term before, and the others wait for the change.
pub const MAX_FIRST_RECORDS: usize = 64;

value_type! {
    /// How long a host has seen services without a record while the table did not change.
    #[derive(Default)]
    pub struct FirstRecords {
        table_revision: Revision,
        waiting_since: Option<Monotonic>,
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
        self.table_revision = table_revision;
    }

    /// Returns whether a host that leaves `delay` to those before it records the primaries now.
    pub fn is_due(&self, now: Monotonic, delay: Duration) -> bool {
        self.waiting_since
            .is_some_and(|since| now.saturating_sub(since) >= delay)
    }
}
