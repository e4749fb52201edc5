//! A group of stand-in databases, and the traffic part of a host.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_host::clock::Clock;
use jujubehold_host::drain_phase::DrainPhase;
use jujubehold_host::observation::{Observation, ObservationReceiver};
use jujubehold_host::routing_table::{Owner, RoutingTable, ServiceRoute};
use jujubehold_host::shared::Shared;
use jujubehold_host::traffic::{TrafficThreads, accept_callers};
use jujubehold_settings::HostSettings;
use jujubehold_standin::database::{Database, DatabaseSettings, StatementRun};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio_postgres::{Client, Error, NoTls, SimpleQueryMessage};

/// How long a test waits before it counts as hung.
pub(crate) const HANG_TIMEOUT: Duration = Duration::from_secs(30);

const PROBE_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) const SERVICE: &str = "ledger";

/// Three stand-ins, of which `a` is the primary, behind a host's traffic threads.
pub(crate) struct Fixture {
    pub(crate) databases: Arc<Vec<Database>>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) address: SocketAddr,
    control: Rc<RefCell<FakeControl>>,
}

/// A substitute for the control thread.
struct FakeControl {
    databases: Arc<Vec<Database>>,
    clock: Clock,
    route: ServiceRoute,
    table: watch::Sender<Arc<RoutingTable>>,
    observations: ObservationReceiver,
    is_stopped: bool,
    _phase: watch::Sender<DrainPhase>,
}

impl Fixture {
    pub(crate) async fn start(config: ServiceConfig) -> Self {
        Self::start_with(config, HostSettings::default()).await
    }

    /// Starts the fixture with these host settings.
    pub(crate) async fn start_with(config: ServiceConfig, settings: HostSettings) -> Self {
        let mut databases = Vec::new();
        for name in ["a", "b", "c"] {
            let settings = DatabaseSettings {
                name: name.into(),
                primary: databases.first().map(Database::address),
                connect_cost: Duration::ZERO,
                slots: 16,
                connection_limit: 100,
                records_runs: true,
                ..DatabaseSettings::default()
            };
            databases.push(Database::start(settings).await.expect("a stand-in starts"));
        }
        let instances = databases
            .iter()
            .map(|database| {
                let instance = InstanceConfig {
                    address: database.address(),
                    domain: "local".into(),
                    region: "local".into(),
                    state: InstanceState::Active,
                    // Three shares of 20, and the probes of two watchers.
                    connections: 62,
                };
                (database.status().instance, instance)
            })
            .collect();
        let config = ServiceConfig {
            service: SERVICE.into(),
            generation: 1,
            instances,
            slots: 16,
            ..config
        };
        let settings = HostSettings {
            traffic_threads: 2,
            ..settings
        };
        let (table, table_receiver) = watch::channel(Arc::new(RoutingTable::default()));
        let (phase, phase_receiver) = watch::channel(DrainPhase::Serving);
        let (observation_sender, observations) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(
            settings,
            Clock::start(),
            table_receiver,
            observation_sender,
            phase_receiver,
        ));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound listener");
        let accepting = shared.clone();
        actix_rt::spawn(async move {
            let mut threads = TrafficThreads::start(accepting.settings.traffic_threads);
            accept_callers(listener, accepting, &mut threads).await;
        });
        let route = ServiceRoute {
            config: Arc::new(config),
            view: GroupView::default(),
            owners: BTreeMap::new(),
        };
        let databases = Arc::new(databases);
        let control = Rc::new(RefCell::new(FakeControl {
            databases: databases.clone(),
            clock: shared.clock,
            route,
            table,
            observations,
            is_stopped: false,
            _phase: phase,
        }));
        control.borrow_mut().probe();
        actix_rt::spawn(keep_probing(control.clone()));
        Self {
            databases,
            shared,
            address,
            control,
        }
    }

    /// Updates the routing table with every instance's status, as the control thread would.
    pub(crate) fn probe(&self) {
        self.control.borrow_mut().probe();
    }

    /// Stops updating the host's view of the group.
    pub(crate) fn stop_probing(&self) {
        self.control.borrow_mut().is_stopped = true;
    }

    /// Edits the host's view of the group and stops updating it.
    pub(crate) fn edit_view(&self, edit: impl FnOnce(&mut GroupView)) {
        self.stop_probing();
        let mut control = self.control.borrow_mut();
        edit(&mut control.route.view);
        control.publish();
    }

    /// Sets the owners of an instance's connections.
    pub(crate) fn set_owners(&self, instance: &str, owners: Vec<Owner>) {
        let mut control = self.control.borrow_mut();
        control.route.owners.insert(instance.into(), owners);
        control.publish();
    }

    /// Returns the prepared statements that ran, at one instance after the other.
    pub(crate) fn statement_runs(&self) -> Vec<StatementRun> {
        self.databases
            .iter()
            .flat_map(Database::statement_runs)
            .collect()
    }

    /// Opens a caller's session.
    pub(crate) async fn connect(&self) -> Client {
        connect(self.address, "").await
    }

    /// Opens a session that starts with `token`.
    pub(crate) async fn connect_with(&self, token: &str) -> Client {
        connect(self.address, token).await
    }

    /// Creates a table with one row, `n` = 0, and waits until it is applied everywhere.
    ///
    /// It is written directly at the primary, so that a test's short statement timeout does not
    /// affect it.
    pub(crate) async fn create_counter(&mut self) {
        let client = connect(self.databases[0].address(), "").await;
        run(&client, "CREATE TABLE counter (n int)").await;
        run(&client, "INSERT INTO counter VALUES (0)").await;
        self.wait_applied().await;
    }

    /// Waits until every replica has applied the primary's position, and probes.
    pub(crate) async fn wait_applied(&mut self) {
        let target = self.databases[0].status().applied;
        for database in self.databases.iter() {
            wait_until(|| database.status().applied >= target).await;
        }
        self.probe();
    }
}

