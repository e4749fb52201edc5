//! How many connections to an instance one host may have, and how many it may keep idle.
//!
//! An instance accepts few connections, callers are spread unevenly over the hosts, and
//! transactions hold connections in bursts. Fixed equal shares would starve a busy host while other
//! hosts' connections stay idle. Each host may therefore use several equal shares, but closes idle
//! connections soon. Where there are about as many hosts as connections, one idle connection on
//! each host would use up all of them. Each host then keeps its connection for a part of the usual
//! time between its uses of the instance, so that at any moment the connections of a part of the
//! hosts are idle, however often they are used.

use std::time::Duration;

use crate::value_type;

/// How many equal shares one host may use.
const MAX_EQUAL_SHARES: usize = 3;
/// How many connections one host may use however small its share is: callers are spread unevenly,
/// and few hosts need this many at the same moment.
const MIN_CONNECTION_LIMIT: usize = 8;
/// How many of an instance's connections one host's callers never use. They are left to the calls
/// that hosts make beyond their limits: probes of the primary's position, status queries, and the
/// commands of a primary change.
const RESERVED_CONNECTIONS: usize = 2;
/// How long an idle connection within the allowance is kept.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest interval between two uses that counts: a host that uses an instance less often does
/// not hold back a connection for it.
const MAX_USE_INTERVAL: Duration = Duration::from_secs(10);
/// The longest time for which a host keeps an idle connection that it rarely uses.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long an idle connection beyond the allowance is kept: longer than the pauses between the
/// statements of one caller.
const EXCESS_IDLE_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an owner keeps an idle connection: longer than the pauses between the operations of a
/// customer with little traffic. Without a limit, connections of customers that left would occupy
/// the instance.
const OWNER_IDLE_TIMEOUT: Duration = Duration::from_mins(5);

value_type! {
    /// The limits on one host's connections to one instance.
    pub struct ConnectionShare {
        /// How many connections the host may have.
        pub limit: usize,
        /// How many idle connections the host may keep for `idle_timeout`.
        pub idle_allowance: usize,
        /// How long the host keeps idle connections within the allowance while it is not known how
        /// often it uses the instance.
        pub idle_timeout: Duration,
        /// How long the host keeps them for each second of the mean time between two uses; `None` if
        /// there are enough connections for all hosts.
        pub idle_time_per_second: Option<Duration>,
        /// Whether the host may keep one idle connection without a time limit.
        pub may_keep_one: bool,
    }
}

impl ConnectionShare {
    /// Computes the share of one of `hosts` hosts in the `max` connections that an instance
    /// accepts.
    pub fn new(max: usize, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        let max_limit = max.saturating_sub(RESERVED_CONNECTIONS).max(1);
        let equal_share = (max / hosts).max(1);
        // Half of the connections stay free for the hosts that need them next.
        let idle_allowance = max / (2 * hosts);
        Self {
            limit: (equal_share * MAX_EQUAL_SHARES)
                .max(MIN_CONNECTION_LIMIT)
                .min(max_limit),
            idle_allowance: idle_allowance.max(1),
            idle_timeout: idle_timeout(max, hosts),
            idle_time_per_second: idle_time_per_second(max, hosts),
            may_keep_one: idle_allowance >= 1,
        }
    }

    /// Computes the share of a host that owns connections to an instance and may have `limit`. It
    /// serves all customers of the service, so it keeps idle connections until their number is
    /// needed for another customer.
    ///
    /// Half of the limit stays free: an instance counts the connections of hosts that lost power
    /// for some seconds, and hosts that start again have no room beside them.
    pub fn of_owner(limit: usize) -> Self {
        Self {
            limit,
            idle_allowance: (limit / 2).max(1),
            idle_timeout: OWNER_IDLE_TIMEOUT,
            idle_time_per_second: None,
            may_keep_one: true,
        }
    }

    /// Computes the share of a host that may have `limit` connections while other hosts own those
    /// to the instance. It connects directly only while no owner responds.
    pub fn beside_owners(limit: usize) -> Self {
        Self {
            limit,
            idle_allowance: 0,
            idle_timeout: EXCESS_IDLE_TIMEOUT,
            idle_time_per_second: None,
            may_keep_one: false,
        }
    }

    /// Returns whether a connection that has been idle for `idle` should be closed.
    ///
    /// `rank` is the connection's place among the idle ones, from 0 for the most recently used;
    /// `use_interval` is the mean time between two uses of the instance, if it is known.
    pub fn is_idle_too_long(
        &self,
        rank: usize,
        idle: Duration,
        use_interval: Option<Duration>,
    ) -> bool {
        let timeout = if rank < self.idle_allowance {
            self.idle_timeout_for(use_interval)
        } else {
            EXCESS_IDLE_TIMEOUT
        };
        idle > timeout
    }

    fn idle_timeout_for(&self, use_interval: Option<Duration>) -> Duration {
        let (Some(per_second), Some(interval)) = (self.idle_time_per_second, use_interval) else {
            return self.idle_timeout;
        };
        let timeout = per_second.mul_f64(interval.min(MAX_USE_INTERVAL).as_secs_f64());
        timeout.clamp(EXCESS_IDLE_TIMEOUT, MAX_IDLE_TIMEOUT)
    }
}

// Shortens the timeout in proportion when the allowances of all hosts together exceed half of
// `max`.
fn idle_timeout(max: usize, hosts: usize) -> Duration {
    let max = u32::try_from(max).unwrap_or(u32::MAX);
    let twice_the_hosts = u32::try_from(hosts.saturating_mul(2)).unwrap_or(u32::MAX);
    if max >= twice_the_hosts {
        return IDLE_TIMEOUT;
    }
    (IDLE_TIMEOUT * max / twice_the_hosts / 2).max(EXCESS_IDLE_TIMEOUT)
}

// A host with a connection that it kept for t mean intervals after its last use has it open with the
// probability 1 - exp(-t), if its uses are independent of each other. Half of `max` connections are
// idle on all hosts together where that probability is max / (2 * hosts).
fn idle_time_per_second(max: usize, hosts: usize) -> Option<Duration> {
    let max = u32::try_from(max).unwrap_or(u32::MAX);
    let twice_the_hosts = u32::try_from(hosts.saturating_mul(2)).unwrap_or(u32::MAX);
    let share = f64::from(max) / f64::from(twice_the_hosts);
    (share < 1.0).then(|| Duration::from_secs(1).mul_f64(-(1.0 - share).ln()))
}
