//! Who gets the next connection to an instance, and who waits no longer.
//!
//! The load pattern behind it: transactions pin the few connections through their pauses, so that
//! requests queue for them in bursts. What is worth most and still in time goes first; a request
//! that can't have one soon is refused while its caller still has time to try elsewhere.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// The host's own number of a request that waits.
pub type WaitTicket = u64;

value_type! {
    /// A request that waits for a connection.
    pub struct ConnectionRequest {
        /// The host's number for it.
        pub ticket: WaitTicket,
        /// Its rank; 0 goes first.
        pub priority: u32,
        /// When it was asked for.
        pub asked_at: Monotonic,
        /// When it is refused.
        pub give_up_at: Monotonic,
    }

    /// The queue of one instance on one host; a waiting request takes about 60 bytes.
    #[derive(Default)]
    pub struct ConnectionQueue {
        waiting: BTreeMap<(u32, Monotonic, WaitTicket), Monotonic>,
        hold_time: Duration,
    }
}

/// The part of a new measure in the mean is one in this many.
const SMOOTHING: u32 = 8;

impl ConnectionQueue {
    /// Adds a request.
    pub fn push(&mut self, request: &ConnectionRequest) {
        let key = (request.priority, request.asked_at, request.ticket);
        self.waiting.insert(key, request.give_up_at);
    }

    /// Takes out the request that gets a connection which is free at `now`.
    ///
    /// Requests whose time is over are passed over; their own timers refuse them.
    pub fn pop(&mut self, now: Monotonic) -> Option<WaitTicket> {
        let key = self
            .waiting
            .iter()
            .find(|(_, give_up_at)| **give_up_at > now)
            .map(|(key, _)| *key)?;
        self.waiting.remove(&key);
        Some(key.2)
    }

    /// Takes a request out, as when it was refused.
    pub fn cancel(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|key, _| key.2 != ticket);
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Notes how long a request held its connection.
    pub fn note_held(&mut self, held: Duration) {
        self.hold_time = if self.hold_time.is_zero() {
            held
        } else {
            (self.hold_time * (SMOOTHING - 1) + held) / SMOOTHING
        };
    }

    /// How long a new request of `priority` is expected to wait while `connections` are held.
    pub fn expected_wait(&self, priority: u32, connections: usize) -> Duration {
        let ahead = self.waiting.keys().filter(|key| key.0 <= priority).count();
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let connections = u32::try_from(connections.max(1)).unwrap_or(u32::MAX);
        self.hold_time.saturating_mul(ahead) / connections
    }
}
