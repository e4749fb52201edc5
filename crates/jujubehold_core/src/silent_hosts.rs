//! Remembers which hosts did not answer, so that they are not asked again for a while.
//!
//! When hosts are cut off from each other, each request to a silent host would otherwise wait for
//! its timeout.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{HostId, Monotonic};
use crate::value_type;

value_type! {
    /// The hosts that did not answer recently; each takes about 60 bytes of memory.
    pub struct SilentHosts {
        /// How long a host is passed over after a silence.
        pause: Duration,
        passed_over_until: BTreeMap<HostId, Monotonic>,
    }
}

impl SilentHosts {
    /// Creates an empty record of hosts that are each passed over for `pause`.
    pub fn new(pause: Duration) -> Self {
        Self {
            pause,
            passed_over_until: BTreeMap::new(),
        }
    }

    /// Records that `host` did not answer.
    pub fn note_silent(&mut self, now: Monotonic, host: &HostId) {
        self.passed_over_until.retain(|_, until| now < *until);
        let until = now + self.pause;
        self.passed_over_until.insert(host.clone(), until);
    }

    /// Returns whether `host` should not be asked now.
    pub fn is_silent(&self, now: Monotonic, host: &HostId) -> bool {
        self.passed_over_until
            .get(host)
            .is_some_and(|until| now < *until)
    }
}
