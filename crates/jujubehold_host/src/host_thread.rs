//! A thread that stops when its host is dropped.

use actix_rt::{Arbiter, ArbiterHandle};

/// A thread with its own event loop, which stops when the value is dropped.
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

    /// Returns a handle with which tasks are spawned on the thread.
    ///
    /// # Panics
    /// Never panics, because [`HostThread::join`], which takes the thread, consumes the value.
    pub(crate) fn handle(&self) -> ArbiterHandle {
        self.arbiter
            .as_ref()
            .expect("the thread is not joined yet")
            .handle()
    }

    /// Stops the thread and blocks until it has ended.
    pub(crate) fn join(mut self) {
        if let Some(arbiter) = self.arbiter.take() {
            arbiter.stop();
            // The panic hook has already reported a panic of the thread.
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
