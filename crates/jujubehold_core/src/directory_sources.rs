//! Which other hosts a host asks to confirm its copy of the directory.
//!
//! Proofs of the leads come only from a host that reads the store, and only to a host that is listed.
//! The directory needs neither: any host of the failure domain that has been confirmed lately can
//! say what has changed. So a host that is cut off from the store asks one after the other.

use std::time::Duration;

use crate::ids::{DomainId, HostId, Monotonic};
use crate::silent_hosts::SilentHosts;
use crate::value_type;

/// How long a host that did not help is passed over, as for proofs.
const UNHELPFUL_PAUSE: Duration = Duration::from_secs(3);

value_type! {
    /// The hosts that may be asked, but for those that did not help lately.
    pub struct DirectorySources {
        unhelpful: SilentHosts,
    }
}

impl Default for DirectorySources {
    fn default() -> Self {
        Self {
            unhelpful: SilentHosts::new(UNHELPFUL_PAUSE),
        }
    }
}

impl DirectorySources {
    /// Returns the host that `host` asks next: the first one by name of the same failure domain that
    /// has not been unhelpful lately.
    pub fn next<'a>(
        &self,
        now: Monotonic,
        host: &HostId,
        domain: &str,
        mut hosts: impl Iterator<Item = (&'a HostId, &'a DomainId)>,
    ) -> Option<HostId> {
        let next = hosts.find(|(other, other_domain)| {
            *other != host && *other_domain == domain && !self.unhelpful.is_silent(now, other)
        });
        next.map(|(other, _)| other.clone())
    }

    /// Records that `host` did not answer, or could not confirm the directory.
    pub fn note_unhelpful(&mut self, now: Monotonic, host: &HostId) {
        self.unhelpful.note_silent(now, host);
    }
}
