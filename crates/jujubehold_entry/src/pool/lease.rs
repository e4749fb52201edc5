//! A connection that one session holds.

use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use jujubehold_core::prelude::*;

use super::connection::UpstreamConnection;
use super::upstream::Upstream;
use crate::protocol::Platform;

/// A leased connection. If the lease is dropped without [`finish`](Self::finish), the connection is
/// closed, which rolls back an open transaction.
#[derive(Debug)]
pub(crate) struct ConnectionLease<P: Platform> {
    upstream: Rc<Upstream<P>>,
    connection: Option<UpstreamConnection<P>>,
    acquired_at: Monotonic,
}

impl<P: Platform> ConnectionLease<P> {
    pub(super) fn new(
        upstream: Rc<Upstream<P>>,
        connection: UpstreamConnection<P>,
        acquired_at: Monotonic,
    ) -> Self {
        Self {
            upstream,
            connection: Some(connection),
            acquired_at,
        }
    }

    /// Returns the instance that the connection leads to.
    pub(crate) fn upstream(&self) -> &Rc<Upstream<P>> {
        &self.upstream
    }

    /// Returns the connection to the pool if another session may use it, or closes it otherwise.
    pub(crate) fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            self.upstream
                .return_connection(connection, self.acquired_at);
        }
    }
}

impl<P: Platform> Deref for ConnectionLease<P> {
    type Target = UpstreamConnection<P>;

    fn deref(&self) -> &Self::Target {
        self.connection
            .as_ref()
            .expect("a lease has its connection until it is finished")
    }
}

impl<P: Platform> DerefMut for ConnectionLease<P> {
    fn deref_mut(&mut self) -> &mut Self::Target {
        self.connection
            .as_mut()
            .expect("a lease has its connection until it is finished")
    }
}

impl<P: Platform> Drop for ConnectionLease<P> {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.reset_on_close();
            drop(connection);
            self.upstream.note_closed(self.acquired_at);
        }
    }
}
