//! Whom a host asks which hosts were listed before it followed the list of hosts itself.
//!
//! A host that replaces a primary waits until every proof window has expired if a host may use the
//! primary that it does not know. After a rolling restart, no host has followed the list for long
//! enough to know all of them. One that has just started therefore asks those that know more than
//! itself.

use std::time::Duration;

use crate::ids::{HostId, Monotonic};
use crate::store_version::Revision;
use crate::value_type;

/// The time between two questions. A host rarely needs more than one; after a loss of all hosts none
/// can answer, and all of them ask in vain for as long as a host may be unknown.
const ASK_INTERVAL: Duration = Duration::from_secs(1);

value_type! {
    /// The questions of one host.
    #[derive(Default)]
    pub struct HostHistoryQuestions {
        asked_count: usize,
        next_at: Monotonic,
    }
}

impl HostHistoryQuestions {
    /// Returns the host that `own` should ask now, if a question is due. `listed` are all hosts with
    /// the revisions of their entries.
    ///
    /// The hosts are asked in turn, beginning with the one that has been listed longest.
    pub fn next_host<'a>(
        &mut self,
        now: Monotonic,
        own: &HostId,
        listed: impl Iterator<Item = (&'a HostId, Revision)>,
    ) -> Option<HostId> {
        if now < self.next_at {
            return None;
        }
        let mut others: Vec<_> = listed.filter(|(host, _)| *host != own).collect();
        others.sort_unstable_by_key(|(_, revision)| *revision);
        let turn = self.asked_count.checked_rem(others.len())?;
        self.asked_count += 1;
        self.next_at = now + ASK_INTERVAL;
        others.get(turn).map(|(host, _)| (*host).clone())
    }
}
