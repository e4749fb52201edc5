//! Accepts callers and distributes them over the traffic threads in turn.

use std::sync::Arc;

use actix_rt::{Arbiter, ArbiterHandle};
use log::warn;
use tokio::net::{TcpListener, TcpStream};

use crate::activity::Activity;
use crate::drain_phase::DrainPhase;
use crate::shared::Shared;
use crate::traffic::session_start::serve_caller;

/// The threads that serve callers.
#[derive(Debug)]
pub struct TrafficThreads {
    arbiters: Vec<Arbiter>,
    next: usize,
}

impl TrafficThreads {
    /// Starts `count` threads, but at least one.
    pub fn start(count: usize) -> Self {
        let arbiters = (0..count.max(1)).map(|_| Arbiter::new()).collect();
        Self { arbiters, next: 0 }
    }

    /// Returns the thread for the next caller.
    fn next(&mut self) -> ArbiterHandle {
        self.next = (self.next + 1) % self.arbiters.len();
        self.arbiters[self.next].handle()
    }

    /// Stops the threads and waits until they have ended.
    pub fn stop(self) {
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
        for arbiter in self.arbiters {
            let _ = arbiter.join();
        }
    }
}

/// Accepts callers until the host is finishing, including those that had connected by then.
pub async fn accept_callers(
    listener: TcpListener,
    shared: Arc<Shared>,
    threads: &mut TrafficThreads,
) {
    let mut phase = shared.phase.clone();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase >= DrainPhase::Finishing) => return,
        };
        match accepted.and_then(|(stream, _)| stream.into_std()) {
            Ok(stream) => dispatch_caller(stream, &shared, threads),
            Err(error) => warn!("cannot accept a caller: {error}"),
        }
    }
}

/// Passes a caller to a traffic thread.
///
/// Its session is counted from here on, so that a shutdown waits for it even before the thread has
/// started it.
fn dispatch_caller(
    stream: std::net::TcpStream,
    shared: &Arc<Shared>,
    threads: &mut TrafficThreads,
) {
    let session = Activity::begin_session(&shared.activity);
    let shared = shared.clone();
    // The session's future stays on the thread that creates it.
    threads.next().spawn_fn(move || {
        actix_rt::spawn(async move {
            match TcpStream::from_std(stream) {
                Ok(stream) => serve_caller(stream, shared).await,
                Err(error) => warn!("cannot accept a caller: {error}"),
            }
            drop(session);
        });
    });
}
