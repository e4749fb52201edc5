//! An installation in one process: a stand-in platform, a stand-in database group, and hosts.
#![allow(dead_code, reason = "each test file uses its own part of this module")]

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_host::peer::PeerTarget;
use jujubehold_host::platform::{HOSTS_PREFIX, KvClient, service_key};
use jujubehold_host::routing_table::RoutingTable;
use jujubehold_host::{Host, HostError};
use jujubehold_settings::{HostSettings, PeerSeed, format_service};
use jujubehold_standin::database::{Database, DatabaseSettings};
use jujubehold_standin::platform::{Platform, PlatformSettings};
use tokio::sync::{oneshot, watch};

/// The timeout after which a test counts as hung. It is no performance limit.
pub(crate) const HANG_LIMIT: Duration = Duration::from_secs(40);

/// The service that the tests use.
pub(crate) const SERVICE: &str = "shares";

/// Waits until `is_true` returns true; panics after [`HANG_LIMIT`].
pub(crate) async fn wait_until(what: &str, mut is_true: impl FnMut() -> bool) {
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let is_in_time = tokio::time::timeout(HANG_LIMIT, waiting).await.is_ok();
    assert!(is_in_time, "timed out waiting until {what}");
}

/// The platform and a group of three instances, each in a failure domain of its own.
pub(crate) struct Installation {
    /// The platform.
    pub(crate) platform: Platform,
    /// The instances `a`, `b` and `c`, of which `a` is the first primary.
    pub(crate) instances: Vec<Database>,
}

impl Installation {
    /// Starts the platform and the instances, and submits generation 1.
    pub(crate) async fn start() -> Self {
        let platform = Platform::start(PlatformSettings::default())
            .await
            .expect("the platform starts");
        let mut instances: Vec<Database> = Vec::new();
        for name in ["a", "b", "c"] {
            let settings = DatabaseSettings {
                name: name.into(),
                primary: instances.first().map(Database::address),
                connect_cost: Duration::ZERO,
                ..DatabaseSettings::default()
            };
            instances.push(Database::start(settings).await.expect("an instance starts"));
        }
        let installation = Self {
            platform,
            instances,
        };
        installation.submit(&installation.config(1)).await;
        installation
    }

    /// Returns a configuration of the group.
    pub(crate) fn config(&self, generation: Generation) -> ServiceConfig {
        let domains = ["delta", "piedmont", "gulf"];
        let names = ["a", "b", "c"];
        let instances = self
            .instances
            .iter()
            .zip(names.into_iter().zip(domains))
            .map(|(database, (name, domain))| {
                let instance = InstanceConfig {
                    address: database.address(),
                    domain: domain.into(),
                    region: "south".into(),
                    state: InstanceState::Active,
                    connections: 20,
                };
                (name.into(), instance)
            })
            .collect::<BTreeMap<InstanceId, _>>();
        ServiceConfig {
            service: SERVICE.into(),
            generation,
            instances,
            ..ServiceConfig::default()
        }
    }

    /// Returns a client of the platform.
    pub(crate) fn kv(&self) -> KvClient {
        KvClient::new(self.platform.address(), Duration::from_secs(5))
    }

    /// Submits a configuration, replacing the stored one.
    pub(crate) async fn submit(&self, config: &ServiceConfig) {
        let key = service_key(&config.service);
        let mut kv = self.kv();
        let shown = kv.get(&key).await.expect("the platform answers");
        let revision = shown.map_or(0, |entry| entry.mod_revision);
        let text = format_service(config).into_bytes();
        let is_written = kv.put_if(&key, revision, text).await;
        assert!(
            is_written.expect("the platform answers"),
            "no other write interferes"
        );
    }

    /// Adds a host to the platform's list.
    pub(crate) async fn list_host(&self, host: &str, domain: &str, peer_address: SocketAddr) {
        let text = format!("domain={domain}\npeer_address={peer_address}\nstate=live\n");
        let key = format!("{HOSTS_PREFIX}{host}");
        let written = self.kv().put_if(&key, 0, text.into_bytes()).await;
        assert!(written.expect("the platform answers"), "the key is new");
    }

    /// Returns the settings of a host in this installation, with free ports.
    pub(crate) fn settings(&self, host: &str, domain: &str) -> HostSettings {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        HostSettings {
            host: host.into(),
            domain: domain.into(),
            region: "south".into(),
            caller_address: any,
            peer_address: any,
            platform_addresses: vec![self.platform.address()],
            traffic_threads: 1,
            ..HostSettings::default()
        }
    }
}

