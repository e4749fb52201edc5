//! The settings of membership.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// The settings of a [`Membership`](super::Membership); see docs/notes/membership.md.
    pub struct MembershipSettings {
        /// The interval at which this host probes one other host of its failure domain.
        pub probe_interval: Duration,
        /// How long a probe waits for the ack before helpers are asked to ping the host as well.
        pub ack_timeout: Duration,
        /// The number of helpers that are asked.
        pub helpers: usize,
        /// How long a suspected host has to refute before it is considered dead.
        pub suspicion_timeout: Duration,
        /// The most updates that a datagram carries.
        pub max_updates: usize,
        /// The number of hosts to which an update on a leaving or dead host is sent at once.
        pub fanout: usize,
        /// The interval at which a dead host or a missing seed is pinged again.
        pub rejoin_interval: Duration,
        /// How long a dead host is remembered.
        pub dead_lifetime: Duration,
        /// The interval at which this host exchanges all that it knows with one other host.
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
