//! A thread of a host that ends with it.

use actix_rt::{Arbiter, ArbiterHandle};

/// A thread for one of a host's parts, which stops when the host is dropped.
#[derive(Debug)]
pub(crate) struct HostThread {
    arbiter: Option<Arbiter>,
}

impl HostThread {
    /// Starts the thread.
    pub(crate) fn start() -> Self {
        Self {
            arbiter: Some(Arbiter::new()),
        }
    }

    /// How work is given to the thread.
    ///
    /// # Panics
    /// Never: the thread is there until it is joined.
    pub(crate) fn handle(&self) -> ArbiterHandle {
        self.arbiter
            .as_ref()
            .expect("the thread is not joined yet")
            .handle()
    }

    /// Stops the thread and waits until it has ended.
    pub(crate) fn join(mut self) {
        if let Some(arbiter) = self.arbiter.take() {
            arbiter.stop();
            // A thread that panicked has said so.
            let _ = arbiter.join();
        }
    }
}

impl Drop for HostThread {
    fn drop(&mut self) {
        if let Some(arbiter) = &self.arbiter {
            arbiter.stop();
        }
    }
}
