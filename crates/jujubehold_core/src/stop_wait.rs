//! Whether every host has stopped using a primary that is being replaced.

use std::collections::BTreeSet;

use crate::ids::{HostId, Monotonic};
use crate::lead_proof::LeadProofSettings;
use crate::value_type;

value_type! {
    /// The wait between the announcement of a change of primary and the promotion.
    pub struct StopWait {
        settings: LeadProofSettings,
        announced_at: Monotonic,
        waited_for: BTreeSet<HostId>,
        /// Whether every host that may rely on the old table is among those waited for.
        knows_all_hosts: bool,
        /// Whether the windows of silent hosts may be waited out. A host that joined lately may not
        /// be known to all the others, and has to hear from each that it knows.
        may_lapse: bool,
    }
}

impl StopWait {
    /// A wait that begins when the store confirmed the announcement, for all `hosts` but oneself.
    pub fn new(
        settings: LeadProofSettings,
        announced_at: Monotonic,
        hosts: BTreeSet<HostId>,
        knows_all_hosts: bool,
        may_lapse: bool,
    ) -> Self {
        Self {
            settings,
            announced_at,
            waited_for: hosts,
            knows_all_hosts,
            may_lapse,
        }
    }

    /// Notes that the store no longer lists `host`: what is left of its rights lapses by itself.
    pub fn note_gone(&mut self, host: &str) {
        if self.waited_for.remove(host) {
            self.knows_all_hosts = false;
        }
    }

    /// Notes that `host` said that it stopped.
    pub fn note_stopped(&mut self, host: &str) {
        self.waited_for.remove(host);
    }

    /// Notes a host that was given a promise. One that was not asked to stop may rely on it until its
    /// window lapses.
    pub fn note_promised(&mut self, host: &str, was_asked: bool) {
        if !was_asked && !self.waited_for.contains(host) {
            self.knows_all_hosts = false;
        }
    }

    /// The hosts that have not said so.
    pub fn waited_for(&self) -> &BTreeSet<HostId> {
        &self.waited_for
    }

    /// When the windows of all hosts have lapsed, whatever they say.
    pub fn ends_at(&self) -> Monotonic {
        self.announced_at + self.settings.lapse()
    }

    /// Whether no host can use the old primary any more.
    pub fn is_over(&self, now: Monotonic) -> bool {
        let has_lapsed = now >= self.ends_at();
        if self.waited_for.is_empty() {
            self.knows_all_hosts || has_lapsed
        } else {
            self.may_lapse && has_lapsed
        }
    }
}
