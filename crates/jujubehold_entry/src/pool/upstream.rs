//! An instance and this host's connections to it.

mod in_flight;
mod opening_guard;
mod pool_state;
mod queue_guard;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jujubehold_core::connection_owners::ConnectionOwners;
use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::connection_queue::{ConnectionRequest, WaitTicket};
use jujubehold_core::connection_share::ConnectionShare;
use jujubehold_core::prelude::*;
use jujubehold_core::read_placement::PlacementOption;
use jujubehold_core::replica_lag::ReplicaLag;
use jujubehold_core::upstream_health::UpstreamHealth;
use jujubehold_core::wait_policy::WaitPolicy;
use metrics::counter;
use tokio::sync::oneshot;

use super::connection::{UpstreamConnection, UpstreamError};
use super::lease::ConnectionLease;
use super::statement::SessionValues;
use crate::clock::Clock;
use crate::metric_names::{UPSTREAM_OPEN_ATTEMPTS, UPSTREAM_OPENS};
use crate::protocol::{ErrorCode, InstanceEntry, InstanceLifecycle, Platform};
use in_flight::{InFlight, InFlightAtOwner};
use opening_guard::OpeningGuard;
use pool_state::{Grant, PoolState, Waiter};
use queue_guard::QueueGuard;

/// The timeout for opening a connection: a round trip between regions, the instance's processing
/// time and one retransmission.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// Why no connection could be acquired.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AcquireError {
    #[error("no connection became free in time")]
    NoneFree {
        /// The wait that was expected when the request asked for a connection.
        expected_wait: Duration,
    },
    #[error(transparent)]
    Upstream(#[from] UpstreamError),
}

impl AcquireError {
    /// Returns the refusal of the request that needed the connection.
    pub(crate) fn refusal(&self) -> Refusal {
        let (reason, expected_wait) = match self {
            Self::NoneFree { expected_wait } => (RefusalReason::QueueFull, *expected_wait),
            Self::Upstream(UpstreamError::ConnectionLimit) => {
                (RefusalReason::QueueFull, Duration::ZERO)
            }
            Self::Upstream(_) => (
                RefusalReason::UpstreamUnreachable,
                WaitPolicy::EXPECTED_PRIMARY_CHANGE,
            ),
        };
        WaitPolicy::default().refuse(reason, expected_wait)
    }
}

/// How a request waits for a connection.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitLimits {
    /// The request's priority; 0 is the highest.
    pub(crate) priority: u32,
    /// When the request is refused if it still waits.
    pub(crate) give_up_at: Monotonic,
}

/// An instance, its health and lag as this host observes them, and the pool of connections to it.
#[derive(Debug)]
pub(crate) struct Upstream<P: Platform> {
    clock: Clock,
    host: HostId,
    entry: RefCell<InstanceEntry>,
    /// The instance's health, observed from this host's traffic.
    pub(crate) health: RefCell<UpstreamHealth>,
    /// The instance's lag as a replica.
    pub(crate) lag: RefCell<ReplicaLag>,
    pool: RefCell<PoolState<P>>,
    /// When each unanswered request was sent, by ticket.
    in_flight: RefCell<BTreeMap<WaitTicket, Monotonic>>,
    /// The number of unanswered requests of this host that owners run.
    in_flight_at_owners: Cell<u32>,
    /// The hosts that own the connections to the instance; `None` if all hosts connect directly.
    owners: RefCell<Option<Rc<ConnectionOwners>>>,
    /// What the owners were computed from.
    owners_basis: Cell<Option<OwnersBasis>>,
}

jujubehold_core::key_type! {
    /// What the owners of an instance's connections are computed from.
    pub(crate) struct OwnersBasis {
        /// The digest of the list of hosts.
        pub(crate) hosts_digest: u64,
        /// How many connections the instance accepts.
        pub(crate) max_connections: usize,
        /// How many hosts keep a connection for control calls.
        pub(crate) control_connections: usize,
    }
}

