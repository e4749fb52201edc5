//! Compares the throughput and latency of a host, and of a host that forwards to it, with the same
//! load directly on the same instance.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;

use crate::cluster::{Cluster, ClusterSettings};
use crate::error::LabError;
use crate::load::idle_memory::idle_memory_bytes;
use crate::load::load_report::LoadReport;
use crate::load::load_run::{LoadSettings, run_load};
use crate::report::Table;

/// How long the benchmark waits after it changes the configuration.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The data age that the benchmark's reads accept, so that no read contacts the primary first.
const READ_AGE: Duration = Duration::from_mins(1);
/// The number of hosts that watch a group of one failure domain, each with a probe connection.
const WATCHING_HOSTS: u32 = 2;
/// The number of connections that the instance accepts beyond those of the load.
const SPARE_CONNECTIONS: u32 = 200;

/// The settings of the benchmark.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BenchmarkSettings {
    /// The numbers of caller connections to measure.
    pub connections: Vec<usize>,
    /// The number of connections that the host keeps open to the instance.
    pub upstream_connections: u32,
    /// The number of the host's traffic threads.
    pub traffic_threads: usize,
    /// How long each load runs.
    pub duration: Duration,
    /// The statement.
    pub sql: String,
}

impl Default for BenchmarkSettings {
    fn default() -> Self {
        Self {
            connections: vec![1, 32, 2000],
            upstream_connections: 20,
            traffic_threads: 4,
            duration: Duration::from_secs(5),
            sql: "SELECT 1".into(),
        }
    }
}

/// Runs each load directly on the instance, through the host that owns the instance's connections,
/// and through a host that forwards to the owner, and returns the table of figures. All parts run
/// in this process.
///
/// # Errors
/// Returns an error if a part cannot be started or a load fails.
pub async fn run_benchmark(settings: &BenchmarkSettings) -> Result<Table, LabError> {
    let max_connections = settings.connections.iter().max().copied().unwrap_or(0);
    let max_connections = u32::try_from(max_connections).unwrap_or(u32::MAX / 2);
    // The instance also accepts the connections of the direct load, while the host's share, a third
    // of the configured connections, stays at the number in the settings.
    let cluster = Cluster::start(ClusterSettings {
        instances_per_service: 1,
        // The second host is not in the instance's failure domain.
        hosts: 2,
        connections: max_connections + SPARE_CONNECTIONS,
        slots: max_connections as usize + SPARE_CONNECTIONS as usize,
        connect_cost: Duration::ZERO,
        service: ServiceConfig {
            confirm: Confirm::None,
            read_age: READ_AGE,
            queue: max_connections + SPARE_CONNECTIONS,
            slots: settings.upstream_connections,
            ..ServiceConfig::default()
        },
        host: HostSettings {
            traffic_threads: settings.traffic_threads,
            ..HostSettings::default()
        },
        ..ClusterSettings::default()
    })
    .await?;
    let mut cluster = cluster;
    let service = Cluster::service_name(0);
    let mut config = cluster.configs[&service].clone();
    for instance in config.instances.values_mut() {
        instance.connections = settings.upstream_connections * 3 + WATCHING_HOSTS;
    }
    cluster.submit(config).await?;
    let owning_host = cluster.caller_address(0);
    let forwarding_host = cluster.caller_address(1);
    let instance_address = cluster
        .group(&service)
        .map(|(_, database)| database.address())
        .next();
    let Some(instance_address) = instance_address else {
        return Err(LabError::Start {
            part: "an instance",
            detail: "there is none".into(),
        });
    };
    actix_rt::time::sleep(SETTLE_TIME).await;
    let mut table = Table::new(&[
        "connections",
        "way",
        "statements/s",
        "p50 µs",
        "p99 µs",
        "failed",
        "rate to straight",
        "added p50 µs",
        "added p99 µs",
    ]);
    // Memory that a load has freed would hide the idle callers' memory, so they are measured first.
    let idle_bytes = idle_memory_bytes(owning_host, &service, max_connections as usize)?;
    for &connections in &settings.connections {
        let direct = run_one(settings, instance_address, connections)?;
        let through = run_one(settings, owning_host, connections)?;
        let forwarded = run_one(settings, forwarding_host, connections)?;
        table.row(row(connections, "straight", &direct, &direct));
        table.row(row(connections, "through a host", &through, &direct));
        table.row(row(
            connections,
            "forwarded to an owner",
            &forwarded,
            &direct,
        ));
    }
    table.row(vec![
        max_connections.to_string(),
        format!("idle: {idle_bytes} bytes a connection"),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
        String::new(),
    ]);
    Ok(table)
}

fn run_one(
    settings: &BenchmarkSettings,
    target: SocketAddr,
    connections: usize,
) -> Result<LoadReport, LabError> {
    run_load(&LoadSettings {
        targets: vec![target],
        sql: settings.sql.clone(),
        connections,
        duration: settings.duration,
        ..LoadSettings::default()
    })
}

fn row(connections: usize, way: &str, report: &LoadReport, direct: &LoadReport) -> Vec<String> {
    let ratio = report.rate_per_s() / direct.rate_per_s().max(f64::EPSILON);
    let added_us = |percent| {
        let direct_us = direct.percentile_us(percent);
        report.percentile_us(percent).saturating_sub(direct_us)
    };
    vec![
        connections.to_string(),
        way.to_owned(),
        format!("{:.0}", report.rate_per_s()),
        report.percentile_us(50.0).to_string(),
        report.percentile_us(99.0).to_string(),
        report.failed.to_string(),
        format!("{ratio:.2}"),
        added_us(50.0).to_string(),
        added_us(99.0).to_string(),
    ]
}
