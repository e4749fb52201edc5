//! The end of an attempt to open a connection.

use super::Upstream;
use crate::protocol::Platform;

/// Removes a connection from the count if it fails to open.
pub(super) struct OpeningGuard<'a, P: Platform> {
    pub(super) upstream: Option<&'a Upstream<P>>,
}

impl<P: Platform> Drop for OpeningGuard<'_, P> {
    fn drop(&mut self) {
        if let Some(upstream) = self.upstream {
            let now = upstream.clock.now();
            upstream.pool.borrow_mut().limit.end_opening();
            upstream.uncount_connection(now);
        }
    }
}
