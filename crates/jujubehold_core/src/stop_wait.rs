//! Tracks whether every host has stopped using a primary that is being replaced.

use std::collections::BTreeSet;

use crate::ids::{HostId, Monotonic};
use crate::lead_proof::LeadProofSettings;
use crate::value_type;

value_type! {
    /// The wait between the announcement of a change of primary and the promotion.
    pub struct StopWait {
        settings: LeadProofSettings,
        /// When the change had been announced and the replica that takes over had been marked.
        started_at: Monotonic,
        pending_hosts: BTreeSet<HostId>,
        /// Whether every host that may use the old primary is among those waited for.
        knows_all_hosts: bool,
    }
}

impl StopWait {
    /// Creates a wait for `hosts`, all hosts but this one, that started when the change had been
    /// announced and the replica marked.
    pub fn new(
        settings: LeadProofSettings,
        started_at: Monotonic,
        hosts: BTreeSet<HostId>,
        knows_all_hosts: bool,
    ) -> Self {
        Self {
            settings,
            started_at,
            pending_hosts: hosts,
            knows_all_hosts,
        }
    }

    /// Restarts the wait for windows, for example after another replica was marked.
    pub fn restart(&mut self, started_at: Monotonic) {
        self.started_at = started_at;
    }

    /// Records that `host` reported that it stopped using the old primary.
    pub fn note_stopped(&mut self, host: &str) {
        self.pending_hosts.remove(host);
    }

    /// Returns the hosts that have not reported that they stopped.
    pub fn pending_hosts(&self) -> &BTreeSet<HostId> {
        &self.pending_hosts
    }

    /// Returns whether every host that may use the old primary was among those waited for.
    pub fn knows_all_hosts(&self) -> bool {
        self.knows_all_hosts
    }

    /// Returns when the windows of all hosts have expired, whatever they report.
    pub fn ends_at(&self) -> Monotonic {
        self.started_at + self.settings.expiry_wait()
    }

    /// Returns whether no host can use the old primary any more.
    pub fn is_over(&self, now: Monotonic) -> bool {
        let has_stopped = self.knows_all_hosts && self.pending_hosts.is_empty();
        has_stopped || now >= self.ends_at()
    }
}
