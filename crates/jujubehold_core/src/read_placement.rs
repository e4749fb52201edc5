//! Which instance serves a read when the instance itself checks the read's floor.
//!
//! An instance that lacks the floor says so and runs nothing, so a read may try replicas without
//! knowing their positions. The nearest instance is preferred until its queue makes another one
//! quicker; the primary's slots are kept for what only it can run. See
//! docs/notes/platform-path.md.

use std::time::Duration;

use crate::ids::{InstanceId, Monotonic};
use crate::upstream_health::UpstreamHealth;
use crate::value_type;

value_type! {
    /// How reads are spread.
    pub struct ReadPlacementSettings {
        /// What a read is worth in waiting time to keep it off the primary.
        pub primary_penalty: Duration,
        /// What a read is worth in waiting time to keep it in the host's own failure domain.
        pub domain_penalty: Duration,
    }

    /// An instance that may serve a read.
    pub struct PlacementOption {
        /// The instance.
        pub instance: InstanceId,
        /// Whether it is the primary.
        pub is_primary: bool,
        /// Whether it is in the host's own failure domain.
        pub is_near: bool,
        /// How many of this host's requests it works at or has waiting.
        pub in_flight: u32,
        /// How many requests it runs at once.
        pub slots: u32,
        /// How long until it is expected to have what the read needs.
        pub wait: Duration,
        /// What this host knows of it.
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

/// The instances in the order in which a read tries them, each with how long to wait first.
///
/// Silent instances are left out unless nothing else is there.
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
    // Requests ahead of the read beyond the free slots make it wait a share of the time each.
    let own = option.health.expected_time(now);
    let waits = own * option.in_flight / slots;
    let mut cost = own + waits + option.wait;
    if option.is_primary {
        cost += settings.primary_penalty;
    }
    if !option.is_near {
        cost += settings.domain_penalty;
    }
    cost
}
