//! Which processes of hosts have run for long.
//!
//! A process can't know how long the host's earlier process ran. One host observes the list of hosts
//! and records that in the store for all.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, Monotonic};
use crate::lead_table::Revision;
use crate::value_type;

/// The shortest pause between two records. Hosts that are restarted in turn become old one by one.
const RECORD_INTERVAL: Duration = Duration::from_secs(5);

value_type! {
    /// The listed processes, each identified by the revision of its entry in the list of hosts.
    #[derive(Default)]
    pub struct ListedProcesses {
        since: BTreeMap<HostId, (Revision, Monotonic)>,
        recorded_at: Option<Monotonic>,
    }
}

impl ListedProcesses {
    /// Applies the list of hosts at `now`.
    pub fn note_listed(
        &mut self,
        now: Monotonic,
        listed: impl IntoIterator<Item = (HostId, Revision)>,
    ) {
        let before = std::mem::take(&mut self.since);
        let listed = listed.into_iter();
        self.since = listed
            .map(|(host, revision)| {
                let known = before.get(&host).filter(|(known, _)| *known == revision);
                let since = known.map_or(now, |(_, since)| *since);
                (host, (revision, since))
            })
            .collect();
    }

    /// Returns the record to write if `recorded` lacks processes that have run for `min_age`.
    pub fn record(
        &mut self,
        now: Monotonic,
        min_age: Duration,
        recorded: &BTreeMap<HostId, Revision>,
    ) -> Option<BTreeMap<HostId, Revision>> {
        let is_early = self
            .recorded_at
            .is_some_and(|at| now.saturating_sub(at) < RECORD_INTERVAL);
        if is_early {
            return None;
        }
        let old = self.since.iter().filter(|(host, (revision, since))| {
            recorded.get(*host) == Some(revision) || now.saturating_sub(*since) >= min_age
        });
        let record: BTreeMap<_, _> = old
            .map(|(host, (revision, _))| (host.clone(), *revision))
            .collect();
        let is_new = |(host, revision)| recorded.get(host) != Some(revision);
        if !record.iter().any(is_new) {
            return None;
        }
        self.recorded_at = Some(now);
        Some(record)
    }
}
