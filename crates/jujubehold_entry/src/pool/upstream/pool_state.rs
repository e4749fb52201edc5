//! The connections of a pool and the requests that wait for one.

use std::collections::BTreeMap;

use jujubehold_core::connection_limit::ConnectionLimit;
use jujubehold_core::connection_queue::{ConnectionQueue, WaitTicket};
use jujubehold_core::prelude::*;
use jujubehold_core::use_interval::UseInterval;
use tokio::sync::oneshot;

use crate::pool::connection::{SessionValues, UpstreamConnection};
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

    /// Closes the least recently used idle connection if another one may then be opened. Returns
    /// whether there is room.
    pub(super) fn replace_idle(&mut self, now: Monotonic) -> bool {
        if self.idle.is_empty() || !self.limit.has_room_after_close(now) {
            return false;
        }
        self.idle.remove(0);
        self.limit.note_closed(1);
        true
    }

    /// Gives a returned connection to the request that is first in the queue, or keeps it idle. If
    /// it was opened for another customer, it is closed and the request may open one.
    pub(super) fn hand_on(&mut self, now: Monotonic, connection: UpstreamConnection<P>) {
        let mut connection = Box::new(connection);
        while let Some(waiter) = self.next_waiter(now) {
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

    /// Removes the waiting request that gets a connection that is free now.
    fn next_waiter(&mut self, now: Monotonic) -> Option<Waiter<P>> {
        let ticket = self.queue.pop(now)?;
        self.waiters.remove(&ticket)
    }

    /// Lets waiting requests open connections while there is room for more.
    pub(super) fn grant_open_permits(&mut self, now: Monotonic) {
        while self.limit.has_room(now) {
            let Some(waiter) = self.next_waiter(now) else {
                return;
            };
            if waiter.sender.send(Grant::OpenPermit).is_ok() {
                self.limit.begin_opening();
            }
        }
    }
}
