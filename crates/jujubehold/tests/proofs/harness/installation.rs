//! Starts an installation and controls its parts.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_faults::{FaultProxy, FaultSettings, Protocol, RouteSettings};
use jujubehold_settings::format_service;
use jujubehold_standin::database::{Database, DatabaseSettings};
use jujubehold_standin::platform::{Platform, PlatformSettings};
use jujubehold_wire::kv::PutRequest;
use jujubehold_wire::kv::kv_client::KvClient;
use tokio_postgres::{Client, NoTls};

use super::caller::Caller;
use super::host_process::{HostProcess, HostSpec};
use super::wait_until;
use super::workload::{Report, Workload};

/// The service that the tests use.
pub(crate) const SERVICE: &str = "ledger";
/// The group's instances; the first is the primary of term 1.
pub(crate) const INSTANCES: [&str; 3] = ["a", "b", "c"];

/// The number of callers of a workload.
const CALLERS: i64 = 6;

/// A read that every instance may serve.
const READ: &str = "SELECT count(*) FROM orders";

/// The parts of an installation and their settings.
#[derive(Debug, Clone)]
pub(crate) struct Layout {
    /// The failure domain of each host.
    pub(crate) host_domains: Vec<&'static str>,
    /// The failure domain of each instance.
    pub(crate) instance_domains: [&'static str; 3],
    pub(crate) confirm: Confirm,
    pub(crate) read_age: Duration,
    pub(crate) service_time: Duration,
    /// How long a leaving primary waits for its transactions.
    pub(crate) leaving_grace: Duration,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            host_domains: vec!["east", "west"],
            instance_domains: ["east", "west", "west"],
            confirm: Confirm::Replica,
            read_age: Duration::ZERO,
            service_time: Duration::ZERO,
            leaving_grace: Duration::from_secs(2),
        }
    }
}