impl<P: Platform> Upstream<P> {
    pub(crate) fn new(clock: Clock, host: HostId, entry: InstanceEntry, limit: usize) -> Self {
        Self {
            clock,
            host,
            entry: RefCell::new(entry),
            health: RefCell::new(UpstreamHealth::default()),
            lag: RefCell::new(ReplicaLag::default()),
            pool: RefCell::new(PoolState::new(limit)),
            in_flight: RefCell::new(BTreeMap::new()),
            in_flight_at_owners: Cell::new(0),
            owners: RefCell::new(None),
            owners_basis: Cell::new(None),
        }
    }

    /// Returns the instance's newest entry.
    pub(crate) fn entry(&self) -> InstanceEntry {
        self.entry.borrow().clone()
    }

    /// Returns the instance's name.
    pub(crate) fn id(&self) -> InstanceId {
        self.entry.borrow().id.clone()
    }

    /// Returns whether the instance belongs to `service`.
    pub(crate) fn belongs_to(&self, service: &str) -> bool {
        self.entry.borrow().service == service
    }

    /// Returns whether the instance accepts new work as a replica.
    pub(crate) fn accepts_work(&self) -> bool {
        self.entry.borrow().lifecycle == InstanceLifecycle::Serving
    }

    /// Replaces the entry with a newer one of the same instance.
    pub(crate) fn set_entry(&self, entry: InstanceEntry) {
        *self.entry.borrow_mut() = entry;
    }

    /// Returns the instance as an option for the placement of a read.
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

    /// Counts a request to the instance as in flight until the guard is dropped.
    pub(crate) fn begin_request(self: &Rc<Self>) -> InFlight<P> {
        let mut in_flight = self.in_flight.borrow_mut();
        // A new ticket is higher than all present ones, so the oldest request comes first.
        let ticket = in_flight.last_key_value().map_or(0, |(last, _)| last + 1);
        in_flight.insert(ticket, self.clock.now());
        InFlight {
            upstream: Rc::clone(self),
            ticket,
        }
    }

    /// The same as [`Self::begin_request`] for a request that an owner runs. Its silence may be that
    /// of the owner, so it says nothing about the instance.
    pub(crate) fn begin_request_at_owner(self: &Rc<Self>) -> InFlightAtOwner<P> {
        let count = &self.in_flight_at_owners;
        count.set(count.get() + 1);
        InFlightAtOwner {
            upstream: Rc::clone(self),
        }
    }

    fn in_flight_count(&self) -> u32 {
        let direct = u32::try_from(self.in_flight.borrow().len()).unwrap_or(u32::MAX);
        direct.saturating_add(self.in_flight_at_owners.get())
    }

    /// Returns the time by this host's clock.
    pub(super) fn now(&self) -> Monotonic {
        self.clock.now()
    }

    /// Returns the hosts that own the connections to the instance, if any do.
    pub(crate) fn owners(&self) -> Option<Rc<ConnectionOwners>> {
        self.owners.borrow().clone()
    }

    /// Returns whether the owners were computed from another basis.
    pub(crate) fn must_compute_owners(&self, basis: OwnersBasis) -> bool {
        self.owners_basis.replace(Some(basis)) != Some(basis)
    }

    /// Replaces the owners.
    pub(crate) fn set_owners(&self, owners: Option<ConnectionOwners>) {
        *self.owners.borrow_mut() = owners.map(Rc::new);
    }

    /// Returns since when the instance has not answered requests, or `None` if it is answering.
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

