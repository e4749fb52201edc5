//! One instance and this host's connections to it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jujubehold_core::connection_limit::ConnectionLimit;
use jujubehold_core::connection_queue::{ConnectionQueue, ConnectionRequest, WaitTicket};
use jujubehold_core::connection_share::ConnectionShare;
use jujubehold_core::prelude::*;
use jujubehold_core::read_placement::PlacementOption;
use jujubehold_core::replica_lag::ReplicaLag;
use jujubehold_core::upstream_health::UpstreamHealth;
use jujubehold_core::wait_policy::WaitPolicy;
use metrics::counter;
use tokio::sync::oneshot;

use super::connection::{SessionValues, UpstreamConnection, UpstreamError};
use super::lease::ConnectionLease;
use crate::clock::Clock;
use crate::metric_names::UPSTREAM_OPENS;
use crate::protocol::{InstanceEntry, InstanceLifecycle, Platform};

/// How long a connection may take to open: a round trip between regions, the instance's own time
/// and one retransmission.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AcquireError {
    #[error("no connection came free in time")]
    NoneFree {
        /// How long a request is expected to wait now.
        expected_wait: Duration,
    },
    #[error(transparent)]
    Upstream(#[from] UpstreamError),
}

/// How a request waits for a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitLimits {
    /// Its rank; 0 goes first.
    pub(crate) priority: u32,
    /// When it is refused.
    pub(crate) give_up_at: Monotonic,
}

/// One instance as this host uses it.
#[derive(Debug)]
pub(crate) struct Upstream<P: Platform> {
    clock: Clock,
    host: HostId,
    entry: RefCell<InstanceEntry>,
    /// What this host's traffic tells of the instance.
    pub(crate) health: RefCell<UpstreamHealth>,
    /// How late it is as a replica.
    pub(crate) lag: RefCell<ReplicaLag>,
    pool: RefCell<PoolState<P>>,
    /// When each request was sent that has had no answer, by its ticket.
    in_flight: RefCell<BTreeMap<WaitTicket, Monotonic>>,
}

#[derive(Debug)]
struct PoolState<P: Platform> {
    idle: Vec<UpstreamConnection<P>>,
    limit: ConnectionLimit,
    next_ticket: WaitTicket,
    queue: ConnectionQueue,
    waiters: BTreeMap<WaitTicket, oneshot::Sender<Grant<P>>>,
}

/// What a waiting request is given.
#[derive(Debug)]
enum Grant<P: Platform> {
    Connection(Box<UpstreamConnection<P>>),
    /// Room for one more connection, which the request opens itself.
    Room,
}

impl<P: Platform> Upstream<P> {
    pub(crate) fn new(clock: Clock, host: HostId, entry: InstanceEntry, limit: usize) -> Self {
        Self {
            clock,
            host,
            entry: RefCell::new(entry),
            health: RefCell::new(UpstreamHealth::default()),
            lag: RefCell::new(ReplicaLag::default()),
            pool: RefCell::new(PoolState {
                idle: Vec::new(),
                limit: ConnectionLimit::new(limit),
                next_ticket: 0,
                queue: ConnectionQueue::default(),
                waiters: BTreeMap::new(),
            }),
            in_flight: RefCell::new(BTreeMap::new()),
        }
    }

    /// The instance's newest entry.
    pub(crate) fn entry(&self) -> InstanceEntry {
        self.entry.borrow().clone()
    }

    /// The instance's name.
    pub(crate) fn id(&self) -> InstanceId {
        self.entry.borrow().id.clone()
    }

    /// Whether it belongs to `service`.
    pub(crate) fn is_of(&self, service: &str) -> bool {
        self.entry.borrow().service == service
    }

    /// Whether it may be given new work as a replica.
    pub(crate) fn takes_work(&self) -> bool {
        self.entry.borrow().lifecycle == InstanceLifecycle::Serving
    }

