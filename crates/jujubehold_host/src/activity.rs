//! What is in flight on a host, which a shutdown waits for.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts of what is in flight.
#[derive(Debug, Default)]
pub struct Activity {
    sessions: AtomicUsize,
    requests: AtomicUsize,
    lent: AtomicUsize,
}

/// One thing in flight, until it is dropped.
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
    /// Counts a caller's session, from its acceptance to its end.
    pub fn begin_session(activity: &Arc<Self>) -> InFlight {
        InFlight::begin(activity, Kind::Session)
    }

    /// Counts a request or an open transaction, until its answer is written.
    pub fn begin_request(activity: &Arc<Self>) -> InFlight {
        InFlight::begin(activity, Kind::Request)
    }

    /// Counts a connection that is lent to another host.
    pub fn begin_lent(activity: &Arc<Self>) -> InFlight {
        InFlight::begin(activity, Kind::Lent)
    }

    /// How many callers' sessions are open.
    pub fn sessions(&self) -> usize {
        self.sessions.load(Ordering::Acquire)
    }

    /// How many requests and transactions run or wait.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }

    /// How many connections are lent to other hosts.
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