/// A running installation.
///
/// The routes of the fault proxy are named `a`, `b` and `c` in front of the instances,
/// `replication` between the first primary and its replicas, `platform-N` between host N and the
/// platform, and `callers-N` in front of host N. Those of the links are named in `links`.
#[derive(Debug)]
pub(crate) struct Installation {
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) databases: BTreeMap<&'static str, Database>,
    pub(crate) faults: FaultProxy,
    pub(crate) platform: Platform,
    pub(crate) config: ServiceConfig,
    directory: PathBuf,
    pub(super) host_specs: Vec<HostSpec>,
}

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Installation {
    /// Starts all parts and waits until each host serves reads and writes.
    pub(crate) async fn start(layout: Layout) -> Self {
        let platform = Platform::start(PlatformSettings::default())
            .await
            .expect("the platform");
        let faults = FaultProxy::start(FaultSettings::default())
            .await
            .expect("the fault proxy");
        let databases = start_databases(&faults, &layout).await;
        let config = configuration(&faults, &layout);
        let mut host_specs = Vec::new();
        for (number, domain) in layout.host_domains.iter().enumerate() {
            let name = format!("platform-{number}");
            let platform_address = add_route(&faults, &name, platform.address()).await;
            let spec = HostSpec {
                leaving_grace: layout.leaving_grace,
                ..HostSpec::new(&format!("host-{number}"), domain, platform_address)
            };
            add_route(&faults, &format!("callers-{number}"), spec.caller_address).await;
            host_specs.push(spec);
        }
        let mut installation = Self {
            hosts: Vec::new(),
            databases,
            faults,
            platform,
            config,
            directory: new_directory(),
            host_specs,
        };
        installation.create_table().await;
        installation.submit(1).await;
        installation.open_links().await;
        for number in 0..installation.host_specs.len() {
            installation.start_host(number);
        }
        for number in 0..installation.host_specs.len() {
            installation.wait_for_host(number).await;
        }
        installation
    }

    /// Starts an installation and a workload of callers.
    pub(crate) async fn start_under_load(layout: Layout) -> (Self, Workload) {
        let installation = Self::start(layout).await;
        let workload = Workload::start(CALLERS, &installation.caller_addresses());
        workload.wait_for(20).await;
        (installation, workload)
    }

    /// Waits for more writes, stops the callers and checks the outcomes that they received.
    pub(crate) async fn check(&self, workload: Workload) -> Report {
        workload.wait_for(30).await;
        let report = workload.stop().await;
        report.check(&self.row_counts().await);
        report
    }

    /// Cuts every host off from the platform.
    pub(crate) fn cut_platform(&self) {
        for number in 0..self.host_specs.len() {
            let route = format!("platform-{number}");
            self.faults.cut(&route).expect("the route exists");
        }
    }

    /// Restarts a host with another key for signing tokens.
    pub(crate) async fn change_token_key(&mut self, number: usize, key: &'static str) {
        self.hosts[number].kill();
        self.host_specs[number].token_key = Some(key);
        self.start_host(number);
        self.wait_for_host(number).await;
    }

    /// Starts the host with this number, or restarts it after it has exited.
    pub(crate) fn start_host(&mut self, number: usize) {
        let spec = self.host_specs[number].clone();
        let host = HostProcess::start(&self.directory, spec, &self.host_specs);
        if number < self.hosts.len() {
            self.hosts[number] = host;
        } else {
            self.hosts.push(host);
        }
    }

    /// Waits until a host serves reads and writes.
    pub(crate) async fn wait_for_host(&self, number: usize) {
        wait_until(&format!("host {number} serves"), async || {
            let mut caller = self.caller(number);
            let is_read = caller.run(READ).await.is_ran();
            is_read && caller.run("DELETE FROM orders WHERE id < 0").await.is_ran()
        })
        .await;
    }

    /// Returns a caller of the host with this number, which connects through the fault proxy.
    pub(crate) fn caller(&self, number: usize) -> Caller {
        Caller::new(self.caller_address(number))
    }

    /// Returns the address of the fault proxy's route in front of a host, to which callers connect.
    pub(crate) fn caller_address(&self, number: usize) -> SocketAddr {
        self.faults
            .address(&format!("callers-{number}"))
            .expect("the route exists")
    }

    pub(crate) fn caller_addresses(&self) -> Vec<SocketAddr> {
        (0..self.host_specs.len())
            .map(|number| self.caller_address(number))
            .collect()
    }

    /// Writes the configuration with this generation, and returns the platform's revision after it.
    pub(crate) async fn submit(&self, generation: Generation) -> i64 {
        let config = ServiceConfig {
            generation,
            ..self.config.clone()
        };
        self.put_configuration(&config).await
    }

    /// Writes a configuration and returns the platform's revision after it.
    pub(crate) async fn put_configuration(&self, config: &ServiceConfig) -> i64 {
        let service = &config.service;
        let address = format!("http://{}", self.platform.address());
        let mut kv = KvClient::connect(address)
            .await
            .expect("the platform accepts calls");
        let put = PutRequest {
            key: format!("/jujubehold/services/{service}").into_bytes(),
            value: format_service(config).into_bytes(),
            ..PutRequest::default()
        };
        let answer = kv
            .put(put)
            .await
            .expect("the platform accepts the configuration");
        answer
            .into_inner()
            .header
            .expect("answers have a header")
            .revision
    }

    /// Returns the primary of the highest term.
    pub(crate) fn primary(&self) -> &'static str {
        let primaries = self.databases.iter().filter_map(|(name, database)| {
            let status = database.status();
            (status.role == Role::Primary).then_some((status.term, *name))
        });
        primaries.max().expect("some instance is a primary").1
    }

    /// Returns whether no instance was fenced or promoted beyond the first term.
    pub(crate) fn is_in_first_term(&self) -> bool {
        self.databases
            .values()
            .map(Database::status)
            .all(|status| status.term <= 1 && status.fence_term <= 1)
    }

    /// Waits until an instance other than `old` is the primary.
    pub(crate) async fn wait_for_failover(&self, old: &str) {
        wait_until("another primary", async || self.primary() != old).await;
    }

    /// Returns the number of rows for each id at the newest primary.
    pub(crate) async fn row_counts(&self) -> BTreeMap<i64, i64> {
        let client = connect(self.databases[self.primary()].address()).await;
        let sql = "SELECT id, count(*) FROM orders GROUP BY id";
        let rows = client.query(sql, &[]).await.expect("the primary answers");
        rows.iter().map(|row| (row.get(0), row.get(1))).collect()
    }

    /// Returns whether reads at a host skip one replica while the other one serves them.
    ///
    /// The caller keeps its connection, because a session's first reads need data that is as new as
    /// the connection.
    pub(crate) async fn avoids_replica(&self, replica: &str, number: usize) -> bool {
        const READS: usize = 20;
        let other = INSTANCES
            .into_iter()
            .skip(1)
            .find(|name| *name != replica)
            .expect("there are two replicas");
        let count = |name: &str| self.databases[name].statement_count();
        let before = count(replica);
        let goal = count(other) + READS;
        let mut caller = self.caller(number);
        wait_until("the other replica serves reads", async || {
            caller.run(READ).await;
            count(other) >= goal || count(replica) > before
        })
        .await;
        count(replica) == before
    }

    /// Returns a replica that serves reads at present, so that a test can see when it stops.
    pub(crate) async fn replica_serving_reads(&self) -> &'static str {
        let mut found = None;
        let mut callers: Vec<Caller> = (0..self.hosts.len())
            .map(|number| self.caller(number))
            .collect();
        wait_until("a replica serves reads", async || {
            let count = |name: &str| self.databases[name].statement_count();
            let before = INSTANCES.map(count);
            for caller in &mut callers {
                caller.run(READ).await;
            }
            found = INSTANCES
                .into_iter()
                .zip(before)
                .skip(1)
                .find(|(name, before)| count(name) > *before)
                .map(|(name, _)| name);
            found.is_some()
        })
        .await;
        found.expect("the wait ends only after a replica was found")
    }

    /// Returns the second generation of the configuration, in which an instance is leaving.
    pub(crate) fn config_with_leaving(&self, instance: &str) -> ServiceConfig {
        let mut config = ServiceConfig {
            generation: 2,
            ..self.config.clone()
        };
        let leaving = config
            .instances
            .get_mut(instance)
            .expect("the instance is there");
        leaving.state = InstanceState::Leaving;
        config
    }

    async fn create_table(&self) {
        let client = connect(self.databases[INSTANCES[0]].address()).await;
        let sql = "CREATE TABLE orders (id BIGINT, caller BIGINT, text TEXT)";
        client
            .batch_execute(sql)
            .await
            .expect("the primary creates the table");
        wait_until("every instance has the table", async || {
            self.databases
                .values()
                .all(|database| database.status().applied == 1)
        })
        .await;
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for (name, database) in &self.databases {
                eprintln!("--- {name}: {}", database.status());
            }
        }
        self.hosts.clear();
        if std::thread::panicking() {
            eprintln!("--- the hosts' logs are in {}", self.directory.display());
            return;
        }
        // The operating system cleans up what cannot be removed.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Opens a direct connection to an instance.
