//! Tracks the instances of all services that did not answer this host's reads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::silence::SilentInstances;

/// The silent instances by service; empty while all instances answer.
#[derive(Debug, Default)]
pub struct SilenceTracker {
    services: Mutex<BTreeMap<ServiceId, SilentInstances>>,
}

impl SilenceTracker {
    pub(crate) fn note_silent(&self, service: &ServiceId, now: Monotonic, instance: &InstanceId) {
        let mut services = self.lock();
        let silent = services.entry(service.clone()).or_default();
        silent.note_silent(now, instance);
    }

    pub(crate) fn note_answer(&self, service: &ServiceId, instance: &InstanceId) {
        if let Some(silent) = self.lock().get_mut(service) {
            silent.note_answer(instance);
        }
    }

    pub(crate) fn is_silent(&self, service: &ServiceId, instance: &InstanceId) -> bool {
        self.lock()
            .get(service)
            .is_some_and(|silent| silent.is_silent(instance))
    }

    /// Returns the instances that a read at `now` should avoid.
    ///
    /// Once an instance's pause is over, this read may try it, while other reads avoid it for
    /// `trial`.
    pub(crate) fn avoided(
        &self,
        service: &ServiceId,
        now: Monotonic,
        trial: Duration,
        view: &GroupView,
    ) -> BTreeSet<InstanceId> {
        self.lock()
            .get_mut(service)
            .map(|silent| silent.avoided(now, trial, view))
            .unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ServiceId, SilentInstances>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