/// A function that counts the idle connections to an instance.
type IdleCounter = Box<dyn Fn(&ServiceId, &InstanceId) -> usize>;

/// A host that runs until it is drained or crashes.
pub(crate) struct RunningHost {
    /// The host's name.
    pub(crate) name: HostId,
    /// The address for callers.
    pub(crate) caller_address: SocketAddr,
    /// The address for other hosts.
    pub(crate) peer_address: SocketAddr,
    /// The host's failure domain.
    pub(crate) domain: DomainId,
    /// The address of the host's metrics page.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// The host's routing tables.
    pub(crate) tables: watch::Receiver<Arc<RoutingTable>>,
    idle: IdleCounter,
    stop: Option<oneshot::Sender<()>>,
    ended: Option<tokio::task::JoinHandle<()>>,
}

impl RunningHost {
    /// Starts a host.
    pub(crate) async fn start(settings: HostSettings) -> Self {
        let name = settings.host.clone();
        let domain = settings.domain.clone();
        let started: Result<Host, HostError> = Host::start(settings).await;
        let host = started.expect("the host starts");
        let (stop, stopped) = oneshot::channel::<()>();
        Self {
            name,
            domain,
            caller_address: host.caller_address(),
            peer_address: host.peer_address(),
            metrics_address: host.metrics_address(),
            tables: host.tables(),
            idle: Box::new(host.idle_counter()),
            stop: Some(stop),
            ended: Some(actix_rt::spawn(host.serve(async {
                let _ = stopped.await;
            }))),
        }
    }

    /// Returns this host as a seed of another host.
    pub(crate) fn seed(&self) -> PeerSeed {
        PeerSeed {
            host: self.name.clone(),
            domain: self.domain.clone(),
            peer_address: self.peer_address,
        }
    }

    /// Returns this host as the target of calls.
    pub(crate) fn target(&self) -> PeerTarget {
        PeerTarget {
            host: self.name.clone(),
            address: self.peer_address,
        }
    }

    /// Aborts the host without a drain, as a crash would.
    pub(crate) fn crash(&mut self) {
        if let Some(ended) = self.ended.take() {
            ended.abort();
        }
    }

    /// Returns the host's route of the tests' service.
    pub(crate) fn route(&self) -> Option<Arc<jujubehold_host::routing_table::ServiceRoute>> {
        self.tables.borrow().services.get(SERVICE).cloned()
    }

    /// Returns the primary and its term, as the host knows them.
    pub(crate) fn primary(&self) -> Option<(InstanceId, Term)> {
        let route = self.route()?;
        Some((route.view.primary.clone()?, route.view.term))
    }

    /// Whether the host knows the primary and has a sample of every instance.
    pub(crate) fn is_ready(&self) -> bool {
        let route = self.route();
        route.is_some_and(|route| {
            route.view.primary.is_some() && route.view.samples.len() == route.config.instances.len()
        })
    }

    /// Returns the number of idle connections to an instance.
    pub(crate) fn idle_count(&self, instance: &str) -> usize {
        (self.idle)(&SERVICE.into(), &instance.into())
    }

    /// Returns the host's current generation; 0 before it has a configuration.
    pub(crate) fn generation(&self) -> Generation {
        self.route().map_or(0, |route| route.config.generation)
    }

    /// Requests the host's drain.
    pub(crate) fn request_drain(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Waits until the host has stopped.
    pub(crate) async fn wait_until_stopped(&mut self) {
        if let Some(ended) = self.ended.take() {
            let limited = tokio::time::timeout(HANG_LIMIT, ended).await;
            limited
                .expect("the host stops")
                .expect("the host does not panic");
        }
    }

    /// Connects a caller.
    pub(crate) async fn connect(&self) -> tokio_postgres::Client {
        self.try_connect().await.expect("the caller connects")
    }

    /// Connects a caller; returns an error if the host refuses.
    pub(crate) async fn try_connect(
        &self,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        let address = self.caller_address;
        let text = format!(
            "host={} port={} user=clerk dbname={SERVICE}",
            address.ip(),
            address.port()
        );
        let (client, connection) = tokio_postgres::connect(&text, tokio_postgres::NoTls).await?;
        actix_rt::spawn(async move {
            // The client's calls report a lost connection.
            let _ = connection.await;
        });
        Ok(client)
    }
}
