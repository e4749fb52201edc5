//! Starting, steering and stopping a fault proxy.

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

type Answer<T> = oneshot::Sender<std::io::Result<T>>;

/// A route that is asked for, and who waits for its address.
pub(crate) type RouteRequest = (RouteSettings, Answer<SocketAddr>);

/// The routes of a proxy, by name.
#[derive(Debug, Clone)]
pub(crate) struct Routes {
    routes: Arc<Mutex<BTreeMap<SmolStr, Arc<Route>>>>,
    requests: mpsc::UnboundedSender<RouteRequest>,
}

/// A running fault proxy, on a thread of its own.
#[derive(Debug)]
pub struct FaultProxy {
    routes: Routes,
    control_address: Option<SocketAddr>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

struct Started {
    routes: Routes,
    control_address: Option<SocketAddr>,
}

impl FaultProxy {
    /// Starts a proxy on a thread of its own.
    ///
    /// # Errors
    /// An address is taken.
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

    /// Where the control port listens.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control_address
    }

    /// Opens a route and returns where it listens.
    ///
    /// # Errors
    /// The address is taken.
    pub async fn add_route(&self, settings: RouteSettings) -> Result<SocketAddr, FaultError> {
        self.routes.add(settings).await
    }

    /// Where the route of this name listens.
    ///
    /// # Errors
    /// No route has this name.
    pub fn address(&self, name: &str) -> Result<SocketAddr, FaultError> {
        Ok(self.routes.find(name)?.address)
    }

    /// Sets all faults of one direction.
    ///
    /// # Errors
    /// No route has this name.
    pub fn set(
        &self,
        name: &str,
        direction: Direction,
        faults: LinkFaults,
    ) -> Result<(), FaultError> {
        self.routes
            .change(name, |route| *route.link_mut(direction) = faults)
    }

    /// Sets the same faults for both directions.
    ///
    /// # Errors
    /// No route has this name.
    pub fn set_both(&self, name: &str, faults: &LinkFaults) -> Result<(), FaultError> {
        self.routes.change(name, |route| {
            route.up = faults.clone();
            route.down = faults.clone();
        })
    }

    /// Loses everything in both directions until [`Self::heal`].
    ///
    /// # Errors
    /// No route has this name.
    pub fn cut(&self, name: &str) -> Result<(), FaultError> {
        self.set_both(
            name,
            &LinkFaults {
                is_cut: true,
                ..LinkFaults::default()
            },
        )
    }

    /// Holds everything back in both directions until [`Self::heal`].
    ///
    /// # Errors
    /// No route has this name.
    pub fn stall(&self, name: &str) -> Result<(), FaultError> {
        self.set_both(
            name,
            &LinkFaults {
                is_stalled: true,
                ..LinkFaults::default()
            },
        )
    }

    /// Takes connections and passes nothing on while set.
    ///
    /// # Errors
    /// No route has this name.
    pub fn set_half_open(&self, name: &str, is_half_open: bool) -> Result<(), FaultError> {
        self.routes
            .change(name, |route| route.is_half_open = is_half_open)
    }

    /// Closes connections as soon as they come while set.
    ///
    /// # Errors
    /// No route has this name.
    pub fn set_refusing(&self, name: &str, is_refusing: bool) -> Result<(), FaultError> {
        self.routes
            .change(name, |route| route.is_refusing = is_refusing)
    }

    /// Resets the open connections.
    ///
    /// # Errors
    /// No route has this name.
    pub fn reset(&self, name: &str) -> Result<(), FaultError> {
        self.routes.change(name, |route| route.resets += 1)
    }

    /// Ends all faults of a route.
    ///
    /// # Errors
    /// No route has this name.
    pub fn heal(&self, name: &str) -> Result<(), FaultError> {
        self.routes.heal(name)
    }

    /// Stops the proxy and waits for its thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The proxy may have stopped by itself.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was printed already.
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
        let (answer, answered) = oneshot::channel();
        let stopped = || FaultError::Open("the proxy has stopped".to_owned());
        self.requests
            .send((settings, answer))
            .map_err(|_| stopped())?;
        let address = answered.await.map_err(|_| stopped())?;
        address.map_err(|error| FaultError::Open(error.to_string()))
    }

    pub(crate) fn names(&self) -> Vec<(SmolStr, SocketAddr, SocketAddr)> {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        routes
            .iter()
            .map(|(name, route)| (name.clone(), route.address, route.target))
            .collect()
    }

    pub(crate) fn change(
        &self,
        name: &str,
        change: impl FnOnce(&mut RouteFaults),
    ) -> Result<(), FaultError> {
        self.find(name)?.faults.send_modify(change);
        Ok(())
    }

    pub(crate) fn heal(&self, name: &str) -> Result<(), FaultError> {
        self.change(name, |route| {
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

/// Runs a fault proxy on this thread's runtime until `stop` is done.
///
/// # Errors
/// An address is taken.
pub async fn run_faults(
    settings: FaultSettings,
    stop: impl Future<Output = ()>,
) -> std::io::Result<()> {
    let (started_sender, started) = oneshot::channel::<std::io::Result<Started>>();
    let report = async {
        let started = started.await.map_err(std::io::Error::other)??;
        for (name, address, target) in started.routes.names() {
            log::info!(
                route = name.as_str(),
                address = address.to_string().as_str(),
                target = target.to_string().as_str();
                "listening"
            );
        }
        Ok(())
    };
    let ((), reported) = tokio::join!(run(settings, started_sender, stop), report);
    reported
}

async fn run(
    settings: FaultSettings,
    started_sender: Answer<Started>,
    stop: impl Future<Output = ()>,
) {
    let (requests, mut received) = mpsc::unbounded_channel::<RouteRequest>();
    let routes = Routes {
        routes: Arc::default(),
        requests,
    };
    let started = start(&settings, &routes).await;
    let is_started = started.is_ok();
    // Whoever started the proxy may have gone.
    let _ = started_sender.send(started);
    if !is_started {
        return;
    }
    tokio::pin!(stop);
    loop {
        tokio::select! {
            () = &mut stop => return,
            Some((route, answer)) = received.recv() => {
                // Whoever asked may have gone.
                let _ = answer.send(open(&settings, &routes, route).await);
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
