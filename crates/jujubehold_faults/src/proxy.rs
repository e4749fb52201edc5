//! Starting, controlling and stopping a fault proxy.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use smol_str::SmolStr;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};

use crate::control;
use crate::direction::{Direction, Protocol};
use crate::link_faults::{FaultError, LinkFaults};
use crate::route::{Route, RouteFaults};
use crate::settings::{FaultSettings, RouteSettings};
use crate::{tcp, udp};

type ReplySender<T> = oneshot::Sender<std::io::Result<T>>;

/// A request to open a route, with the channel for its address.
pub(crate) type RouteRequest = (RouteSettings, ReplySender<SocketAddr>);

/// The routes of a proxy by name, shared by its handle and the control port.
#[derive(Debug, Clone)]
pub(crate) struct Routes {
    routes: Arc<Mutex<BTreeMap<SmolStr, Arc<Route>>>>,
    requests: mpsc::UnboundedSender<RouteRequest>,
}

/// A fault proxy that runs on its own thread. Dropping it stops the proxy.
#[derive(Debug)]
pub struct FaultProxy {
    routes: Routes,
    control_address: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// What a started proxy reports to the task that starts it.
struct Started {
    routes: Routes,
    control_address: Option<SocketAddr>,
}

impl FaultProxy {
    /// Starts a proxy on its own thread.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started or an address can't be opened.
    pub async fn start(settings: FaultSettings) -> std::io::Result<Self> {
        let (started_sender, started) = oneshot::channel();
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name("faults".to_owned())
            .spawn(move || {
                let stopped = async {
                    // A dropped handle stops the proxy as well.
                    let _ = stopped.await;
                };
                actix_rt::System::new().block_on(run(settings, started_sender, stopped));
            })?;
        let started: Started = started.await.map_err(std::io::Error::other)??;
        Ok(Self {
            routes: started.routes,
            control_address: started.control_address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Returns the address of the control port, if one is open.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Opens a route and returns the address at which it listens.
    ///
    /// # Errors
    /// Returns an error if the address can't be opened or the proxy has stopped.
    pub async fn add_route(&self, settings: RouteSettings) -> Result<SocketAddr, FaultError> {
        self.routes.add(settings).await
    }

    /// Returns the address at which the route listens.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn address(&self, name: &str) -> Result<SocketAddr, FaultError> {
        Ok(self.routes.find(name)?.address)
    }

    /// Replaces the faults of one direction.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn set(
        &self,
        name: &str,
        direction: Direction,
        faults: LinkFaults,
    ) -> Result<(), FaultError> {
        self.routes
            .update(name, |route| *route.link_mut(direction) = faults)
    }

    /// Replaces the faults of both directions by the same ones.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn set_both(&self, name: &str, faults: &LinkFaults) -> Result<(), FaultError> {
        self.routes.update(name, |route| {
            route.up = faults.clone();
            route.down = faults.clone();
        })
    }

    /// Drops everything in both directions until [`Self::heal`].
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn cut(&self, name: &str) -> Result<(), FaultError> {
        self.set_both(
            name,
            &LinkFaults {
                is_cut: true,
                ..LinkFaults::default()
            },
        )
    }

    /// Holds back a connection's bytes in both directions until [`Self::heal`]; datagrams are
    /// dropped.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn stall(&self, name: &str) -> Result<(), FaultError> {
        self.set_both(
            name,
            &LinkFaults {
                is_stalled: true,
                ..LinkFaults::default()
            },
        )
    }

    /// Sets whether connections are accepted without forwarding anything.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn set_half_open(&self, name: &str, is_half_open: bool) -> Result<(), FaultError> {
        self.routes
            .update(name, |route| route.is_half_open = is_half_open)
    }

    /// Sets whether connections are reset as soon as they are accepted.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn set_refusing(&self, name: &str, is_refusing: bool) -> Result<(), FaultError> {
        self.routes
            .update(name, |route| route.is_refusing = is_refusing)
    }

    /// Resets the open connections.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn reset(&self, name: &str) -> Result<(), FaultError> {
        self.routes.update(name, |route| route.resets += 1)
    }

    /// Removes all faults of a route.
    ///
    /// # Errors
    /// Returns an error if no route has this name.
    pub fn heal(&self, name: &str) -> Result<(), FaultError> {
        self.routes.heal(name)
    }

    /// Stops the proxy and waits for its thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails if the proxy has already stopped.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.end();
    }
}

