//! Which primaries a host keeps asking for their position, and which positions it asks others for.
//!
//! A host has few of a large deployment's services in use. Whatever it does for all of them grows
//! with the deployment: probes that take the primaries' connections, and answers that exceed a
//! datagram.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

value_type! {
    /// The limits of keeping positions fresh.
    pub struct PositionDemandSettings {
        /// The age at which a position is asked for again.
        pub max_position_age: Duration,
        /// How long after a read a position is kept fresh.
        pub demand_window: Duration,
        /// How long after a read another host is asked for the position with each question.
        pub question_window: Duration,
        /// The maximum number of services of which another host is asked for all positions.
        pub max_unnamed_services: usize,
    }

    /// What a host has to do with a primary.
    pub struct PositionDemand {
        /// Whether the host watches the primary.
        pub is_watcher: bool,
        /// Whether another host reads the store and keeps positions for this one.
        pub has_source: bool,
        /// When a read of this host, or of one that asks it, last needed the position.
        pub wanted_at: Option<Monotonic>,
    }
}

impl Default for PositionDemandSettings {
    fn default() -> Self {
        Self {
            max_position_age: Duration::from_millis(400),
            demand_window: Duration::from_secs(3),
            // A host whose reads of a service are seconds apart would otherwise ask the primary
            // itself for each of them.
            question_window: Duration::from_secs(30),
            // About 1 KB of an answer. Hundreds of hosts that start together would otherwise ask
            // each primary once for the first read of its service.
            max_unnamed_services: 32,
        }
    }
}

impl PositionDemandSettings {
    /// Returns whether a question names the services whose positions it asks for, in a deployment
    /// of `service_count` services.
    pub fn names_services(&self, service_count: usize) -> bool {
        service_count > self.max_unnamed_services
    }
}

impl PositionDemand {
    /// Returns whether the host asks the primary for its position at `now`, if the newest one that
    /// it knows is `age` old.
    pub fn is_due(&self, settings: &PositionDemandSettings, now: Monotonic, age: Duration) -> bool {
        let is_kept = self.is_watcher
            || (!self.has_source && self.is_wanted_within(now, settings.demand_window));
        is_kept && age > settings.max_position_age
    }

    /// Returns whether the host asks another one for the position.
    pub fn is_asked_for(&self, settings: &PositionDemandSettings, now: Monotonic) -> bool {
        self.is_wanted_within(now, settings.question_window)
    }

    fn is_wanted_within(&self, now: Monotonic, window: Duration) -> bool {
        self.wanted_at
            .is_some_and(|wanted_at| now.saturating_sub(wanted_at) < window)
    }
}
