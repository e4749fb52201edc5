//! A host's start and end.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use actix_rt::Arbiter;
use jujubehold_settings::HostSettings;
use log::info;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::control::Control;
use crate::error::HostError;
use crate::routing_table::RoutingTable;
use crate::shared::Shared;
use crate::traffic::{TrafficThreads, accept_callers};

/// A host that listens for callers.
#[derive(Debug)]
pub struct Host {
    listener: TcpListener,
    shared: Arc<Shared>,
    threads: TrafficThreads,
    control: Arbiter,
}

/// Runs a host until `stop` is done, on the present actix system.
///
/// # Errors
/// The host could not start.
pub async fn run(settings: HostSettings, stop: impl Future<Output = ()>) -> Result<(), HostError> {
    let host = Host::start(settings).await?;
    host.serve(stop).await;
    Ok(())
}

impl Host {
    /// Opens the host's sockets and starts its threads.
    ///
    /// # Errors
    /// An address can't be listened on.
    pub async fn start(settings: HostSettings) -> Result<Self, HostError> {
        let address = settings.caller_address;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| HostError::Listen { address, source })?;
        let clock = Clock::start();
        let (table_sender, table) = watch::channel(Arc::new(RoutingTable::default()));
        let (observations, observation_receiver) = mpsc::unbounded_channel();
        let control = Arbiter::new();
        let control_state = Control::new(&settings, clock, table_sender, observation_receiver);
        control.spawn(control_state.run());
        let threads = TrafficThreads::start(settings.traffic_threads);
        let shared = Arc::new(Shared::new(settings, clock, table, observations));
        info!(host = shared.settings.host.as_str(), address:% = address; "listening");
        Ok(Self {
            listener,
            shared,
            threads,
            control,
        })
    }

    /// Where callers connect.
    ///
    /// # Panics
    /// Never: the listener is bound.
    pub fn caller_address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound listener has an address")
    }

    /// Serves callers until `stop` is done.
    pub async fn serve(mut self, stop: impl Future<Output = ()>) {
        tokio::select! {
            () = accept_callers(self.listener, self.shared, &mut self.threads) => {}
            () = stop => {}
        }
        self.threads.stop();
        self.control.stop();
        let _ = self.control.join();
    }
}