impl Routes {
    pub(crate) async fn add(&self, settings: RouteSettings) -> Result<SocketAddr, FaultError> {
        let (reply, reply_receiver) = oneshot::channel();
        let stopped = || FaultError::Open("the proxy has stopped".to_owned());
        self.requests
            .send((settings, reply))
            .map_err(|_| stopped())?;
        let address = reply_receiver.await.map_err(|_| stopped())?;
        address.map_err(|error| FaultError::Open(error.to_string()))
    }

    /// Returns each route's name, the address at which it listens, and its target.
    pub(crate) fn list(&self) -> Vec<(SmolStr, SocketAddr, SocketAddr)> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes
            .iter()
            .map(|(name, route)| (name.clone(), route.address, route.target))
            .collect()
    }

    pub(crate) fn update(
        &self,
        name: &str,
        update: impl FnOnce(&mut RouteFaults),
    ) -> Result<(), FaultError> {
        self.find(name)?.faults.send_modify(update);
        Ok(())
    }

    pub(crate) fn heal(&self, name: &str) -> Result<(), FaultError> {
        self.update(name, |route| {
            *route = RouteFaults {
                resets: route.resets,
                ..RouteFaults::default()
            };
        })
    }

    fn find(&self, name: &str) -> Result<Arc<Route>, FaultError> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes
            .get(name)
            .cloned()
            .ok_or_else(|| FaultError::UnknownRoute(name.to_owned()))
    }

    fn insert(&self, name: SmolStr, route: Arc<Route>) {
        self.routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(name, route);
    }
}

/// Runs a fault proxy on the current thread's runtime until `stop` completes.
///
/// # Errors
/// Returns an error if an address can't be opened.
pub async fn run_faults(
    settings: FaultSettings,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let (started_sender, started) = oneshot::channel::<std::io::Result<Started>>();
    let report = async {
        let started = started.await.map_err(std::io::Error::other)??;
        for (name, address, target) in started.routes.list() {
            log::info!(
                route = name.as_str(),
                address = address.to_string().as_str(),
                target = target.to_string().as_str();
                "listening"
            );
        }
        Ok(())
    };
    let ((), report_result) = tokio::join!(run(settings, started_sender, stop), report);
    report_result
}

async fn run(
    settings: FaultSettings,
    started_sender: ReplySender<Started>,
    stop: impl Future<Output = ()>,
) {
    let (requests, mut received) = mpsc::unbounded_channel::<RouteRequest>();
    let routes = Routes {
        routes: Arc::default(),
        requests,
    };
    let started = start(&settings, &routes).await;
    let is_started = started.is_ok();
    // The receiver may have been dropped.
    let _ = started_sender.send(started);
    if !is_started {
        return;
    }
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return,
            Some((route, reply)) = received.recv() => {
                // The requester may have been dropped.
                let _ = reply.send(open(&settings, &routes, route).await);
            }
        }
    }
}

async fn start(settings: &FaultSettings, routes: &Routes) -> std::io::Result<Started> {
    for route in &settings.routes {
        open(settings, routes, route.clone()).await?;
    }
    let control_address = match settings.control {
        Some(address) => Some(control::serve(address, routes.clone()).await?),
        None => None,
    };
    Ok(Started {
        routes: routes.clone(),
        control_address,
    })
}

async fn open(
    settings: &FaultSettings,
    routes: &Routes,
    route: RouteSettings,
) -> std::io::Result<SocketAddr> {
    let seed = settings.seed;
    let new_route = |address| {
        let faults = watch::Sender::new(RouteFaults::default());
        Arc::new(Route {
            address,
            target: route.target,
            seed,
            faults,
        })
    };
    let opened = match route.protocol {
        Protocol::Tcp => {
            let listener = TcpListener::bind(route.listen).await?;
            let opened = new_route(listener.local_addr()?);
            actix_rt::spawn(tcp::serve(Arc::clone(&opened), listener));
            opened
        }
        Protocol::Udp => {
            let socket = UdpSocket::bind(route.listen).await?;
            let opened = new_route(socket.local_addr()?);
            actix_rt::spawn(udp::serve(Arc::clone(&opened), socket));
            opened
        }
    };
    let address = opened.address;
    routes.insert(route.name, opened);
    Ok(address)
}
