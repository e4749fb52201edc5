//! Measures the cost of whole hosts that run in this process beside stand-ins.

use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;

use crate::capacity::slope::Slope;
use crate::capacity::usage::processor_time;
use crate::cluster::{Cluster, ClusterSettings};
use crate::error::LabError;
use crate::load::{idle_memory_bytes, resident_bytes};
use crate::report::{counter_sum, start_counting};

const DOMAIN_COUNTS: [u32; 5] = [1, 2, 4, 6, 8];
const HOST_COUNTS: [u32; 5] = [3, 6, 12, 24, 36];
const SERVICE_COUNTS: [u32; 5] = [1, 2, 4, 8, 12];
const IDLE_CALLER_COUNTS: [u32; 4] = [250, 500, 1000, 2000];
const CHANGE_RATES_PER_S: [u32; 4] = [1, 2, 5, 10];
/// 2,400 hosts over 26 failure domains.
const TARGET_HOSTS_PER_DOMAIN: f64 = 92.0;
const TARGET_DOMAINS: f64 = 26.0;
/// The number of hosts in each domain for the slope by failure domains.
const HOSTS_PER_DOMAIN: u32 = 3;
/// 12,600 instances over 2,400 hosts, each with two owners, in services of three instances.
const TARGET_SERVICES_PER_HOST: f64 = 10.5;
/// 5.2 million callers over 2,400 hosts.
const TARGET_CALLERS_PER_HOST: f64 = 2167.0;
/// 4,400 changes a day, if a day's changes all come within one hour.
const TARGET_CHANGES_PER_S: f64 = 1.2;
/// The number of hosts that watch a group at the target: two in each of its three failure domains.
const WATCHING_HOSTS: usize = 6;
/// How long an installation runs before it is observed.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// The additional settling time for each host, in which it receives the gossip of all hosts that
/// started with it.
const SETTLE_TIME_PER_HOST: Duration = Duration::from_millis(700);
const OBSERVATION_TIME: Duration = Duration::from_secs(8);

/// The cost of one host's control work while there is no traffic.
struct QuietCost {
    processor_percent: f64,
    sent_bytes_per_s: f64,
    probes_per_s: f64,
    probe_bytes_per_s: f64,
    memory_mb: f64,
    platform_calls_per_s: f64,
}

/// Measures the slopes of whole hosts by one kind of size.
///
/// # Errors
/// Returns an error if a part cannot be started.
pub(crate) async fn measure(part: HostPart) -> Result<Vec<Slope>, LabError> {
    start_counting();
    match part {
        HostPart::Hosts => {
            quiet_slopes("hosts of one domain", &HOST_COUNTS, TARGET_HOSTS_PER_DOMAIN).await
        }
        HostPart::Domains => quiet_slopes("failure domains", &DOMAIN_COUNTS, TARGET_DOMAINS).await,
        HostPart::Services => {
            quiet_slopes("services", &SERVICE_COUNTS, TARGET_SERVICES_PER_HOST).await
        }
        HostPart::Callers => Ok(vec![idle_caller_slope().await?]),
        HostPart::Changes => change_slopes().await,
    }
}

/// The size by which the cost of whole hosts is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HostPart {
    /// Hosts of one failure domain.
    Hosts,
    /// Failure domains.
    Domains,
    /// Services that a host watches.
    Services,
    /// Idle caller connections.
    Callers,
    /// Changes of configuration a second.
    Changes,
}

async fn quiet_slopes(
    by: &'static str,
    sizes: &[u32],
    target: f64,
) -> Result<Vec<Slope>, LabError> {
    let names = [
        ("processor of a quiet host", "% of a core"),
        ("control bytes sent by a quiet host", "bytes/s"),
        ("probes by a quiet host", "1/s"),
        (
            "bytes of a quiet host's probes, both ways, without headers",
            "bytes/s",
        ),
        ("memory of a quiet host", "MB"),
        ("platform calls of a quiet host", "calls/s"),
    ];
    let mut points: [Vec<(f64, f64)>; 6] = Default::default();
    for &size in sizes {
        let settings = match by {
            "services" => quiet_cluster(WATCHING_HOSTS, size as usize, 3),
            "failure domains" => {
                quiet_cluster((size * HOSTS_PER_DOMAIN) as usize, 1, size as usize)
            }
            _ => quiet_cluster(size as usize, 1, 1),
        };
        let cost = quiet_cost(settings).await?;
        let values = [
            cost.processor_percent,
            cost.sent_bytes_per_s,
            cost.probes_per_s,
            cost.probe_bytes_per_s,
            cost.memory_mb,
            cost.platform_calls_per_s,
        ];
        for (series, value) in points.iter_mut().zip(values) {
            series.push((f64::from(size), value));
        }
    }
    Ok(names
        .into_iter()
        .zip(points)
        .map(|((what, unit), points)| Slope {
            what: format!("{what}, by {by}"),
            by,
            unit,
            points,
            target,
        })
        .collect())
}

fn quiet_cluster(hosts: usize, services: usize, domains: usize) -> ClusterSettings {
    let domains = (0..domains)
        .map(|index| format!("domain-{index}").into())
        .collect();
    ClusterSettings {
        domains,
        hosts,
        services,
        host: HostSettings {
            traffic_threads: 1,
            ..HostSettings::default()
        },
        connect_cost: Duration::ZERO,
        ..ClusterSettings::default()
    }
}

