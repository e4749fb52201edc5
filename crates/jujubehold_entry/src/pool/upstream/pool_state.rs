//! The connections of a pool and the requests that wait for one.

use std::collections::BTreeMap;

use jujubehold_core::connection_limit::ConnectionLimit;
use jujubehold_core::connection_queue::{ConnectionQueue, WaitTicket};
use jujubehold_core::prelude::*;
use jujubehold_core::use_interval::UseInterval;
use tokio::sync::oneshot;

use crate::pool::SessionValues;
use crate::pool::connection::UpstreamConnection;
use crate::protocol::Platform;

/// The idle connections of one pool, the count of all its connections, and the waiting requests.
#[derive(Debug)]
pub(super) struct PoolState<P: Platform> {
    /// The idle connections, the most recently used one last.
    pub(super) idle: Vec<UpstreamConnection<P>>,
    pub(super) limit: ConnectionLimit,
    pub(super) use_interval: UseInterval,
    pub(super) next_ticket: WaitTicket,
    pub(super) queue: ConnectionQueue,
    pub(super) waiters: BTreeMap<WaitTicket, Waiter<P>>,
}

/// A request that waits for a connection.
#[derive(Debug)]
pub(super) struct Waiter<P: Platform> {
    pub(super) customer: Option<CustomerId>,
    pub(super) sender: oneshot::Sender<Grant<P>>,
}

/// What a waiting request receives.
#[derive(Debug)]
pub(super) enum Grant<P: Platform> {
    Connection(Box<UpstreamConnection<P>>),
    /// The permission to open one more connection.
    OpenPermit,
}

impl<P: Platform> PoolState<P> {
    /// Creates an empty pool that may have `limit` connections.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            idle: Vec::new(),
            limit: ConnectionLimit::new(limit),
            use_interval: UseInterval::default(),
            next_ticket: 0,
            queue: ConnectionQueue::default(),
            waiters: BTreeMap::new(),
        }
    }

    /// Removes an idle connection of `customer`, preferably one on which `values` are already set.
    pub(super) fn take_idle(
        &mut self,
        customer: Option<&CustomerId>,
        values: &SessionValues,
    ) -> Option<UpstreamConnection<P>> {
        loop {
            let of_customer = |idle: &UpstreamConnection<P>| idle.customer() == customer;
            let matching = self
                .idle
                .iter()
                .rposition(|idle| of_customer(idle) && idle.has_values(values));
            let index = matching.or_else(|| self.idle.iter().rposition(of_customer))?;
            let connection = self.idle.remove(index);
            if !connection.is_stale() {
                return Some(connection);
            }
            self.limit.note_closed(1);
        }
    }

    /// Removes the most recently used idle connection, whichever customer it was opened for.
    pub(super) fn take_any_idle(&mut self) -> Option<UpstreamConnection<P>> {
        loop {
            let connection = self.idle.pop()?;
            if !connection.is_stale() {
                return Some(connection);
            }
            self.limit.note_closed(1);
        }
    }

    /// Makes room for another connection, if need be by closing idle ones, the least recently used
    /// first. Returns whether there is room.
    pub(super) fn make_room(&mut self, now: Monotonic) -> bool {
        let Some(count) = self.limit.closes_needed(now) else {
            return false;
        };
        if count > self.idle.len() {
            return false;
        }
        self.idle.drain(..count);
        self.limit.note_closed(count);
        true
    }

    /// Gives a returned connection to a waiting request, or keeps it idle. If it is the turn of a
    /// request of another customer, the connection is closed and the request may open one.
    pub(super) fn hand_on(&mut self, now: Monotonic, connection: UpstreamConnection<P>) {
        let mut connection = Box::new(connection);
        while let Some(waiter) = self.next_waiter_for(now, connection.customer()) {
            if waiter.customer.as_ref() != connection.customer() {
                if waiter.sender.send(Grant::OpenPermit).is_ok() {
                    self.limit.note_closed(1);
                    self.limit.begin_opening();
                    return;
                }
                continue;
            }
            match waiter.sender.send(Grant::Connection(connection)) {
                Err(Grant::Connection(returned)) => connection = returned,
                Ok(()) | Err(Grant::OpenPermit) => return,
            }
        }
        self.idle.push(*connection);
    }

    /// Closes idle connections beyond the limit while requests wait, which can't use them.
    pub(super) fn close_excess_idle(&mut self) {
        while self.limit.is_exceeded() && !self.queue.is_empty() && !self.idle.is_empty() {
            self.idle.remove(0);
            self.limit.note_closed(1);
        }
    }

    // Returns the waiting request that gets a free connection of `customer`, or that may open one
    // in its place.
    fn next_waiter_for(
        &mut self,
        now: Monotonic,
        customer: Option<&CustomerId>,
    ) -> Option<Waiter<P>> {
        // Only if this connection has to be closed for another one may a request of another customer
        // take its place.
        let ticket = if self.limit.closes_needed(now) == Some(1) {
            self.queue.pop_for(now, customer)
        } else {
            self.queue.pop_of(now, customer)
        }?;
        self.waiters.remove(&ticket)
    }

    fn next_waiter(&mut self, now: Monotonic) -> Option<Waiter<P>> {
        let ticket = self.queue.pop(now)?;
        self.waiters.remove(&ticket)
    }

    /// Lets waiting requests open connections while there is room for more, or room can be made.
    pub(super) fn grant_open_permits(&mut self, now: Monotonic) {
        while self.queue.has_unexpired(now) && self.make_room(now) {
            let Some(waiter) = self.next_waiter(now) else {
                return;
            };
            if waiter.sender.send(Grant::OpenPermit).is_ok() {
                self.limit.begin_opening();
            }
        }
    }
}
