//! Counts the work in flight on a host, which a graceful shutdown waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The numbers of sessions, requests and lent connections in flight.
#[derive(Debug, Default)]
pub struct Activity {
    sessions: AtomicUsize,
    requests: AtomicUsize,
    lent: AtomicUsize,
}

/// A guard that counts one session, request or lent connection until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    activity: Arc<Activity>,
    kind: Kind,
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Session,
    Request,
    Lent,
}

impl Activity {
    /// Counts a caller's session until the guard is dropped at its end.
    pub fn begin_session(activity: &Arc<Self>) -> InFlight {
        InFlight::begin(activity, Kind::Session)
    }

    /// Counts a request or an open transaction until the guard is dropped, which happens once its
    /// answer is written.
    pub fn begin_request(activity: &Arc<Self>) -> InFlight {
        InFlight::begin(activity, Kind::Request)
    }

    /// Counts a connection that is lent to another host until the guard is dropped.
    pub fn begin_lent(activity: &Arc<Self>) -> InFlight {
        InFlight::begin(activity, Kind::Lent)
    }

    /// Returns the number of open caller sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.load(Ordering::Acquire)
    }

    /// Returns the number of requests and transactions that run or wait.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// Returns the number of connections that are lent to other hosts.
    pub fn lent(&self) -> usize {
        self.lent.load(Ordering::Acquire)
    }

    fn counter(&self, kind: Kind) -> &AtomicUsize {
        match kind {
            Kind::Session => &self.sessions,
            Kind::Request => &self.requests,
            Kind::Lent => &self.lent,
        }
    }
}

impl InFlight {
    fn begin(activity: &Arc<Activity>, kind: Kind) -> Self {
        activity.counter(kind).fetch_add(1, Ordering::AcqRel);
        Self {
            activity: Arc::clone(activity),
            kind,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.activity
            .counter(self.kind)
            .fetch_sub(1, Ordering::AcqRel);
    }
}
