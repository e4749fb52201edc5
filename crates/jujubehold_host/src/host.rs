//! The start, service and shutdown of a host.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::drain::{Drain, DrainAction, DrainEvent, DrainSettings};
use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;
use log::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::activity::Activity;
use crate::clock::Clock;
use crate::control::{Control, ControlEvent, ControlParts, ControlSender};
use crate::drain_phase::DrainPhase;
use crate::error::HostError;
use crate::host_thread::HostThread;
use crate::metrics_page;
use crate::peer::{PeerConnector, serve_peers};
use crate::peer_sockets::PeerSockets;
use crate::pool_cleanup::clean_up_pools;
use crate::routing_table::RoutingTable;
use crate::shared::Shared;
use crate::traffic::{TrafficThreads, accept_callers};

/// How often a draining host checks what is still in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A started host, whose listener for callers is bound.
#[derive(Debug)]
pub struct Host {
    listener: TcpListener,
    peer_address: SocketAddr,
    metrics_address: Option<SocketAddr>,
    shared: Arc<Shared>,
    events: ControlSender,
    phase: watch::Sender<DrainPhase>,
    threads: TrafficThreads,
    control: HostThread,
    peers: HostThread,
}

/// Starts a host on the current actix system and serves callers until `stop` completes.
///
/// # Errors
/// Returns an error if the host can't start.
pub async fn run(settings: HostSettings, stop: impl Future<Output = ()>) -> Result<(), HostError> {
    let host = Host::start(settings).await?;
    host.serve(stop).await;
    Ok(())
}

impl Host {
    /// Opens the host's sockets and starts its threads. Port 0 selects any free port.
    ///
    /// # Errors
    /// Returns an error if the host can't listen on an address, if TLS is missing for an address
    /// off loopback, or if the TLS identity can't be used.
    pub async fn start(settings: HostSettings) -> Result<Self, HostError> {
        if settings.metrics_address.is_some() {
            metrics_page::install();
        }
        check_exposure(&settings)?;
        let listener = listen(settings.caller_address).await?;
        let connector = PeerConnector::load(&settings)?;
        let peer_sockets = PeerSockets::open(settings.peer_address)?;
        let peer_address = peer_sockets.address;
        let clock = Clock::start();
        let (table_sender, table) = watch::channel(Arc::new(RoutingTable::default()));
        let (observations, observation_receiver) = mpsc::unbounded_channel();
        let (events_sender, events) = mpsc::unbounded_channel();
        let (phase, phase_receiver) = watch::channel(DrainPhase::Serving);
        let control = HostThread::start();
        let parts = ControlParts {
            clock,
            peer_address,
            connector,
            socket: peer_sockets.datagrams,
            table: table_sender,
            observations: observation_receiver,
            events_sender: events_sender.clone(),
            events,
        };
        let control_settings = settings.clone();
        control
            .handle()
            .spawn_fn(move || spawn_control(&control_settings, parts));
        let threads = TrafficThreads::start(settings.traffic_threads);
        let shared = Shared::new(settings, clock, table, observations, phase_receiver);
        let shared = Arc::new(shared.with_tls()?);
        let peers = HostThread::start();
        let (peer_events, peer_shared) = (events_sender.clone(), Arc::clone(&shared));
        peers
            .handle()
            .spawn_fn(move || spawn_peers(peer_sockets.calls, peer_events, peer_shared));
        let metrics_address = start_metrics(&shared.settings, &peers).await?;
        let address = listener.local_addr().ok();
        info!(host = shared.settings.host.as_str(), address:? = address; "listening");
        Ok(Self {
            listener,
            peer_address,
            metrics_address,
            shared,
            events: events_sender,
            phase,
            threads,
            control,
            peers,
        })
    }

