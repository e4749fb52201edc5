//! The start and shutdown of an entry host.

use std::net::SocketAddr;

use jujubehold_core::drain_schedule::DrainSchedule;
use jujubehold_settings::EntrySettings;
use log::{info, warn};
use tokio::net::TcpListener;

use crate::callers::accept_callers;
use crate::control::{self, Peers};
use crate::peer_link::{accept_links, monitor_links};
use crate::phase::Phase;
use crate::prelude::*;
use crate::readiness::Readiness;
use crate::shared::millis;

/// How often a draining host checks whether sessions are still open.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How many ports chosen by the operating system are tried until one is free for both protocols.
const MAX_PORT_ATTEMPTS: u32 = 10;

/// Why an entry host can't start.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The host can't listen on an address.
    #[error("can't listen on {address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        error: std::io::Error,
    },
}

/// A running entry host, which listens for callers.
#[derive(Debug)]
pub struct EntryHost<P: Platform> {
    shared: Rc<Shared<P>>,
    readiness: Rc<Readiness>,
    caller_address: SocketAddr,
}

impl<P: Platform> EntryHost<P> {
    /// Opens the host's sockets and starts its tasks on the current actix system.
    ///
    /// # Errors
    /// Returns an error if the host can't listen on an address.
    pub async fn start(
        settings: EntrySettings,
        store: P::Store,
        promotion: P::Promotion,
    ) -> Result<Self, EntryError> {
        let caller_address = settings.caller_address;
        let listener =
            TcpListener::bind(caller_address)
                .await
                .map_err(|error| EntryError::Listen {
                    address: caller_address,
                    error,
                })?;
        let peer_address = settings.peer_address;
        let (peers, link_listener) =
            open_peer_sockets(peer_address)
                .await
                .map_err(|error| EntryError::Listen {
                    address: peer_address,
                    error,
                })?;
        let caller_address = listener.local_addr().unwrap_or(caller_address);
        info!(host = settings.host.as_str(), domain = settings.domain.as_str(),
            callers:? = caller_address, version = env!("CARGO_PKG_VERSION");
            "started");
        let shared = Rc::new(Shared::new(settings, store, promotion));
        control::start(&shared, &Rc::new(peers));
        actix_rt::spawn(accept_callers(Rc::clone(&shared), listener));
        actix_rt::spawn(monitor_links(Rc::clone(&shared.peer_links)));
        if let Some(listener) = link_listener {
            actix_rt::spawn(accept_links(Rc::clone(&shared), listener));
        }
        Ok(Self {
            shared,
            readiness: Rc::new(Readiness::default()),
            caller_address,
        })
    }

    /// Returns the address that callers connect to. If the settings have port 0, it contains the
    /// port that the operating system chose.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns a function that tells whether the host should receive new callers, for the
    /// platform's readiness probe.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + 'static {
        let shared = Rc::clone(&self.shared);
        let readiness = Rc::clone(&self.readiness);
        move || readiness.is_ready(&shared)
    }

    /// Serves callers until `stop` completes, then drains the host: running work may complete
    /// within the drain timeout, and every request that was accepted is answered before its end.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        stop.await;
        let limit = self.shared.settings.drain_timeout;
        let begun_at = self.shared.now();
        info!(sessions = self.shared.session_count.get(), limit_ms = millis(limit); "leaving");
        self.set_phase(Phase::Draining);
        let schedule = DrainSchedule::new(begun_at, limit);
        self.wait_until(schedule.end_sessions_at()).await;
        self.set_phase(Phase::EndingSessions);
        self.wait_until(schedule.close_transactions_at()).await;
        self.set_phase(Phase::ClosingTransactions);
        self.wait_until(schedule.answer_by()).await;
        let (sessions, leases) = (
            self.shared.session_count.get(),
            self.shared.served_leases.get(),
        );
        if sessions > 0 || leases > 0 {
            info!(sessions, leases; "answering the requests that still run");
        }
        self.set_phase(Phase::AnsweringRequests);
        // Nothing is acknowledged any more, so no host has to wait for this one. Without an answer of the
        // store, its lease expires.
        let remaining = schedule.exit_by().saturating_sub(self.shared.now());
        let _ = tokio::time::timeout(remaining, control::leave(&self.shared)).await;
        self.wait_until(schedule.exit_by()).await;
        info!(sessions = self.shared.session_count.get(), leases = self.shared.served_leases.get(),
            has_unsent_frames = self.shared.server_links.have_unsent_frames(),
            taken_ms = millis(self.shared.now().saturating_sub(begun_at));
            "stopped");
    }

    fn set_phase(&self, phase: Phase) {
        self.shared.phase.send_replace(phase);
    }

    /// Waits until `time`. After the first phase of draining, returns early when no session and no
    /// lease of another host is left, and all answers are written.
    async fn wait_until(&self, time: Monotonic) {
        while self.shared.now() < time {
            let has_no_work = self.shared.session_count.get() == 0
                && self.shared.served_leases.get() == 0
                && !self.shared.server_links.have_unsent_frames();
            if has_no_work && *self.shared.phase.borrow() != Phase::Draining {
                return;
            }
            actix_rt::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    }
}

// Opens the datagram socket and the listener for links at the same port. Without the listener, other
// hosts find this one unreachable as an owner and connect to its instances directly.
async fn open_peer_sockets(address: SocketAddr) -> std::io::Result<(Peers, Option<TcpListener>)> {
    let mut attempts = 1;
    loop {
        let peers = Peers::open(address).await?;
        match TcpListener::bind(peers.address()).await {
            Ok(listener) => return Ok((peers, Some(listener))),
            // The operating system chose a port that is in use for TCP.
            Err(_) if address.port() == 0 && attempts < MAX_PORT_ATTEMPTS => attempts += 1,
            Err(error) => {
                warn!(address:? = peers.address(), error:% = error;
                    "can't listen for links of other hosts");
                return Ok((peers, None));
            }
        }
    }
}
