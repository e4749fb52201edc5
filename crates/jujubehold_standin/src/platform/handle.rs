//! Starts, controls and stops the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_wire::kv::kv_server::KvServer;
use jujubehold_wire::kv::lease_server::LeaseServer;
use jujubehold_wire::kv::watch_server::WatchServer;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use crate::control_port::serve_control;
use crate::runtime_thread::RuntimeThread;

use super::control::PlatformControl;
use super::faults::{CallKind, Outage};
use super::kv_service::KvService;
use super::lease_service::{self, LeaseService};
use super::services::Services;
use super::settings::PlatformSettings;
use super::shared::Shared;
use super::watch_service::WatchService;

/// A running platform on its own thread, which stops when this handle is dropped.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    shared: Arc<Shared>,
    _thread: RuntimeThread,
}

/// What a started platform reports to the task that starts it.
struct Started {
    address: SocketAddr,
    control_address: Option<SocketAddr>,
    shared: Arc<Shared>,
}

impl Platform {
    /// Starts the platform on its own thread and waits until it listens.
    ///
    /// # Errors
    /// Fails if an address cannot be bound or the thread cannot be started.
    pub async fn start(settings: PlatformSettings) -> std::io::Result<Self> {
        let (started_sender, started) = oneshot::channel();
        let name = "standin-platform".to_owned();
        let thread = RuntimeThread::spawn(name, |stopped| {
            run(settings, started_sender, async { drop(stopped.await) })
        })?;
        let started = started.await.map_err(std::io::Error::other)??;
        Ok(Self {
            address: started.address,
            control_address: started.control_address,
            shared: started.shared,
            _thread: thread,
        })
    }

    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the control port, if there is one.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> i64 {
        self.shared.store().revision()
    }

    /// Returns the number of calls of each kind; a watch counts once.
    pub fn counts(&self) -> BTreeMap<CallKind, u64> {
        self.shared.counts()
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.shared
            .faults
            .send_modify(|faults| faults.outage = outage);
    }

    /// Sets the artificial delay of each call.
    pub fn set_call_time(&self, call_time: Duration) {
        self.shared
            .faults
            .send_modify(|faults| faults.call_time = call_time);
    }

    /// Loses the answers to the next `count` changes, which still take effect.
    pub fn lose_answers(&self, count: u32) {
        self.shared
            .faults
            .send_modify(|faults| faults.answers_to_lose = count);
    }

    /// Restores the store to an older revision, which ends all watches.
    pub fn restore(&self, revision: i64) {
        self.shared.restore(revision);
    }

    /// Stops the platform and waits for its thread.
    pub fn stop(self) {
        drop(self);
    }
}

/// Runs the platform on the current thread's runtime until `stop` completes.
///
/// # Errors
/// Fails if an address cannot be bound.
pub async fn run_platform(
    settings: PlatformSettings,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let (started_sender, started) = oneshot::channel::<std::io::Result<Started>>();
    let report = async {
        let started = started.await.map_err(std::io::Error::other)??;
        let address = started.address.to_string();
        log::info!(address = address.as_str(); "listening");
        Ok(())
    };
    let ((), reported) = tokio::join!(run(settings, started_sender, stop), report);
    reported
}

async fn run(
    settings: PlatformSettings,
    started_sender: oneshot::Sender<std::io::Result<Started>>,
    stop: impl Future<Output = ()>,
) {
    let started = start(settings).await;
    let is_started = started.is_ok();
    // The receiver is gone if the starting task was cancelled.
    let _ = started_sender.send(started);
    if is_started {
        stop.await;
    }
}

async fn start(settings: PlatformSettings) -> std::io::Result<Started> {
    let listener = TcpListener::bind(settings.listen).await?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared::new(&settings));
    let control_address = match settings.control {
        Some(control) => {
            let control_port = PlatformControl {
                shared: Arc::clone(&shared),
            };
            Some(serve_control(control, control_port).await?)
        }
        None => None,
    };
    actix_rt::spawn(lease_service::expire(Arc::clone(&shared)));
    let services = Services {
        kv: KvServer::new(KvService(Arc::clone(&shared))),
        watch: WatchServer::new(WatchService(Arc::clone(&shared))),
        lease: LeaseServer::new(LeaseService(Arc::clone(&shared))),
    };
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let server = Server::builder().serve_with_incoming(services, incoming);
    actix_rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("platform server failed: {error}");
        }
    });
    Ok(Started {
        address,
        control_address,
        shared,
    })
}
