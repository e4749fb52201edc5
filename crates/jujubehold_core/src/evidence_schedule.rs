//! Of which services a host asks the replicas for evidence while the store does not answer.
//!
//! Hosts that start together read the store late, for lack of processor time, and then seek evidence
//! that no primary is being replaced. A host that asked every replica of hundreds of services opened
//! hundreds of connections a second, which delayed its reads further. So in a large deployment a host
//! asks for the services that it uses, and for a few of them at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Monotonic, ServiceId};
use crate::value_type;

value_type! {
    /// The limits of asking for evidence.
    pub struct EvidenceSettings {
        /// How often the replicas of one service are asked: a question takes a slot, and several fit
        /// in a proof window.
        pub interval: Duration,
        /// How long after its last use a service counts as in use: longer than evidence may replace
        /// the store.
        pub use_window: Duration,
        /// The maximum number of services for all of which a host asks, used or not.
        pub max_small_deployment: usize,
        /// The maximum number of services for which a host asks within one interval. More are asked
        /// for in turn.
        pub max_services_per_interval: usize,
    }

    /// When a host last asked for the evidence of each service.
    #[derive(Default)]
    pub struct EvidenceSchedule {
        asked_at: BTreeMap<ServiceId, Monotonic>,
    }
}

impl Default for EvidenceSettings {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(600),
            use_window: Duration::from_secs(30),
            max_small_deployment: 32,
            // Each of 256 services is still asked for within a proof window.
            max_services_per_interval: 64,
        }
    }
}

impl EvidenceSchedule {
    /// Returns the services for which this host asks at `now`. `services` are all services with a
    /// primary on record, and when this host last used them.
    pub fn due(
        &mut self,
        settings: &EvidenceSettings,
        now: Monotonic,
        services: &BTreeMap<ServiceId, Option<Monotonic>>,
    ) -> Vec<ServiceId> {
        self.asked_at
            .retain(|service, _| services.contains_key(service));
        let is_small = services.len() <= settings.max_small_deployment;
        let is_in_use = |used_at: &Option<Monotonic>| {
            used_at.is_some_and(|used_at| now.saturating_sub(used_at) < settings.use_window)
        };
        let is_recent = |at: &Monotonic| now.saturating_sub(*at) < settings.interval;
        let recent = self.asked_at.values().filter(|at| is_recent(at)).count();
        let mut due: Vec<_> = services
            .iter()
            .filter(|(_, used_at)| is_small || is_in_use(used_at))
            .map(|(service, _)| (self.asked_at.get(service).copied(), service.clone()))
            .filter(|(asked_at, _)| !asked_at.as_ref().is_some_and(is_recent))
            .collect();
        // Those that were never asked for come first, then those that were asked for the longest ago.
        due.sort();
        due.truncate(settings.max_services_per_interval.saturating_sub(recent));
        let due: Vec<_> = due.into_iter().map(|(_, service)| service).collect();
        self.asked_at
            .extend(due.iter().map(|service| (service.clone(), now)));
        due
    }
}
