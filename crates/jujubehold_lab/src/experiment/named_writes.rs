//! Compares the cost of named writes with that of unnamed ones. The caller names a write
//! with `SET jujubehold.request` before it.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_faults::{
    Direction, FaultError, FaultProxy, FaultSettings, LinkFaults, Protocol, RouteSettings,
};

use crate::cluster::{Cluster, ClusterSettings};
use crate::error::LabError;
use crate::load::{LoadConnection, LoadReport};
use crate::report::Table;
use crate::workload::create_ledger;

const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the experiment waits for the host to adopt its instances' new addresses.
const SETTLE_TIME: Duration = Duration::from_secs(3);
const CREATE_SQL: &str = "CREATE TABLE casks (id BIGINT, hoops BIGINT)";
const FILL_SQL: &str = "INSERT INTO casks (id, hoops) VALUES (1, 0)";
const WRITE_SQL: &str = "UPDATE casks SET hoops = hoops + 1 WHERE id = 1";

/// The settings of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedWritesSettings {
    /// The one-way delays between the host and each instance to measure.
    pub delays: Vec<Duration>,
    /// How long each kind of write is repeated.
    pub duration: Duration,
}

impl Default for NamedWritesSettings {
    fn default() -> Self {
        Self {
            delays: vec![Duration::ZERO, Duration::from_millis(5)],
            duration: Duration::from_secs(5),
        }
    }
}

/// Repeats a write at each delay, without and with names, on one connection, and returns the table
/// of figures.
///
/// # Errors
/// Returns an error if a part cannot be started or a connection fails.
pub async fn run_named_writes(settings: &NamedWritesSettings) -> Result<Table, LabError> {
    let mut cluster = Cluster::start(ClusterSettings {
        hosts: 1,
        ..ClusterSettings::default()
    })
    .await?;
    let service = Cluster::service_name(0);
    let host = cluster.caller_address(0);
    let faults = FaultProxy::start(FaultSettings::default())
        .await
        .map_err(|error| start_error(error.to_string()))?;
    route_through_proxy(&mut cluster, &service, &faults).await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    // The pool keeps open connections, so no caller may connect before the addresses have changed.
    create_ledger(host, &service, FIRST_WRITE_TIMEOUT).await?;
    let mut connection = LoadConnection::open(host, &service, None).await?;
    for sql in [CREATE_SQL, FILL_SQL] {
        connection.run(sql).await?;
    }
    let mut table = Table::new(&[
        "one-way delay ms",
        "write",
        "writes/s",
        "p50 ms",
        "p99 ms",
        "failed",
    ]);
    for delay in &settings.delays {
        set_delay(&cluster, &service, &faults, *delay)?;
        for is_named in [false, true] {
            let report = repeat(&mut connection, settings.duration, is_named).await?;
            let kind = if is_named { "named" } else { "unnamed" };
            table.row(vec![
                delay.as_millis().to_string(),
                kind.to_owned(),
                format!("{:.0}", report.rate_per_s()),
                format!("{:.2}", report.percentile_us(50.0) as f64 / 1000.0),
                format!("{:.2}", report.percentile_us(99.0) as f64 / 1000.0),
                report.failed.to_string(),
            ]);
        }
    }
    Ok(table)
}

// The latency of a named write includes the SET statement that names it.
async fn repeat(
    connection: &mut LoadConnection,
    duration: Duration,
    is_named: bool,
) -> Result<LoadReport, LabError> {
    let mut report = LoadReport::new();
    let started_at = Instant::now();
    let run = rand::random::<u64>();
    let mut number = 0_u64;
    while started_at.elapsed() < duration {
        let sent_at = Instant::now();
        if is_named {
            number += 1;
            let set_sql = format!("SET jujubehold.request = '{run:x}-{number}'");
            connection.run(&set_sql).await?;
        }
        let answer = connection.run(WRITE_SQL).await?;
        report.record(answer.is_ok(), sent_at.elapsed());
    }
    report.elapsed = started_at.elapsed();
    Ok(report)
}

async fn route_through_proxy(
    cluster: &mut Cluster,
    service: &ServiceId,
    faults: &FaultProxy,
) -> Result<(), LabError> {
    let mut config = cluster.configs[service].clone();
    for (name, instance) in &mut config.instances {
        let route = RouteSettings {
            name: name.clone(),
            protocol: Protocol::Tcp,
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target: instance.address,
        };
        instance.address = faults
            .add_route(route)
            .await
            .map_err(|error| fault_error(&error))?;
    }
    cluster.submit(config).await?;
    Ok(())
}

fn set_delay(
    cluster: &Cluster,
    service: &ServiceId,
    faults: &FaultProxy,
    delay: Duration,
) -> Result<(), LabError> {
    for (name, _) in cluster.group(service) {
        for direction in [Direction::Up, Direction::Down] {
            let link = LinkFaults {
                delay,
                ..LinkFaults::default()
            };
            faults
                .set(name, direction, link)
                .map_err(|error| fault_error(&error))?;
        }
    }
    Ok(())
}

fn fault_error(error: &FaultError) -> LabError {
    start_error(error.to_string())
}

fn start_error(detail: String) -> LabError {
    LabError::Start {
        part: "the fault proxy",
        detail,
    }
}
