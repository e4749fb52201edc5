//! An entry host's start and end.

use std::net::SocketAddr;

use jujubehold_settings::EntrySettings;
use log::info;
use tokio::net::TcpListener;

use crate::callers::accept_callers;
use crate::control::{self, Peers};
use crate::phase::Phase;
use crate::prelude::*;
use crate::readiness::Readiness;
use crate::shared::millis;

/// How often a leaving host looks at what is still open.
const LEAVE_LOOK: Duration = Duration::from_millis(20);
/// Parts of the drain timeout, in percent: when idle sessions are ended (the platform has noticed by
/// then), when open transactions are given up, and when the process ends in any case.
const END_SESSIONS_PERCENT: u32 = 40;
const CLOSE_TRANSACTIONS_PERCENT: u32 = 55;
const EXIT_PERCENT: u32 = 80;

/// An entry host that cannot start.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// An address can't be listened on.
    #[error("{address} can't be listened on: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
}

/// A host that listens for callers.
#[derive(Debug)]
pub struct EntryHost<P: Platform> {
    shared: Rc<Shared<P>>,
    readiness: Rc<Readiness>,
    caller_address: SocketAddr,
}

impl<P: Platform> EntryHost<P> {
    /// Opens the host's sockets and starts its tasks on the present actix system.
    ///
    /// # Errors
    /// An address can't be listened on.
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
        let peers = Peers::open(peer_address)
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
        Ok(Self {
            shared,
            readiness: Rc::new(Readiness::default()),
            caller_address,
        })
    }

    /// Where callers connect; with port 0 in the settings, the port that was free.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// A question for whether the host should be given new callers, for whoever answers the
    /// platform.
    pub fn readiness(&self) -> impl Fn() -> bool + Clone + 'static {
        let shared = Rc::clone(&self.shared);
        let readiness = Rc::clone(&self.readiness);
        move || readiness.is_ready(&shared)
    }

    /// Serves until `stop` is done, and then leaves without cutting what runs.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        stop.await;
        let limit = self.shared.settings.drain_timeout;
        let begun_at = self.shared.now();
        info!(sessions = self.shared.session_count.get(), limit_ms = millis(limit); "leaving");
        self.enter(Phase::Leaving);
        let at = |percent: u32| begun_at + limit * percent / 100;
        self.wait_until(at(END_SESSIONS_PERCENT)).await;
        self.enter(Phase::Ending);
        self.wait_until(at(CLOSE_TRANSACTIONS_PERCENT)).await;
        self.enter(Phase::Closing);
        self.wait_until(at(EXIT_PERCENT)).await;
        control::leave(&self.shared).await;
        info!(sessions = self.shared.session_count.get(),
            taken_ms = millis(self.shared.now().saturating_sub(begun_at));
            "stopped");
    }

    fn enter(&self, phase: Phase) {
        self.shared.phase.send_replace(phase);
    }

    /// Waits until `time`, or until no session is left.
    async fn wait_until(&self, time: Monotonic) {
        while self.shared.now() < time {
            let is_empty = self.shared.session_count.get() == 0;
            if is_empty && *self.shared.phase.borrow() != Phase::Leaving {
                return;
            }
            actix_rt::time::sleep(LEAVE_LOOK).await;
        }
    }
}