    /// Leases a connection that runs statements of `customer` only, preferably one on which
    /// `values` are already set.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        customer: Option<&CustomerId>,
        values: &SessionValues,
        limits: WaitLimits,
    ) -> Result<ConnectionLease<P>, AcquireError> {
        if let Some(connection) = self.take_idle(customer, values) {
            return Ok(self.lease(connection));
        }
        let mut has_room = self.try_begin_opening();
        loop {
            if has_room {
                match self.open(customer, ConnectionPurpose::Callers).await {
                    Ok(lease) => return Ok(lease),
                    // The instance accepts no more connections now, but one may still be returned
                    // to this pool, or the instance may accept another one, in time.
                    Err(UpstreamError::ConnectionLimit) => {}
                    Err(error) => return Err(error.into()),
                }
            }
            match self.wait(customer, limits).await? {
                Grant::Connection(connection) => return Ok(self.lease(*connection)),
                Grant::OpenPermit => has_room = true,
            }
        }
    }

    /// Leases an idle connection if there is one, without waiting or opening one.
    pub(crate) fn acquire_idle(self: &Rc<Self>) -> Option<ConnectionLease<P>> {
        let connection = {
            let mut pool = self.pool.borrow_mut();
            let connection = pool.take_any_idle();
            // Stale connections that were closed make room.
            pool.grant_open_permits(self.clock.now());
            connection?
        };
        Some(self.lease(connection))
    }

    /// Leases an idle connection, or opens one even beyond the limit. For control calls, on which
    /// the group depends and which must not wait for callers.
    pub(crate) async fn acquire_for_control(
        self: &Rc<Self>,
        purpose: ConnectionPurpose,
    ) -> Result<ConnectionLease<P>, UpstreamError> {
        if let Some(lease) = self.acquire_idle() {
            return Ok(lease);
        }
        self.pool.borrow_mut().limit.begin_opening();
        self.open(None, purpose).await
    }

    async fn wait(
        self: &Rc<Self>,
        customer: Option<&CustomerId>,
        limits: WaitLimits,
    ) -> Result<Grant<P>, AcquireError> {
        let now = self.clock.now();
        let expected_wait = {
            let pool = self.pool.borrow();
            pool.queue
                .expected_wait(limits.priority, customer, pool.limit.open_count())
        };
        let policy = WaitPolicy::default();
        if !policy.is_worth_waiting(now, limits.give_up_at, expected_wait) {
            return Err(AcquireError::NoneFree { expected_wait });
        }
        let (ticket, mut grant_receiver) = self.enqueue(now, customer, limits);
        let mut queue_guard = QueueGuard {
            upstream: self,
            ticket: Some(ticket),
        };
        let limit = limits.give_up_at.saturating_sub(now);
        let waited = tokio::time::timeout(limit, &mut grant_receiver).await;
        let received = waited.ok().and_then(Result::ok);
        // A grant that arrived just after the timeout must not be lost.
        grant_receiver.close();
        let Some(grant) = received.or_else(|| grant_receiver.try_recv().ok()) else {
            return Err(AcquireError::NoneFree { expected_wait });
        };
        queue_guard.ticket = None;
        Ok(grant)
    }

    fn enqueue(
        &self,
        now: Monotonic,
        customer: Option<&CustomerId>,
        limits: WaitLimits,
    ) -> (WaitTicket, oneshot::Receiver<Grant<P>>) {
        let (sender, receiver) = oneshot::channel();
        let mut pool = self.pool.borrow_mut();
        pool.next_ticket += 1;
        let ticket = pool.next_ticket;
        pool.queue.push(&ConnectionRequest {
            ticket,
            priority: limits.priority,
            customer: customer.cloned(),
            asked_at: now,
            give_up_at: limits.give_up_at,
        });
        let customer = customer.cloned();
        pool.waiters.insert(ticket, Waiter { customer, sender });
        (ticket, receiver)
    }

    fn take_idle(
        &self,
        customer: Option<&CustomerId>,
        values: &SessionValues,
    ) -> Option<UpstreamConnection<P>> {
        self.pool.borrow_mut().take_idle(customer, values)
    }

    // Closes idle connections of other customers if the new one has no room beside them. Requests
    // that already wait come first.
    fn try_begin_opening(&self) -> bool {
        let mut pool = self.pool.borrow_mut();
        let now = self.clock.now();
        pool.grant_open_permits(now);
        let has_room = pool.make_room(now);
        if has_room {
            pool.limit.begin_opening();
        }
        has_room
    }

    // The connection is already counted; if it can't be opened, it is removed from the count.
    async fn open(
        self: &Rc<Self>,
        customer: Option<&CustomerId>,
        purpose: ConnectionPurpose,
    ) -> Result<ConnectionLease<P>, UpstreamError> {
        let mut opening = OpeningGuard {
            upstream: Some(self),
        };
        let entry = self.entry();
        let begun_at = self.clock.now();
        let opened = UpstreamConnection::open(
            entry.address,
            &entry.service,
            customer,
            &self.host,
            &entry.id,
            OPEN_TIMEOUT,
        )
        .await;
        let now = self.clock.now();
        let outcome = if opened.is_ok() { "opened" } else { "failed" };
        counter!(UPSTREAM_OPEN_ATTEMPTS, "purpose" => purpose.as_str(), "outcome" => outcome)
            .increment(1);
        match opened {
            Ok((connection, _)) => {
                counter!(UPSTREAM_OPENS, "service" => entry.service.to_string(),
                    "instance" => entry.id.to_string())
                .increment(1);
                self.health.borrow_mut().note_alive(now);
                opening.upstream = None;
                let mut pool = self.pool.borrow_mut();
                pool.limit.end_opening();
                pool.grant_open_permits(now);
                drop(pool);
                Ok(self.lease(connection))
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
            // The instance answers, but does not know this customer.
            UpstreamError::Refused(ErrorCode::AuthenticationFailed) => {
                self.health.borrow_mut().note_alive(now);
            }
            // The name was not sent to the instance; the others do not occur while a connection is
            // opened.
            UpstreamError::InvalidName(_) | UpstreamError::NotRun(_) | UpstreamError::OwnerLost => {
            }
            UpstreamError::Unreachable(_)
            | UpstreamError::Refused(_)
            | UpstreamError::Broken(_)
            | UpstreamError::Malformed
            | UpstreamError::TimedOut => self.health.borrow_mut().note_silent(now, begun_at),
        }
    }

    fn lease(self: &Rc<Self>, connection: UpstreamConnection<P>) -> ConnectionLease<P> {
        let now = self.clock.now();
        self.pool.borrow_mut().use_interval.note_use(now);
        ConnectionLease::new(Rc::clone(self), connection, now)
    }

    pub(super) fn return_connection(
        &self,
        mut connection: UpstreamConnection<P>,
        acquired_at: Monotonic,
    ) {
        let now = self.clock.now();
        if !connection.is_reusable() {
            drop(connection);
            self.note_closed(acquired_at);
            return;
        }
        connection.idle_since = now;
        let mut pool = self.pool.borrow_mut();
        pool.queue.note_held(now.saturating_sub(acquired_at));
        pool.close_excess_idle();
        if pool.limit.is_exceeded() {
            pool.limit.note_closed(1);
        } else {
            pool.hand_on(now, connection);
        }
        pool.grant_open_permits(now);
    }

    pub(super) fn note_closed(&self, acquired_at: Monotonic) {
        let now = self.clock.now();
        self.pool
            .borrow_mut()
            .queue
            .note_held(now.saturating_sub(acquired_at));
        self.uncount_connection(now);
    }

    // Removes one connection from the count, so that a waiting request may open another.
    fn uncount_connection(&self, now: Monotonic) {
        let mut pool = self.pool.borrow_mut();
        pool.limit.note_closed(1);
        pool.grant_open_permits(now);
    }

    /// Records that the instance was too busy to run a request. For a while, this host sends it
    /// fewer requests concurrently, and the others wait in the queue.
    pub(crate) fn note_busy(&self) {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        let unused = pool.idle.len();
        pool.limit.note_busy(now, unused);
    }

    /// Applies this host's share: closes connections that have been idle too long, and raises the
    /// limit, which may have been cut. With `keep_one`, the most recently used idle connection is
    /// kept without a time limit.
    pub(crate) fn apply_share(&self, share: &ConnectionShare, keep_one: bool) {
        let now = self.clock.now();
        let mut pool = self.pool.borrow_mut();
        pool.limit.raise(now, share.limit);
        let idle_before = pool.idle.len();
        let use_interval = pool.use_interval.mean();
        // The most recently used connection is last.
        let mut rank = idle_before;
        pool.idle.retain(|connection| {
            rank -= 1;
            let idle = now.saturating_sub(connection.idle_since);
            let is_kept =
                (keep_one && rank == 0) || !share.is_idle_too_long(rank, idle, use_interval);
            is_kept && !connection.is_stale()
        });
        let closed = idle_before - pool.idle.len();
        pool.limit.note_closed(closed);
        pool.grant_open_permits(now);
    }

    /// Closes every idle connection.
    pub(crate) fn close_idle(&self) {
        let mut pool = self.pool.borrow_mut();
        let closed = pool.idle.len();
        pool.limit.note_closed(closed);
        pool.idle.clear();
    }
}