    /// Takes in a newer entry of the same instance.
    pub(crate) fn set_entry(&self, entry: InstanceEntry) {
        *self.entry.borrow_mut() = entry;
    }

    /// What placement goes by.
    pub(crate) fn placement_option(
        &self,
        is_primary: bool,
        domain: &str,
        wait: Duration,
    ) -> PlacementOption {
        let entry = self.entry.borrow();
        let waiting = u32::try_from(self.pool.borrow().queue.len()).unwrap_or(u32::MAX);
        PlacementOption {
            instance: entry.id.clone(),
            is_primary,
            is_same_domain: entry.domain == domain,
            in_flight: self.in_flight_count().saturating_add(waiting),
            slots: entry.slots,
            wait,
            health: self.health.borrow().clone(),
        }
    }

    /// Counts a request that is on its way to the instance until the guard is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>) -> InFlight<P> {
        let mut in_flight = self.in_flight.borrow_mut();
        // Tickets only rise, so that the oldest request stands first.
        let ticket = in_flight.last_key_value().map_or(0, |(last, _)| last + 1);
        in_flight.insert(ticket, self.clock.now());
        InFlight {
            upstream: Rc::clone(self),
            ticket,
        }
    }

    fn in_flight_count(&self) -> u32 {
        u32::try_from(self.in_flight.borrow().len()).unwrap_or(u32::MAX)
    }

    /// Since when the instance has given no answer although something was asked of it.
    pub(crate) fn silent_since(&self) -> Option<Monotonic> {
        let health = self.health.borrow();
        let waiting_since = self
            .in_flight
            .borrow()
            .first_key_value()
            .map(|(_, sent_at)| *sent_at)
            .filter(|sent_at| !health.has_answered_since(*sent_at));
        health.silent_since().or(waiting_since)
    }

    /// Lends a connection, preferably one that has `values` already.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        values: &SessionValues,
        limits: WaitLimits,
    ) -> Result<ConnectionLease<P>, AcquireError> {
        if let Some(connection) = self.take_idle(values) {
            return Ok(self.lend(connection));
        }
        let mut has_room = self.take_room();
        loop {
            if has_room {
                match self.open().await {
                    Ok(lease) => return Ok(lease),
                    // The instance has none left now; one that is given back here, or room for
                    // another one there, may still come in time.
                    Err(UpstreamError::ConnectionLimit) => {}
                    Err(error) => return Err(error.into()),
                }
            }
            match self.wait(limits).await? {
                Grant::Connection(connection) => return Ok(self.lend(*connection)),
                Grant::Room => has_room = true,
            }
        }
    }

    /// An idle connection, if there is one; nothing waits or opens for it.
    pub(crate) fn acquire_idle(self: &Rc<Self>) -> Option<ConnectionLease<P>> {
        let connection = self.take_idle(&SessionValues::new())?;
        Some(self.lend(connection))
    }

    /// Lends a connection within the limit, or opens one beyond it: for calls that decide over the
    /// group and must not wait for callers.
    pub(crate) async fn acquire_for_control(
        self: &Rc<Self>,
    ) -> Result<ConnectionLease<P>, UpstreamError> {
        if let Some(lease) = self.acquire_idle() {
            return Ok(lease);
        }
        self.pool.borrow_mut().limit.begin_opening();
        self.open().await
    }

    async fn wait(self: &Rc<Self>, limits: WaitLimits) -> Result<Grant<P>, AcquireError> {
        let now = self.clock.now();
        let expected_wait = {
            let pool = self.pool.borrow();
            pool.queue
                .expected_wait(limits.priority, pool.limit.open_count())
        };
        let policy = WaitPolicy::default();
        if !policy.is_worth_waiting(now, limits.give_up_at, expected_wait) {
            return Err(AcquireError::NoneFree { expected_wait });
        }
        let (ticket, mut granted) = self.enqueue(now, limits);
        let mut ticket_guard = WaitGuard {
            upstream: self,
            ticket: Some(ticket),
        };
        let limit = limits.give_up_at.saturating_sub(now);
        let waited = tokio::time::timeout(limit, &mut granted).await;
        let in_time = waited.ok().and_then(Result::ok);
        // What was given in the last moment must not be lost.
        granted.close();
        let Some(grant) = in_time.or_else(|| granted.try_recv().ok()) else {
            return Err(AcquireError::NoneFree { expected_wait });
        };
        ticket_guard.ticket = None;
        Ok(grant)
    }

    fn enqueue(
        &self,
        now: Monotonic,
        limits: WaitLimits,
    ) -> (WaitTicket, oneshot::Receiver<Grant<P>>) {
        let (sender, receiver) = oneshot::channel();
        let mut pool = self.pool.borrow_mut();
        pool.next_ticket += 1;
        let ticket = pool.next_ticket;
        pool.queue.push(&ConnectionRequest {
            ticket,
            priority: limits.priority,
            asked_at: now,
            give_up_at: limits.give_up_at,
        });
        pool.waiters.insert(ticket, sender);
        (ticket, receiver)
    }

    fn take_idle(&self, values: &SessionValues) -> Option<UpstreamConnection<P>> {
        let mut pool = self.pool.borrow_mut();
        loop {
            let matching = pool.idle.iter().rposition(|idle| idle.has_values(values));
            let index = matching.or_else(|| pool.idle.len().checked_sub(1))?;
            let connection = pool.idle.remove(index);
            if !connection.is_stale() {
                return Some(connection);
            }
            pool.limit.note_closed(1);
        }
    }

    fn take_room(&self) -> bool {
        let mut pool = self.pool.borrow_mut();
        let has_room = pool.limit.has_room(self.clock.now());
        if has_room {
            pool.limit.begin_opening();
        }
        has_room
    }

    // The connection is counted already; one that can't be opened is taken off again.
    async fn open(self: &Rc<Self>) -> Result<ConnectionLease<P>, UpstreamError> {
        let mut opening = OpeningGuard {
            upstream: Some(self),
        };
        let entry = self.entry();
        let begun_at = self.clock.now();
        let opened = UpstreamConnection::open(
            entry.address,
            &entry.service,
            &self.host,
            &entry.id,
            OPEN_TIMEOUT,
        )
        .await;
        let now = self.clock.now();
        match opened {
            Ok((connection, _)) => {
                counter!(UPSTREAM_OPENS, "service" => entry.service.to_string(),
                    "instance" => entry.id.to_string())
                .increment(1);
                self.health.borrow_mut().note_alive(now);
                opening.upstream = None;
                let mut pool = self.pool.borrow_mut();
                pool.limit.end_opening();
                pool.offer_room(now);
                drop(pool);
                Ok(self.lend(connection))
            }
            Err(error) => {
                self.note_open_failure(now, begun_at, &error);
                Err(error)
            }
        }
    }

    fn note_open_failure(&self, now: Monotonic, begun_at: Monotonic, error: &UpstreamError) {
        match error {
            UpstreamError::ConnectionLimit => {
                self.pool.borrow_mut().limit.note_refused(now);
                self.health.borrow_mut().note_alive(now);
            }
            UpstreamError::Unreachable(_)
            | UpstreamError::Refused(_)
            | UpstreamError::Broken(_)
            | UpstreamError::Malformed
            | UpstreamError::Silent => self.health.borrow_mut().note_silent(now, begun_at),
        }
    }

    fn lend(self: &Rc<Self>, connection: UpstreamConnection<P>) -> ConnectionLease<P> {
        ConnectionLease::new(Rc::clone(self), connection, self.clock.now())
    }

    pub(super) fn take_back(&self, mut connection: UpstreamConnection<P>, taken_at: Monotonic) {
        let now = self.clock.now();
        if !connection.is_reusable() {
            drop(connection);
            self.note_closed(taken_at);
            return;
        }
        connection.idle_since = now;
        let mut pool = self.pool.borrow_mut();
        pool.queue.note_held(now.saturating_sub(taken_at));
        if pool.limit.is_exceeded() {
            pool.limit.note_closed(1);
            return;
        }
        let mut connection = Box::new(connection);
        while let Some(waiter) = pool.next_waiter(now) {
            match waiter.send(Grant::Connection(connection)) {
                Err(Grant::Connection(returned)) => connection = returned,
                Ok(()) | Err(Grant::Room) => return,
            }
        }
        pool.idle.push(*connection);
    }

    pub(super) fn note_closed(&self, taken_at: Monotonic) {
        let now = self.clock.now();
        self.pool
            .borrow_mut()
            .queue
            .note_held(now.saturating_sub(taken_at));
        self.free_room(now);
    }

    // One connection less is open, so one that waits may open another.
    fn free_room(&self, now: Monotonic) {
        let mut pool = self.pool.borrow_mut();
        pool.limit.note_closed(1);
        pool.offer_room(now);
    }

    /// Notes that the instance was too busy to run what this host sent: fewer of its requests go there
    /// side by side for a while, and the others wait here in their order.
    pub(crate) fn note_busy(&self) {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        let unused = pool.idle.len();
        pool.limit.note_busy(now, unused);
    }

    /// Sets how many connections this host may have, closes idle ones that it need not keep and lets
    /// the limit rise again after a refusal.
    pub(crate) fn keep(&self, share: &ConnectionShare, keeps_one: bool) {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        pool.limit.raise(now, share.limit);
        let before = pool.idle.len();
        // The one used last stands last.
        let mut rank = before;
        pool.idle.retain(|connection| {
            rank -= 1;
            let idle = now.saturating_sub(connection.idle_since);
            let is_kept = (keeps_one && rank == 0) || !share.is_idle_too_long(rank, idle);
            is_kept && !connection.is_stale()
        });
        let closed = before - pool.idle.len();
        pool.limit.note_closed(closed);
        pool.offer_room(now);
    }

    /// Closes every idle connection.
    pub(crate) fn close_idle(&self) {
        let mut pool = self.pool.borrow_mut();
        let closed = pool.idle.len();
        pool.limit.note_closed(closed);
        pool.idle.clear();
    }
}

