//! Whether every host has stopped using a primary that is being replaced.

use std::collections::BTreeSet;

use crate::ids::{HostId, Monotonic};
use crate::lead_proof::LeadProofSettings;
use crate::value_type;

value_type! {
    /// The wait between the announcement of a change of primary and the promotion.
    pub struct StopWait {
        settings: LeadProofSettings,
        /// When the change was announced and the replica that takes over was marked.
        begun_at: Monotonic,
        waited_for: BTreeSet<HostId>,
        /// Whether every host that may use the old primary is among those waited for.
        knows_all_hosts: bool,
    }
}

impl StopWait {
    /// A wait for all `hosts` but oneself, that began when the change was announced and marked.
    pub fn new(
        settings: LeadProofSettings,
        begun_at: Monotonic,
        hosts: BTreeSet<HostId>,
        knows_all_hosts: bool,
    ) -> Self {
        Self {
            settings,
            begun_at,
            waited_for: hosts,
            knows_all_hosts,
        }
    }

    /// Begins the wait for windows anew, as when another replica was marked.
    pub fn begin_again(&mut self, begun_at: Monotonic) {
        self.begun_at = begun_at;
    }

    /// Notes that `host` said that it stopped.
    pub fn note_stopped(&mut self, host: &str) {
        self.waited_for.remove(host);
    }

    /// The hosts that have not said so.
    pub fn waited_for(&self) -> &BTreeSet<HostId> {
        &self.waited_for
    }

    /// When the windows of all hosts have lapsed, whatever they say.
    pub fn ends_at(&self) -> Monotonic {
        self.begun_at + self.settings.lapse()
    }

    /// Whether no host can use the old primary any more.
    pub fn is_over(&self, now: Monotonic) -> bool {
        let has_stopped = self.knows_all_hosts && self.waited_for.is_empty();
        has_stopped || now >= self.ends_at()
    }
}
