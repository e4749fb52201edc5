//! The times and bounds of membership.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// The settings of a [`Membership`](super::Membership); see docs/notes/membership.md.
    pub struct MembershipSettings {
        /// How often this host probes one other host of its failure domain.
        pub probe_interval: Duration,
        /// How long it waits for the answer before it asks others to probe in its place.
        pub ack_timeout: Duration,
        /// How many others it asks.
        pub helpers: usize,
        /// How long a suspected host has to refute.
        pub suspicion_timeout: Duration,
        /// How many updates a datagram carries at the most.
        pub max_updates: usize,
        /// To how many hosts news of a leaving or dead host is passed on at once.
        pub fanout: usize,
        /// How often a host that is gone, or a seed, is tried again.
        pub rejoin_interval: Duration,
        /// How long a host that is gone is remembered.
        pub dead_lifetime: Duration,
        /// How often this host exchanges all it knows with one other.
        pub exchange_interval: Duration,
    }
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(150),
            helpers: 3,
            suspicion_timeout: Duration::from_secs(2),
            max_updates: 8,
            fanout: 3,
            rejoin_interval: Duration::from_secs(5),
            dead_lifetime: Duration::from_mins(1),
            exchange_interval: Duration::from_secs(30),
        }
    }
}