/// Runs an installation without callers and divides its cost by the number of hosts. A run without
/// hosts measures the stand-ins' processor time and memory, which are subtracted.
async fn quiet_cost(settings: ClusterSettings) -> Result<QuietCost, LabError> {
    let hosts = settings.hosts as f64;
    let base = observe(ClusterSettings {
        hosts: 0,
        ..settings.clone()
    })
    .await?;
    let whole = observe(settings).await?;
    Ok(QuietCost {
        processor_percent: (whole.processor_percent - base.processor_percent).max(0.0) / hosts,
        sent_bytes_per_s: whole.sent_bytes_per_s / hosts,
        probes_per_s: whole.probes_per_s / hosts,
        probe_bytes_per_s: whole.probe_bytes_per_s / hosts,
        memory_mb: (whole.memory_mb - base.memory_mb).max(0.0) / hosts,
        platform_calls_per_s: whole.platform_calls_per_s / hosts,
    })
}

async fn observe(settings: ClusterSettings) -> Result<QuietCost, LabError> {
    let memory_before = resident_bytes()?;
    let hosts = u32::try_from(settings.hosts).unwrap_or(u32::MAX);
    let cluster = Cluster::start(settings).await?;
    actix_rt::time::sleep(SETTLE_TIME + SETTLE_TIME_PER_HOST.saturating_mul(hosts)).await;
    let started_at = Instant::now();
    let processor_before = processor_time()?;
    let bytes_before = control_bytes();
    let (probes_before, probe_bytes_before) = (probe_count(), probe_bytes());
    let calls_before: u64 = cluster.platform.counts().values().sum();
    actix_rt::time::sleep(OBSERVATION_TIME).await;
    let seconds = started_at.elapsed().as_secs_f64();
    let processor = processor_time()?
        .saturating_sub(processor_before)
        .as_secs_f64();
    let bytes = control_bytes() - bytes_before;
    let calls = cluster.platform.counts().values().sum::<u64>() - calls_before;
    let memory = resident_bytes()?.saturating_sub(memory_before);
    Ok(QuietCost {
        processor_percent: 100.0 * processor / seconds,
        sent_bytes_per_s: bytes as f64 / seconds,
        probes_per_s: (probe_count() - probes_before) as f64 / seconds,
        probe_bytes_per_s: (probe_bytes() - probe_bytes_before) as f64 / seconds,
        memory_mb: memory as f64 / 1e6,
        platform_calls_per_s: calls as f64 / seconds,
    })
}

async fn idle_caller_slope() -> Result<Slope, LabError> {
    let cluster = Cluster::start(quiet_cluster(1, 1, 1)).await?;
    actix_rt::time::sleep(SETTLE_TIME).await;
    let service = Cluster::service_name(0);
    let mut points = Vec::new();
    for size in IDLE_CALLER_COUNTS {
        let bytes = idle_memory_bytes(cluster.caller_address(0), &service, size as usize)?;
        points.push((f64::from(size), bytes as f64 * f64::from(size) / 1e6));
    }
    Ok(Slope {
        what: "memory of idle callers".into(),
        by: "caller connections",
        unit: "MB",
        points,
        target: TARGET_CALLERS_PER_HOST,
    })
}

async fn change_slopes() -> Result<Vec<Slope>, LabError> {
    let mut calls = Vec::new();
    let mut bytes = Vec::new();
    for rate in CHANGE_RATES_PER_S {
        let mut cluster = Cluster::start(quiet_cluster(6, 1, 3)).await?;
        actix_rt::time::sleep(SETTLE_TIME).await;
        let service = Cluster::service_name(0);
        let calls_before: u64 = cluster.platform.counts().values().sum();
        let bytes_before = control_bytes();
        let started_at = Instant::now();
        while started_at.elapsed() < OBSERVATION_TIME {
            let config: ServiceConfig = cluster.configs[&service].clone();
            cluster.submit(config).await?;
            actix_rt::time::sleep(Duration::from_secs(1) / rate).await;
        }
        let seconds = started_at.elapsed().as_secs_f64();
        let hosts = cluster.hosts.len() as f64;
        let called = cluster.platform.counts().values().sum::<u64>() - calls_before;
        let sent = control_bytes() - bytes_before;
        calls.push((f64::from(rate), called as f64 / seconds));
        bytes.push((f64::from(rate), sent as f64 / seconds / hosts));
    }
    let slope = |what: &str, unit, points| Slope {
        what: what.into(),
        by: "changes of configuration a second",
        unit,
        points,
        target: TARGET_CHANGES_PER_S,
    };
    Ok(vec![
        slope(
            "platform calls of six hosts and an operator",
            "calls/s",
            calls,
        ),
        slope("control bytes sent by a host, by changes", "bytes/s", bytes),
    ])
}

/// Returns the bytes that the hosts have sent to each other and to the platform's key-value
/// service.
fn control_bytes() -> u64 {
    counter_sum("jujubehold_control_sent_bytes_total", "")
        + counter_sum("jujubehold_platform_sent_bytes_total", "")
}

/// Returns the number of probes that the hosts have sent.
fn probe_count() -> u64 {
    counter_sum("jujubehold_failover_actions_total", "kind=\"probe\"")
}

/// Returns the bytes of the hosts' calls to instances, in both directions and without headers.
fn probe_bytes() -> u64 {
    counter_sum("jujubehold_instance_call_bytes_total", "")
}
