//! Which processes of hosts have run for long.
//!
//! A process can't know how long the host's earlier process ran. One host observes the list of hosts
//! and records that in the store for all.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, Monotonic, Nonce};
use crate::value_type;

/// The shortest pause between two records. Hosts that are restarted in turn become old one by one.
const RECORD_INTERVAL: Duration = Duration::from_secs(5);
/// How long a process that is no longer listed is remembered: longer than the store is usually
/// unavailable, after which the same processes are listed again.
const UNLISTED_REMEMBERED: Duration = Duration::from_mins(1);

value_type! {
    /// The processes that were listed.
    #[derive(Default)]
    pub struct ListedProcesses {
        processes: BTreeMap<HostId, ListedProcess>,
        recorded_at: Option<Monotonic>,
    }

    struct ListedProcess {
        process: Nonce,
        first_listed_at: Monotonic,
        last_listed_at: Monotonic,
    }
}

impl ListedProcesses {
    /// Applies the list of hosts at `now`, with the process of each.
    pub fn note_listed(
        &mut self,
        now: Monotonic,
        listed: impl IntoIterator<Item = (HostId, Nonce)>,
    ) {
        for (host, process) in listed {
            let new = ListedProcess {
                process,
                first_listed_at: now,
                last_listed_at: now,
            };
            let known = self.processes.entry(host).or_insert_with(|| new.clone());
            if known.process == process {
                known.last_listed_at = now;
            } else {
                *known = new;
            }
        }
        self.processes
            .retain(|_, known| now.saturating_sub(known.last_listed_at) < UNLISTED_REMEMBERED);
    }

    /// Returns the record to write if `recorded` lacks processes that have run for `min_age`.
    pub fn record(
        &mut self,
        now: Monotonic,
        min_age: Duration,
        recorded: &BTreeMap<HostId, Nonce>,
    ) -> Option<BTreeMap<HostId, Nonce>> {
        let is_early = self
            .recorded_at
            .is_some_and(|at| now.saturating_sub(at) < RECORD_INTERVAL);
        if is_early {
            return None;
        }
        let processes = self.processes.iter();
        let old = processes.filter(|(host, known)| {
            let ran_for = known.last_listed_at.saturating_sub(known.first_listed_at);
            recorded.get(*host) == Some(&known.process) || ran_for >= min_age
        });
        let record: BTreeMap<_, _> = old
            .map(|(host, known)| (host.clone(), known.process))
            .collect();
        let is_new = |(host, process)| recorded.get(host) != Some(process);
        if !record.iter().any(is_new) {
            return None;
        }
        self.recorded_at = Some(now);
        Some(record)
    }
}
