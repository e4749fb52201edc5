//! How many connections to an instance one host may have, and how many it may keep unused.
//!
//! The load pattern behind it: an instance takes few connections, callers spread unevenly over the
//! hosts, and transactions pin connections in bursts. Fixed shares starve the busy host while the
//! others' stand idle; so each host takes what it needs up to several shares, and gives back at once
//! what it does not use.

use std::time::Duration;

use crate::value_type;

/// How much more than an even share one host may take.
const MOST_SHARES: usize = 3;
/// Connections that are left to control, of those that an instance takes.
const RESERVED: usize = 2;
/// How long a connection within the allowance is kept unused.
const ALLOWED_IDLE: Duration = Duration::from_millis(1_500);
/// How long a connection beyond the allowance is kept unused: longer than the pauses within one
/// caller's run of statements.
const EXCESS_IDLE: Duration = Duration::from_millis(150);

value_type! {
    /// One host's share of an instance's connections.
    pub struct ConnectionShare {
        /// How many it may have.
        pub limit: usize,
        /// How many it may keep for a while without using them.
        pub idle_allowance: usize,
    }
}

impl ConnectionShare {
    /// The share of one of `hosts` in the `max` connections that an instance takes.
    pub fn new(max: usize, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let most = max.saturating_sub(RESERVED).max(1);
        let even = (max / hosts).max(1);
        Self {
            limit: (even * MOST_SHARES).min(most),
            // Half of the connections stay free for whoever needs them next.
            idle_allowance: (max / (2 * hosts)).max(1),
        }
    }

    /// Whether a connection that has been unused for `idle` is closed; `rank` counts the unused
    /// ones from 0, the one used last first.
    pub fn is_spare(&self, rank: usize, idle: Duration) -> bool {
        let kept = if rank < self.idle_allowance {
            ALLOWED_IDLE
        } else {
            EXCESS_IDLE
        };
        idle > kept
    }
}
