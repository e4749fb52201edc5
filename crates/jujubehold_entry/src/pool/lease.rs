//! A connection while one session has it.

use std::ops::{Deref, DerefMut};
use std::rc::Rc;

use jujubehold_core::prelude::*;

use super::connection::UpstreamConnection;
use super::upstream::Upstream;
use crate::protocol::Platform;

/// A lent connection. One that is dropped without being finished is closed, which rolls back what
/// is open on it.
#[derive(Debug)]
pub(crate) struct ConnectionLease<P: Platform> {
    upstream: Rc<Upstream<P>>,
    connection: Option<UpstreamConnection<P>>,
    taken_at: Monotonic,
}

impl<P: Platform> ConnectionLease<P> {
    pub(super) fn new(
        upstream: Rc<Upstream<P>>,
        connection: UpstreamConnection<P>,
        taken_at: Monotonic,
    ) -> Self {
        Self {
            upstream,
            connection: Some(connection),
            taken_at,
        }
    }

    /// The instance that the connection leads to.
    pub(crate) fn upstream(&self) -> &Rc<Upstream<P>> {
        &self.upstream
    }

    /// Gives the connection back if another session may have it, and closes it otherwise.
    pub(crate) fn finish(mut self) {
        if let Some(connection) = self.connection.take() {
            self.upstream.take_back(connection, self.taken_at);
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
            self.upstream.note_closed(self.taken_at);
        }
    }
}