impl<P: Platform> PoolState<P> {
    fn next_waiter(&mut self, now: Monotonic) -> Option<oneshot::Sender<Grant<P>>> {
        let ticket = self.queue.pop(now)?;
        self.waiters.remove(&ticket)
    }

    fn offer_room(&mut self, now: Monotonic) {
        while self.limit.has_room(now) {
            let Some(waiter) = self.next_waiter(now) else {
                return;
            };
            if waiter.send(Grant::Room).is_ok() {
                self.limit.begin_opening();
            }
        }
    }
}

/// Takes a request out of the queue when it stops waiting.
struct WaitGuard<'a, P: Platform> {
    upstream: &'a Upstream<P>,
    ticket: Option<WaitTicket>,
}

impl<P: Platform> Drop for WaitGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let mut pool = self.upstream.pool.borrow_mut();
            pool.queue.cancel(ticket);
            pool.waiters.remove(&ticket);
        }
    }
}

/// Takes a connection that is being opened off the count when that ends without one.
struct OpeningGuard<'a, P: Platform> {
    upstream: Option<&'a Upstream<P>>,
}

impl<P: Platform> Drop for OpeningGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(upstream) = self.upstream {
            let now = upstream.clock.now();
            upstream.pool.borrow_mut().limit.end_opening();
            upstream.free_room(now);
        }
    }
}

/// A request that is on its way to an instance.
#[derive(Debug)]
pub(crate) struct InFlight<P: Platform> {
    upstream: Rc<Upstream<P>>,
    ticket: WaitTicket,
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.upstream.in_flight.borrow_mut().remove(&self.ticket);
    }
}