    /// Returns the address on which the host accepts callers.
    ///
    /// # Panics
    /// Never panics, because the listener is bound.
    pub fn caller_address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound listener has an address")
    }

    /// Returns the address on which other hosts reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address of the metrics page; `None` if the settings name none.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// Returns a receiver of the routing tables that the control thread publishes, for experiments
    /// and tests.
    pub fn tables(&self) -> watch::Receiver<Arc<RoutingTable>> {
        self.shared.table.clone()
    }

    /// Returns a function that counts the idle pooled connections to an instance when called.
    pub fn idle_counter(&self) -> impl Fn(&ServiceId, &InstanceId) -> usize + use<> {
        let shared = Arc::clone(&self.shared);
        move |service, instance| shared.pools.idle_count(service, instance)
    }

    /// Returns the counts of what is in flight.
    pub fn activity(&self) -> Arc<Activity> {
        Arc::clone(&self.shared.activity)
    }

    /// Serves callers until `stop` completes, then drains the host before it stops its threads.
    pub async fn serve(self, stop: impl Future<Output = ()>) {
        let Self {
            listener,
            shared,
            events,
            phase,
            mut threads,
            control,
            peers,
            ..
        } = self;
        let accepting = accept_callers(listener, Arc::clone(&shared), &mut threads);
        let draining = async {
            stop.await;
            drain_host(&shared, &events, &phase).await;
        };
        tokio::join!(accepting, draining);
        threads.stop();
        control.join();
        peers.join();
    }
}

/// Drains the host: announces to its peers that it leaves, stops accepting callers, and waits until
/// nothing is in flight or the drain times out.
///
/// See docs/notes/graceful-shutdown.md.
async fn drain_host(shared: &Shared, events: &ControlSender, phase: &watch::Sender<DrainPhase>) {
    let mut drain = Drain::new(DrainSettings {
        timeout: Some(shared.settings.drain_timeout),
        ..DrainSettings::default()
    });
    let mut event = DrainEvent::Requested;
    loop {
        for action in drain.on_event(shared.clock.now(), &event) {
            match action {
                DrainAction::NotifyPeers => {
                    info!("drain started");
                    let _ = events.send(ControlEvent::Leave);
                }
                DrainAction::StopAccepting => {
                    phase.send_replace(DrainPhase::Finishing);
                }
                // Each session watches the phase itself, and the pools close when the host is
                // dropped.
                DrainAction::EndIdleSessions | DrainAction::ClosePooledConnections => {}
                DrainAction::AnswerRequests => {
                    let activity = &shared.activity;
                    warn!(sessions = activity.sessions(), lent = activity.lent();
                        "drain answers the requests that still run");
                    phase.send_replace(DrainPhase::Answering);
                }
                DrainAction::Exit => {
                    info!("drain completed");
                    return;
                }
                DrainAction::ExitOverdue => {
                    let activity = &shared.activity;
                    warn!(sessions = activity.sessions(), lent = activity.lent();
                        "drain timed out with work in flight");
                    return;
                }
            }
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        let activity = &shared.activity;
        event = DrainEvent::InFlight {
            // A session ends on its own once it has no transaction in flight.
            requests: activity.requests().max(activity.sessions()),
            lent: activity.lent(),
        };
    }
}

/// Refuses addresses off loopback when TLS is not configured and cleartext is not allowed.
fn check_exposure(settings: &HostSettings) -> Result<(), HostError> {
    if settings.tls.is_some() || settings.is_cleartext_allowed {
        return Ok(());
    }
    for address in [settings.caller_address, settings.peer_address] {
        if !address.ip().is_loopback() {
            return Err(HostError::Exposed { address });
        }
    }
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, HostError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| HostError::Listen { address, source })
}

fn spawn_control(settings: &HostSettings, parts: ControlParts) {
    match Control::new(settings, parts) {
        // The control state is not `Send`, so it stays on this thread.
        Ok(control) => {
            actix_rt::spawn(control.run());
        }
        Err(error) => warn!("failed to start the control thread: {error}"),
    }
}

fn spawn_peers(calls: std::net::TcpListener, events: ControlSender, shared: Arc<Shared>) {
    match TcpListener::from_std(calls) {
        Ok(listener) => {
            actix_rt::spawn(clean_up_pools(Arc::clone(&shared)));
            actix_rt::spawn(serve_peers(listener, events, shared));
        }
        Err(error) => warn!("failed to serve other hosts: {error}"),
    }
}

async fn start_metrics(
    settings: &HostSettings,
    thread: &HostThread,
) -> Result<Option<SocketAddr>, HostError> {
    let Some(address) = settings.metrics_address else {
        return Ok(None);
    };
    let listen_error = |source| HostError::Listen { address, source };
    let listener = listen(address).await?;
    let bound = listener.local_addr().map_err(listen_error)?;
    let listener = listener.into_std().map_err(listen_error)?;
    thread.handle().spawn(async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => {
                actix_rt::spawn(metrics_page::serve(listener));
            }
            Err(error) => warn!("failed to serve the metrics page: {error}"),
        }
    });
    Ok(Some(bound))
}
