//! How many connections to an instance one host may have, and how many it may keep unused.
//!
//! The load pattern behind it: an instance takes few connections, callers spread unevenly over the
//! hosts, and transactions pin connections in bursts. Fixed shares starve the busy host while the
//! others' stand idle; so each host takes what it needs up to several shares, and gives back at once
//! what it does not use. Where there are about as many hosts as connections, one unused connection
//! on each host would be all of them, so they are given back the sooner the fewer there are.

use std::time::Duration;

use crate::value_type;

/// How much more than an even share one host may take.
const MOST_SHARES: usize = 3;
/// What one host may take however small its share is: callers are spread unevenly, and few hosts
/// need that much at one moment.
const LEAST_LIMIT: usize = 8;
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
        /// How long it may keep those.
        pub allowed_idle: Duration,
        /// Whether it may keep one for good.
        pub may_keep_one: bool,
    }
}

impl ConnectionShare {
    /// The share of one of `hosts` in the `max` connections that an instance takes.
    pub fn new(max: usize, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let most = max.saturating_sub(RESERVED).max(1);
        let even = (max / hosts).max(1);
        // Half of the connections stay free for whoever needs them next.
        let idle_allowance = max / (2 * hosts);
        Self {
            limit: (even * MOST_SHARES).max(LEAST_LIMIT).min(most),
            idle_allowance: idle_allowance.max(1),
            allowed_idle: allowed_idle(max, hosts),
            may_keep_one: idle_allowance >= 1,
        }
    }

    /// Whether a connection that has been unused for `idle` is closed; `rank` counts the unused
    /// ones from 0, the one used last first.
    pub fn is_spare(&self, rank: usize, idle: Duration) -> bool {
        let kept = if rank < self.idle_allowance {
            self.allowed_idle
        } else {
            EXCESS_IDLE
        };
        idle > kept
    }
}

// Shorter in proportion where the allowance of all hosts together is more than half of `max`.
fn allowed_idle(max: usize, hosts: usize) -> Duration {
    let max = u32::try_from(max).unwrap_or(u32::MAX);
    let kept_at_most = u32::try_from(hosts.saturating_mul(2)).unwrap_or(u32::MAX);
    if max >= kept_at_most {
        return ALLOWED_IDLE;
    }
    (ALLOWED_IDLE * max / kept_at_most / 2).max(EXCESS_IDLE)
}
