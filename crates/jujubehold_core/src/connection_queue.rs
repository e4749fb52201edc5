//! The queue of requests that wait for a connection to an instance.
//!
//! Transactions hold the few connections even while they are idle, so requests queue for them in
//! bursts. The request with the highest priority that has not expired gets the next free
//! connection; a request that can't get one soon is refused while its caller still has time to try
//! elsewhere. Within a priority, the customers take turns: a customer that sends nine times its
//! usual rate makes its own requests wait, not those of others.
//!
//! A connection runs statements of one customer only. Opening another one takes a slot of the
//! instance for 12 ms and two round trips, so a connection that becomes free goes to a request of
//! its own customer, as long as no request of the same priority is held up for long by that.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{CustomerId, Monotonic};
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
        /// The customer whose statements the connection must run; requests without a customer take
        /// their turns together, like those of one customer.
        pub customer: Option<CustomerId>,
        /// When the request asked for a connection.
        pub asked_at: Monotonic,
        /// When the request is refused if it still waits.
        pub give_up_at: Monotonic,
    }

    /// The queue for one instance on one host; a waiting request takes about 100 bytes of memory.
    #[derive(Default)]
    pub struct ConnectionQueue {
        waiting: BTreeMap<Place, Entry>,
        /// The round of the last request of each priority that was served in its turn.
        rounds: BTreeMap<u32, u64>,
        /// The last round in which each customer was served, unless that is an earlier one than the
        /// current round of its priority.
        served_rounds: BTreeMap<(u32, Option<CustomerId>), u64>,
        mean_hold_time: Duration,
    }
}

crate::key_type! {
    /// The place of a request in the queue. In each round, each customer has at most one request.
    struct Place {
        priority: u32,
        round: u64,
        asked_at: Monotonic,
        ticket: WaitTicket,
    }
}

value_type! {
    struct Entry {
        customer: Option<CustomerId>,
        give_up_at: Monotonic,
    }
}

/// A new measurement has a weight of one in this many in the moving mean.
const INVERSE_WEIGHT: u32 = 8;
/// A request may be passed over in favor of the customer of a free connection during the first one
/// in this many parts of the time for which it can wait. Most of that time is left for its turn.
const PASSED_OVER_FRACTION: u32 = 4;

impl ConnectionQueue {
    /// Adds a request to the queue.
    pub fn push(&mut self, request: &ConnectionRequest) {
        let place = Place {
            priority: request.priority,
            round: self.next_round(request.priority, request.customer.as_ref()),
            asked_at: request.asked_at,
            ticket: request.ticket,
        };
        let entry = Entry {
            customer: request.customer.clone(),
            give_up_at: request.give_up_at,
        };
        self.waiting.insert(place, entry);
    }

    /// Removes and returns the request whose turn it is to get or open a connection at `now`.
    ///
    /// Expired requests are skipped; their own timers refuse them.
    pub fn pop(&mut self, now: Monotonic) -> Option<WaitTicket> {
        let place = self.first(now, |_, _| true)?;
        self.rounds.insert(place.priority, place.round);
        self.served_rounds
            .retain(|(priority, _), round| *priority != place.priority || *round >= place.round);
        self.serve(place)
    }

    /// Removes and returns the request that gets a connection of `customer` that is free at `now`,
    /// or, if it is one of another customer, may open one in its place.
    pub fn pop_for(&mut self, now: Monotonic, customer: Option<&CustomerId>) -> Option<WaitTicket> {
        let turn = self.first(now, |_, _| true)?;
        if !self.may_be_passed_over(turn, now) {
            return self.pop(now);
        }
        let same = self.first(now, |place, entry| {
            place.priority == turn.priority && entry.customer.as_ref() == customer
        });
        match same {
            Some(same) if same != turn => self.serve(same),
            Some(_) | None => self.pop(now),
        }
    }

    /// Removes and returns the first request of `customer`, while no other connection can be
    /// opened, so that no other request could use a free connection of this customer.
    pub fn pop_of(&mut self, now: Monotonic, customer: Option<&CustomerId>) -> Option<WaitTicket> {
        let place = self.first(now, |_, entry| entry.customer.as_ref() == customer)?;
        self.serve(place)
    }

    /// Removes a request, for example one that was refused.
    pub fn cancel(&mut self, ticket: WaitTicket) {
        self.waiting.retain(|place, _| place.ticket != ticket);
        self.forget_rounds_if_empty();
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns whether a request waits that has not expired.
    pub fn has_unexpired(&self, now: Monotonic) -> bool {
        self.waiting.values().any(|entry| entry.give_up_at > now)
    }

    /// Records how long a request held its connection.
    pub fn note_held(&mut self, held: Duration) {
        self.mean_hold_time = if self.mean_hold_time.is_zero() {
            held
        } else {
            (self.mean_hold_time * (INVERSE_WEIGHT - 1) + held) / INVERSE_WEIGHT
        };
    }

    /// Estimates how long a new request of `customer` with `priority` waits if the host has
    /// `connections` connections.
    pub fn expected_wait(
        &self,
        priority: u32,
        customer: Option<&CustomerId>,
        connections: usize,
    ) -> Duration {
        let own = (priority, self.next_round(priority, customer));
        let is_ahead = |place: &&Place| (place.priority, place.round) <= own;
        let ahead = self.waiting.keys().filter(is_ahead).count();
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let connections = u32::try_from(connections.max(1)).unwrap_or(u32::MAX);
        self.mean_hold_time.saturating_mul(ahead) / connections
    }

    // Returns the first request that has not expired and for which `matches` holds.
    fn first(&self, now: Monotonic, matches: impl Fn(&Place, &Entry) -> bool) -> Option<Place> {
        self.waiting
            .iter()
            .find(|(place, entry)| entry.give_up_at > now && matches(place, entry))
            .map(|(place, _)| *place)
    }

    // A request joins the current round, unless its customer was served in it or has requests that
    // wait for their turn.
    fn next_round(&self, priority: u32, customer: Option<&CustomerId>) -> u64 {
        let current = self.rounds.get(&priority).copied();
        let served = self.served_rounds.get(&(priority, customer.cloned()));
        let is_own = |place: &Place, entry: &Entry| {
            place.priority == priority && entry.customer.as_ref() == customer
        };
        let last_own = self
            .waiting
            .iter()
            .rfind(|(place, entry)| is_own(place, entry));
        current
            .max(served.map(|round| round + 1))
            .max(last_own.map(|(place, _)| place.round + 1))
            .unwrap_or(0)
    }

    fn may_be_passed_over(&self, place: Place, now: Monotonic) -> bool {
        let Some(entry) = self.waiting.get(&place) else {
            return false;
        };
        let longest_wait = entry.give_up_at.saturating_sub(place.asked_at);
        now.saturating_sub(place.asked_at) < longest_wait / PASSED_OVER_FRACTION
    }

    fn serve(&mut self, place: Place) -> Option<WaitTicket> {
        let entry = self.waiting.remove(&place)?;
        self.served_rounds
            .insert((place.priority, entry.customer), place.round);
        self.forget_rounds_if_empty();
        Some(place.ticket)
    }

    fn forget_rounds_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.rounds.clear();
            self.served_rounds.clear();
        }
    }
}
