//! The queue of requests that wait for a connection to an instance.
//!
//! Transactions hold the few connections even while they are idle, so requests queue for them in
//! bursts. The request with the highest priority that has not expired gets the next free
//! connection; a request that can't get one soon is refused while its caller still has time to try
//! elsewhere.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// The number by which a host identifies a waiting request.
pub type WaitTicket = u64;

value_type! {
    /// A request that waits for a connection.
    pub struct ConnectionRequest {
        /// The host's number for the request.
        pub ticket: WaitTicket,
        /// The request's priority; 0 is the highest.
        pub priority: u32,
        /// When the request asked for a connection.
        pub asked_at: Monotonic,
        /// When the request is refused if it still waits.
        pub give_up_at: Monotonic,
    }

    /// The queue for one instance on one host; a waiting request takes about 60 bytes of memory.
    #[derive(Default)]
    pub struct ConnectionQueue {
        /// When each request is refused, by priority, time of the request and ticket.
        waiting: BTreeMap<(u32, Monotonic, WaitTicket), Monotonic>,
        mean_hold_time: Duration,
    }
}

/// A new measurement has a weight of one in this many in the moving mean.
const INVERSE_WEIGHT: u32 = 8;

impl ConnectionQueue {
    /// Adds a request to the queue.
    pub fn push(&mut self, request: &ConnectionRequest) {
        let key = (request.priority, request.asked_at, request.ticket);
        self.waiting.insert(key, request.give_up_at);
    }

    /// Removes and returns the request that gets a connection that is free at `now`.
    ///
    /// Expired requests are skipped; their own timers refuse them.
    pub fn pop(&mut self, now: Monotonic) -> Option<WaitTicket> {
        let key = self
            .waiting
            .iter()
            .find(|(_, give_up_at)| **give_up_at > now)
            .map(|(key, _)| *key)?;
        self.waiting.remove(&key);
        Some(key.2)
    }

    /// Removes a request, for example one that was refused.
    pub fn cancel(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|key, _| key.2 != ticket);
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records how long a request held its connection.
    pub fn note_held(&mut self, held: Duration) {
        self.mean_hold_time = if self.mean_hold_time.is_zero() {
            held
        } else {
            (self.mean_hold_time * (INVERSE_WEIGHT - 1) + held) / INVERSE_WEIGHT
        };
    }

    /// Estimates how long a new request of `priority` waits if the host has `connections`
    /// connections.
    pub fn expected_wait(&self, priority: u32, connections: usize) -> Duration {
        let ahead = self.waiting.keys().filter(|key| key.0 <= priority).count();
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let connections = u32::try_from(connections.max(1)).unwrap_or(u32::MAX);
        self.mean_hold_time.saturating_mul(ahead) / connections
    }
}
