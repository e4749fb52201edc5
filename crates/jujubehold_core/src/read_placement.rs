//! Chooses the instance for a read when the instance itself checks the read's floor.
//!
//! An instance that has not reached the floor reports so and runs nothing, so a read may try
//! replicas whose positions are not known. The nearest instance is preferred until its queue makes
//! another one faster, and the primary's slots are kept for statements that only it can run. See
//! docs/notes/platform-path.md.

use std::time::Duration;

use crate::ids::{InstanceId, Monotonic};
use crate::upstream_health::UpstreamHealth;
use crate::value_type;

value_type! {
    /// The weights by which reads are spread over the instances.
    pub struct ReadPlacementSettings {
        /// How much longer a read may take elsewhere before it goes to the primary.
        pub primary_penalty: Duration,
        /// How much longer a read may take in the host's own failure domain before it goes to
        /// another one.
        pub domain_penalty: Duration,
    }

    /// An instance that may serve a read.
    pub struct PlacementOption {
        /// The instance's name.
        pub instance: InstanceId,
        /// Whether the instance is the primary.
        pub is_primary: bool,
        /// Whether the instance is in the host's own failure domain.
        pub is_same_domain: bool,
        /// How many of this host's requests the instance is running or has queued.
        pub in_flight: u32,
        /// How many requests the instance runs at once.
        pub slots: u32,
        /// The expected time until the instance has what the read needs.
        pub wait: Duration,
        /// What this host knows of the instance from its own traffic.
        pub health: UpstreamHealth,
    }
}

impl Default for ReadPlacementSettings {
    fn default() -> Self {
        Self {
            primary_penalty: Duration::from_millis(30),
            domain_penalty: Duration::from_millis(10),
        }
    }
}

/// Returns the instances in the order in which a read tries them, each with the time to wait first.
///
/// Silent instances are left out unless all are silent.
pub fn placement_order(
    settings: &ReadPlacementSettings,
    now: Monotonic,
    mut options: Vec<PlacementOption>,
) -> Vec<(InstanceId, Duration)> {
    if options.iter().any(|option| !option.health.is_silent(now)) {
        options.retain(|option| !option.health.is_silent(now));
    }
    options.sort_by_key(|option| cost(settings, now, option));
    let in_order = options.into_iter();
    in_order
        .map(|option| (option.instance, option.wait))
        .collect()
}

fn cost(settings: &ReadPlacementSettings, now: Monotonic, option: &PlacementOption) -> Duration {
    let slots = option.slots.max(1);
    // Each request ahead of the read delays it by an answer time divided by the number of slots.
    let answer_time = option.health.expected_time(now);
    let queue_time = answer_time * option.in_flight / slots;
    let mut cost = answer_time + queue_time + option.wait;
    if option.is_primary {
        cost += settings.primary_penalty;
    }
    if !option.is_same_domain {
        cost += settings.domain_penalty;
    }
    cost
}
