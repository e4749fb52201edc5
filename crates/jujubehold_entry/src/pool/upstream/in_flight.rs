//! The requests that an instance has not answered.

use std::rc::Rc;

use jujubehold_core::connection_queue::WaitTicket;

use super::Upstream;
use crate::protocol::Platform;

/// Counts a request to an instance as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight<P: Platform> {
    pub(super) upstream: Rc<Upstream<P>>,
    pub(super) ticket: WaitTicket,
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        self.upstream.in_flight.borrow_mut().remove(&self.ticket);
    }
}

/// Counts a request that an owner runs as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightAtOwner<P: Platform> {
    pub(super) upstream: Rc<Upstream<P>>,
}

impl<P: Platform> Drop for InFlightAtOwner<P> {
    fn drop(&mut self) {
        let count = &self.upstream.in_flight_at_owners;
        count.set(count.get().saturating_sub(1));
    }
}
