//! A small installation in one process: stand-ins of the platform and of a group, and hosts.
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

/// Past this a test hangs; it is no measure of speed.
pub(crate) const HANG_LIMIT: Duration = Duration::from_secs(40);

/// The service that the tests use.
pub(crate) const SERVICE: &str = "shares";

/// Waits until `is_true` says so.
pub(crate) async fn wait_until(what: &str, mut is_true: impl FnMut() -> bool) {
    let waiting = async {
        while !is_true() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let has_come = tokio::time::timeout(HANG_LIMIT, waiting).await.is_ok();
    assert!(has_come, "waited in vain until {what}");
}

/// The platform and a group of three instances, each in a failure domain of its own.
pub(crate) struct Installation {
    /// The platform.
    pub(crate) platform: Platform,
    /// The instances `a`, `b` and `c`, of which `a` is the first primary.
    pub(crate) instances: Vec<Database>,
}

impl Installation {
    /// Starts the platform and the instances, and submits the first configuration.
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

    /// A configuration of the group.
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

    /// A client of the platform.
    pub(crate) fn kv(&self) -> KvClient {
        KvClient::new(self.platform.address(), Duration::from_secs(5))
    }

    /// Submits a configuration over whatever stands.
    pub(crate) async fn submit(&self, config: &ServiceConfig) {
        let key = service_key(&config.service);
        let mut kv = self.kv();
        let shown = kv.get(&key).await.expect("the platform answers");
        let revision = shown.map_or(0, |entry| entry.mod_revision);
        let text = format_service(config).into_bytes();
        let is_written = kv.put_if(&key, revision, text).await;
        assert!(is_written.expect("the platform answers"), "nothing races");
    }

    /// Puts a host on the platform's list.
    pub(crate) async fn list_host(&self, host: &str, domain: &str, peer_address: SocketAddr) {
        let text = format!("domain={domain}\npeer_address={peer_address}\nstate=live\n");
        let key = format!("{HOSTS_PREFIX}{host}");
        let written = self.kv().put_if(&key, 0, text.into_bytes()).await;
        assert!(written.expect("the platform answers"), "the key is new");
    }

    /// Settings of a host in this installation, on free ports.
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

/// Counts idle connections to an instance.
type IdleCounter = Box<dyn Fn(&ServiceId, &InstanceId) -> usize>;

/// A host that runs until it is told to stop.
pub(crate) struct RunningHost {
    /// Its name.
    pub(crate) name: HostId,
    /// Where callers connect.
    pub(crate) caller_address: SocketAddr,
    /// Where other hosts connect.
    pub(crate) peer_address: SocketAddr,
    /// Its domain.
    pub(crate) domain: DomainId,
    /// Its metrics page.
    pub(crate) metrics_address: Option<SocketAddr>,
    /// Its routing tables.
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

    /// This host as another one's seed.
    pub(crate) fn seed(&self) -> PeerSeed {
        PeerSeed {
            host: self.name.clone(),
            domain: self.domain.clone(),
            peer_address: self.peer_address,
        }
    }

    /// This host as one that is called.
    pub(crate) fn target(&self) -> PeerTarget {
        PeerTarget {
            host: self.name.clone(),
            address: self.peer_address,
        }
    }

    /// Ends the host without a word, as a crash would.
    pub(crate) fn crash(&mut self) {
        if let Some(ended) = self.ended.take() {
            ended.abort();
        }
    }

    /// The route of the tests' service.
    pub(crate) fn route(&self) -> Option<Arc<jujubehold_host::routing_table::ServiceRoute>> {
        self.tables.borrow().services.get(SERVICE).cloned()
    }

    /// The primary and its term, as the host knows them.
    pub(crate) fn primary(&self) -> Option<(InstanceId, Term)> {
        let route = self.route()?;
        Some((route.view.primary.clone()?, route.view.term))
    }

    /// Whether the host knows the primary and has a word of every instance.
    pub(crate) fn is_ready(&self) -> bool {
        let route = self.route();
        route.is_some_and(|route| {
            route.view.primary.is_some() && route.view.samples.len() == route.config.instances.len()
        })
    }

    /// How many connections to an instance lie idle.
    pub(crate) fn idle_count(&self, instance: &str) -> usize {
        (self.idle)(&SERVICE.into(), &instance.into())
    }

    /// The generation in force.
    pub(crate) fn generation(&self) -> Generation {
        self.route().map_or(0, |route| route.config.generation)
    }

    /// Asks the host to leave.
    pub(crate) fn ask_to_leave(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Waits until the host has left.
    pub(crate) async fn ended(&mut self) {
        if let Some(ended) = self.ended.take() {
            let limited = tokio::time::timeout(HANG_LIMIT, ended).await;
            limited
                .expect("the host leaves")
                .expect("it does not panic");
        }
    }

    /// A caller's connection.
    pub(crate) async fn connect(&self) -> tokio_postgres::Client {
        self.try_connect().await.expect("the caller connects")
    }

    /// A caller's connection, if it can be had.
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
            // The client's calls tell of a lost connection.
            let _ = connection.await;
        });
        Ok(client)
    }
}