impl FakeControl {
    fn probe(&mut self) {
        for database in self.databases.iter() {
            let now = self.clock.now();
            self.route.view.observe(now, database.status());
        }
        while let Ok(observation) = self.observations.try_recv() {
            if let Observation::Status {
                sent_at, status, ..
            } = observation
            {
                self.route.view.observe(sent_at, status);
            }
        }
        self.publish();
    }

    fn publish(&self) {
        let services = BTreeMap::from([(SERVICE.into(), Arc::new(self.route.clone()))]);
        self.table.send_replace(Arc::new(RoutingTable {
            services,
            ..RoutingTable::default()
        }));
    }
}

async fn keep_probing(control: Rc<RefCell<FakeControl>>) {
    while !control.borrow().is_stopped {
        control.borrow_mut().probe();
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}

/// Runs one of the group's functions on an instance.
pub(crate) async fn call(database: &Database, sql: &str) -> InstanceStatus {
    let client = connect(database.address(), "").await;
    let text = text(&client, sql).await;
    InstanceStatus::parse(&text).expect("a status")
}

pub(crate) async fn connect(address: SocketAddr, token: &str) -> Client {
    let options = format!("-c jujubehold.session={token}");
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("clerk")
        .dbname(SERVICE);
    if !token.is_empty() {
        config.options(&options);
    }
    let start = std::time::Instant::now();
    let (client, connection) = loop {
        match config.connect(NoTls).await {
            Ok(connected) => break connected,
            Err(error) => assert!(
                start.elapsed() < HANG_TIMEOUT,
                "cannot open a session: {error}"
            ),
        }
        // A revived instance starts listening slightly later.
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    actix_rt::spawn(async move {
        // A connection that a test closes ends with an error.
        let _ = connection.await;
    });
    client
}

/// Opens a session directly at an instance, if it accepts one.
pub(crate) async fn try_connect(address: SocketAddr) -> Option<Client> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user("clerk")
        .dbname(SERVICE);
    let (client, connection) = config.connect(NoTls).await.ok()?;
    actix_rt::spawn(async move {
        // A connection that a test closes ends with an error.
        let _ = connection.await;
    });
    Some(client)
}

/// Runs a simple query that must succeed.
pub(crate) async fn run(client: &Client, sql: &str) {
    try_run(client, sql).await.expect(sql);
}

/// Runs a simple query; returns the first value of the first row, or an error's SQLSTATE and
/// detail.
pub(crate) async fn try_run(client: &Client, sql: &str) -> Result<String, (String, String)> {
    let answer = tokio::time::timeout(HANG_TIMEOUT, client.simple_query(sql)).await;
    let messages = answer
        .expect("the operation timed out")
        .map_err(|error| error_text(&error))?;
    let row = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    });
    Ok(row.unwrap_or_default())
}

/// Returns the first column of the first row.
pub(crate) async fn text(client: &Client, sql: &str) -> String {
    try_run(client, sql).await.expect(sql)
}

/// Returns the SQLSTATE and detail of an error; empty if the session broke.
pub(crate) fn error_text(error: &Error) -> (String, String) {
    error.as_db_error().map_or_else(Default::default, |error| {
        let detail = error.detail().unwrap_or_default().to_owned();
        (error.code().code().to_owned(), detail)
    })
}

pub(crate) async fn wait_until(mut condition: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < HANG_TIMEOUT,
            "the condition was not met in time"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
