//! Runs the steps of the demonstration.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use log::info;

use crate::cluster::{Cluster, ClusterSettings};
use crate::demo::demo_report::DemoReport;
use crate::error::LabError;
use crate::load::LoadConnection;
use crate::report::{read_counts, series, start_counting};
use crate::workload::{
    LedgerCheck, ReadLog, WriteLog, WriterSettings, create_ledger, ledger_ids, read_until,
    write_until,
};

/// How long the demonstration waits for the service to accept writes.
const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// The size of the id range of each writer.
const IDS_PER_WRITER: u64 = 1_000_000;
/// The id that the roaming session writes.
const ROAMING_ID: u64 = 1;

/// The settings of the demonstration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DemoSettings {
    /// The number of writing callers.
    pub writers: u64,
    /// The number of reading callers.
    pub readers: usize,
    /// How long the load runs before the primary is killed.
    pub time_before_kill: Duration,
    /// How long the load continues after that.
    pub time_after_kill: Duration,
    /// How old the readers' data may be.
    pub read_age: Duration,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self {
            writers: 6,
            readers: 12,
            time_before_kill: Duration::from_secs(3),
            time_after_kill: Duration::from_secs(7),
            read_age: Duration::from_millis(500),
        }
    }
}

/// Runs the demonstration.
///
/// # Errors
/// Returns an error if a part cannot be started or the service accepts no write.
pub async fn run_demo(settings: &DemoSettings) -> Result<DemoReport, LabError> {
    start_counting();
    let service_config = ServiceConfig {
        read_age: settings.read_age,
        ..ServiceConfig::default()
    };
    let cluster = Cluster::start(ClusterSettings {
        service: service_config,
        ..ClusterSettings::default()
    })
    .await?;
    let service = Cluster::service_name(0);
    create_ledger(cluster.caller_address(0), &service, FIRST_WRITE_TIMEOUT).await?;
    info!("the service accepts writes");
    let is_own_write_seen = roam(&cluster, &service).await?;

    let counts_before = read_counts();
    let started_at = Instant::now();
    let deadline = started_at + settings.time_before_kill + settings.time_after_kill;
    let targets: Vec<_> = cluster
        .hosts
        .iter()
        .map(|host| host.caller_address)
        .collect();
    let write_tasks = start_writers(settings, &targets, &service, deadline);
    let read_tasks: Vec<_> = (0..settings.readers)
        .map(|index| {
            let target = targets[index % targets.len()];
            let pause = Duration::from_millis(2);
            actix_rt::spawn(read_until(target, service.to_string(), pause, deadline))
        })
        .collect();
    actix_rt::time::sleep(settings.time_before_kill).await;
    let killed_at = Instant::now();
    if let Some(primary) = cluster.primary(&service)
        && let Some(database) = cluster.instance(&service, &primary)
    {
        info!(primary = primary.as_str(); "killing the primary");
        database.kill();
    }
    let mut writes = WriteLog::default();
    for task in write_tasks {
        writes.merge(task.await.unwrap_or_default());
    }
    let mut reads = ReadLog::default();
    for task in read_tasks {
        let log = task.await.unwrap_or_default();
        reads.answered += log.answered;
        reads.failed += log.failed;
    }
    let counts_after = read_counts();
    let replica_reads = (
        counts_after.0 - counts_before.0,
        counts_after.1 - counts_before.1,
    );
    let ids = primary_ledger_ids(&cluster, &service).await?;
    let failover_gap = measure_failover_gap(&writes, killed_at);
    let check = LedgerCheck::of(&writes, &ids);
    Ok(DemoReport {
        is_own_write_seen,
        writes,
        reads,
        replica_reads,
        failover_gap,
        outcome_counts: outcome_counts(),
        check,
    })
}

/// Returns the counters of refusals, retries and unknown outcomes.
fn outcome_counts() -> Vec<(String, u64)> {
    [
        "jujubehold_refusals_total",
        "jujubehold_retries_total",
        "jujubehold_unknown_total",
    ]
    .into_iter()
    .flat_map(|name| {
        series(name)
            .into_iter()
            .map(move |(labels, count)| (format!("{name}{labels}"), count))
    })
    .collect()
}

fn start_writers(
    settings: &DemoSettings,
    targets: &[SocketAddr],
    service: &ServiceId,
    deadline: Instant,
) -> Vec<actix_rt::task::JoinHandle<WriteLog>> {
    (1..=settings.writers)
        .map(|number| {
            let writer = WriterSettings {
                targets: targets.to_vec(),
                service: service.to_string(),
                first_id: number * IDS_PER_WRITER,
                pause: Duration::from_millis(5),
            };
            actix_rt::spawn(write_until(writer, deadline))
        })
        .collect()
}

/// Writes at one host, presents the session's token at the next and reads there. Returns whether
/// the read returned the write.
async fn roam(cluster: &Cluster, service: &ServiceId) -> Result<bool, LabError> {
    let mut first = LoadConnection::open(cluster.caller_address(0), service, None).await?;
    let written = first.run(&crate::workload::insert_sql(ROAMING_ID)).await?;
    if !written.is_ok() {
        return Ok(false);
    }
    let token = first.token.clone();
    let mut second =
        LoadConnection::open(cluster.caller_address(1), service, token.as_deref()).await?;
    let sql = format!("SELECT id FROM ledger WHERE id = {ROAMING_ID}");
    let seen = second.run(&sql).await?;
    Ok(seen.values == [ROAMING_ID.to_string()])
}

/// Returns the ledger's ids at the group's current primary.
pub(crate) async fn primary_ledger_ids(
    cluster: &Cluster,
    service: &ServiceId,
) -> Result<Vec<u64>, LabError> {
    let primary = cluster
        .primary(service)
        .ok_or(LabError::TimedOut("a primary"))?;
    let database = cluster
        .instance(service, &primary)
        .ok_or(LabError::TimedOut("a primary"))?;
    ledger_ids(database.address(), service).await
}

/// Returns the time from the failure to the first acknowledgement after the longest gap between
/// acknowledgements; `None` if no write was acknowledged after the failure.
///
/// An answer that was in transit when the primary died still counts as before the failure, so the
/// first acknowledgement after the failure does not necessarily end the gap.
pub(crate) fn measure_failover_gap(writes: &WriteLog, failed_at: Instant) -> Option<Duration> {
    let mut times: Vec<_> = writes
        .acknowledged
        .iter()
        .map(|(_, at)| *at)
        .filter(|at| *at >= failed_at)
        .collect();
    times.sort_unstable();
    let first = *times.first()?;
    let mut best = (first - failed_at, first);
    for pair in times.windows(2) {
        if pair[1] - pair[0] > best.0 {
            best = (pair[1] - pair[0], pair[1]);
        }
    }
    Some(best.1 - failed_at)
}
