//! The owners that accepted no request in time.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_core::silent_hosts::SilentHosts;

/// How long an owner that was silent is passed over. Meanwhile its instances are reached through
/// another owner or directly.
const SILENCE_PAUSE: Duration = Duration::from_secs(2);

/// The silent owners, shared by all threads.
#[derive(Debug)]
pub(crate) struct OwnerSilences {
    started_at: Instant,
    hosts: Mutex<SilentHosts>,
}

impl OwnerSilences {
    /// Records that an owner was silent.
    pub(crate) fn note_silent(&self, owner: &HostId) {
        let now = self.started_at.elapsed();
        self.lock().note_silent(now, owner);
    }

    /// Returns whether an owner should be passed over now.
    pub(crate) fn is_silent(&self, owner: &HostId) -> bool {
        let now = self.started_at.elapsed();
        self.lock().is_silent(now, owner)
    }

    fn lock(&self) -> MutexGuard<'_, SilentHosts> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for OwnerSilences {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            hosts: Mutex::new(SilentHosts::new(SILENCE_PAUSE)),
        }
    }
}