pub(crate) async fn connect(address: SocketAddr) -> Client {
    let text = format!(
        "host={} port={} user=test dbname=test",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls)
        .await
        .expect("the instance accepts a connection");
    actix_rt::spawn(async move {
        // A connection that a test cuts ends with an error.
        let _ = connection.await;
    });
    client
}

pub(super) async fn add_route(faults: &FaultProxy, name: &str, target: SocketAddr) -> SocketAddr {
    let route = RouteSettings {
        name: name.into(),
        protocol: Protocol::Tcp,
        listen: loopback(),
        target,
    };
    faults.add_route(route).await.expect("the route opens")
}

async fn start_databases(faults: &FaultProxy, layout: &Layout) -> BTreeMap<&'static str, Database> {
    let mut databases = BTreeMap::new();
    let mut primary = None;
    for name in INSTANCES {
        let settings = DatabaseSettings {
            name: name.into(),
            primary,
            service_time: layout.service_time,
            ..DatabaseSettings::default()
        };
        let database = Database::start(settings)
            .await
            .expect("the instance starts");
        add_route(faults, name, database.address()).await;
        if primary.is_none() {
            primary = Some(add_route(faults, "replication", database.address()).await);
        }
        databases.insert(name, database);
    }
    databases
}

fn configuration(faults: &FaultProxy, layout: &Layout) -> ServiceConfig {
    let instances = INSTANCES
        .iter()
        .zip(layout.instance_domains)
        .map(|(name, domain)| {
            let config = InstanceConfig {
                address: faults.address(name).expect("the route exists"),
                domain: domain.into(),
                region: "local".into(),
                state: InstanceState::Active,
                connections: 18,
            };
            (InstanceId::new(name), config)
        });
    ServiceConfig {
        service: SERVICE.into(),
        instances: instances.collect(),
        confirm: layout.confirm,
        read_age: layout.read_age,
        ..ServiceConfig::default()
    }
}

fn new_directory() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("jujubehold-proofs-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the directory is created");
    directory
}
