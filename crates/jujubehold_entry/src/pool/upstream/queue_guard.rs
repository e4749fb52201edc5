//! The end of a request's wait for a connection.

use jujubehold_core::connection_queue::WaitTicket;

use super::Upstream;
use crate::protocol::Platform;

/// Removes a request from the queue when it stops waiting.
pub(super) struct QueueGuard<'a, P: Platform> {
    pub(super) upstream: &'a Upstream<P>,
    pub(super) ticket: Option<WaitTicket>,
}

impl<P: Platform> Drop for QueueGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let mut pool = self.upstream.pool.borrow_mut();
            pool.queue.cancel(ticket);
            pool.waiters.remove(&ticket);
        }
    }
}
