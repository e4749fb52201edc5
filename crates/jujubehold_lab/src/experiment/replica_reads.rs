//! Measures the share of reads that replicas serve.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_pg::FrameError;
use jujubehold_standin::platform::Outage;

use crate::cluster::{Cluster, ClusterSettings, LinkDelays};
use crate::error::LabError;
use crate::experiment::session_kind::SessionKind;
use crate::load::LoadConnection;
use crate::report::{Plot, Series, Table, read_counts, start_counting};
use crate::workload::{create_ledger, insert_sql};

const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long a session waits after each read.
const READ_PAUSE: Duration = Duration::from_millis(4);

/// The settings of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaReadsSettings {
    /// The kinds of sessions to measure.
    pub kinds: Vec<SessionKind>,
    /// The replication lags to measure.
    pub lags: Vec<Duration>,
    /// The data ages that reads accept, to measure.
    pub ages: Vec<Duration>,
    /// The number of sessions; each alternates between one write and `reads_per_write` reads.
    pub sessions: usize,
    /// The number of reads that follow each write of a session.
    pub reads_per_write: u32,
    /// How long each combination of lag and age runs.
    pub duration: Duration,
    /// The delays that the links add.
    pub delays: LinkDelays,
}

impl Default for ReplicaReadsSettings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            kinds: vec![SessionKind::Stays],
            lags: vec![ms(0), ms(20), ms(100), ms(500)],
            ages: vec![ms(0), ms(200), ms(1000)],
            sessions: 12,
            reads_per_write: 40,
            duration: Duration::from_secs(4),
            delays: LinkDelays::default(),
        }
    }
}

/// The figures of one combination of session kind, lag and age.
#[derive(Debug, Clone, Copy, Default)]
struct ShareResult {
    by_replicas: u64,
    all: u64,
    best_by_replicas: u64,
    best_all: u64,
    stale: u64,
    failed: u64,
}

/// The events of one session.
#[derive(Debug, Clone, Default)]
struct SessionTrace {
    /// The times at which its writes were acknowledged.
    writes: Vec<Instant>,
    /// The times at which its reads were sent.
    reads: Vec<Instant>,
    /// The number of reads that did not return the session's last write.
    stale: u64,
    failed: u64,
}

/// Runs every kind of session at every combination of lag and age, writes `replica-reads.svg` into
/// `out` and returns the table.
///
/// The best possible share is computed from the same events, with perfect knowledge of a replica
/// that applies each write exactly one lag after its acknowledgement. Such a replica may serve a
/// read if it has applied the session's own writes and every write that is older than the age.
///
/// # Errors
/// Returns an error if a part cannot be started or a report cannot be written.
pub async fn run_replica_reads(
    settings: &ReplicaReadsSettings,
    out: &Path,
) -> Result<Table, LabError> {
    start_counting();
    let mut table = Table::new(&[
        "session",
        "lag ms",
        "age ms",
        "reads",
        "by replicas %",
        "best possible %",
        "own write missed",
        "failed",
    ]);
    let mut plot = Plot {
        title: "Reads served by replicas".into(),
        x_label: "lag, ms".into(),
        y_label: "share, %".into(),
        series: Vec::new(),
    };
    let kinds_and_ages = settings
        .kinds
        .iter()
        .flat_map(|kind| settings.ages.iter().map(move |age| (*kind, *age)));
    for (kind, age) in kinds_and_ages {
        let mut points = Vec::new();
        for &lag in &settings.lags {
            let result = run_combination(settings, kind, lag, age).await?;
            points.push((lag.as_millis() as f64, result.share_percent()));
            table.row(vec![
                kind.as_str().to_owned(),
                lag.as_millis().to_string(),
                age.as_millis().to_string(),
                result.all.to_string(),
                format!("{:.1}", result.share_percent()),
                format!("{:.1}", result.best_percent()),
                result.stale.to_string(),
                result.failed.to_string(),
            ]);
        }
        plot.series.push(Series {
            name: format!("{}, age {} ms", kind.as_str(), age.as_millis()),
            points,
        });
    }
    plot.write(&out.join("replica-reads.svg"))?;
    Ok(table)
}

async fn run_combination(
    settings: &ReplicaReadsSettings,
    kind: SessionKind,
    lag: Duration,
    age: Duration,
) -> Result<ShareResult, LabError> {
    let cluster = Cluster::start(ClusterSettings {
        apply_lag: lag,
        delays: settings.delays,
        service: ServiceConfig {
            read_age: age,
            ..ServiceConfig::default()
        },
        ..ClusterSettings::default()
    })
    .await?;
    let service = Cluster::service_name(0);
    create_ledger(cluster.caller_address(0), &service, FIRST_WRITE_TIMEOUT).await?;
    actix_rt::time::sleep(SETTLE_TIME + lag).await;
    if kind == SessionKind::StaysInOutage {
        cluster.platform.set_outage(Outage::Hang);
        actix_rt::time::sleep(SETTLE_TIME).await;
    }
    let before = read_counts();
    let deadline = Instant::now() + settings.duration;
    let sessions: Vec<_> = (0..settings.sessions)
        .map(|index| {
            let targets = (0..cluster.hosts.len())
                .map(|step| cluster.caller_address(index + step))
                .collect();
            let session = Session {
                kind,
                targets,
                service: service.to_string(),
                first_id: (index as u64 + 1) * 1_000_000,
                reads_per_write: settings.reads_per_write,
            };
            actix_rt::spawn(session.run(deadline))
        })
        .collect();
    let mut traces = Vec::new();
    for session in sessions {
        traces.push(session.await.unwrap_or_default());
    }
    let mut total = best_possible(&traces, lag, age);
    let after = read_counts();
    total.by_replicas = after.0 - before.0;
    total.all = after.1 - before.1;
    Ok(total)
}

struct Session {
    kind: SessionKind,
    /// The hosts' caller addresses, starting with the session's first host.
    targets: Vec<SocketAddr>,
    service: String,
    first_id: u64,
    reads_per_write: u32,
}

impl Session {
    async fn run(self, deadline: Instant) -> SessionTrace {
        let mut trace = SessionTrace::default();
        let first = LoadConnection::open(self.targets[0], &self.service, None).await;
        let Ok(mut connection) = first else {
            trace.failed += 1;
            return trace;
        };
        let mut id = self.first_id;
        while Instant::now() < deadline {
            id += 1;
            let written = connection.run(&insert_sql(id)).await;
            if !written.is_ok_and(|answer| answer.is_ok()) {
                trace.failed += 1;
                continue;
            }
            trace.writes.push(Instant::now());
            let Ok(open) = self
                .connection_after_write(connection, trace.writes.len())
                .await
            else {
                trace.failed += 1;
                return trace;
            };
            connection = open;
            for _ in 0..self.reads_per_write {
                if self.kind == SessionKind::Lookups {
                    let target = self.targets[trace.reads.len() % self.targets.len()];
                    let Ok(open) = LoadConnection::open(target, &self.service, None).await else {
                        trace.failed += 1;
                        continue;
                    };
                    connection = open;
                }
                trace.reads.push(Instant::now());
                let sql = format!("SELECT id FROM ledger WHERE id = {id}");
                match connection.run(&sql).await {
                    Ok(answer) if answer.is_ok() => {
                        trace.stale += u64::from(answer.values.is_empty());
                    }
                    Ok(_) | Err(_) => trace.failed += 1,
                }
                actix_rt::time::sleep(READ_PAUSE).await;
            }
        }
        trace
    }

    /// Returns the connection for the reads after the write with the number `write`.
    async fn connection_after_write(
        &self,
        connection: LoadConnection,
        write: usize,
    ) -> Result<LoadConnection, FrameError> {
        let token = match self.kind {
            SessionKind::Stays | SessionKind::Lookups | SessionKind::StaysInOutage => {
                return Ok(connection);
            }
            SessionKind::RoamsWithToken => connection.token,
            SessionKind::RoamsWithoutToken => None,
        };
        let target = self.targets[write % self.targets.len()];
        LoadConnection::open(target, &self.service, token.as_deref()).await
    }
}

/// Counts the reads of the best possible share, as [`run_replica_reads`] defines it, and sums up
/// the stale reads and the failures.
fn best_possible(traces: &[SessionTrace], lag: Duration, age: Duration) -> ShareResult {
    let mut all_writes: Vec<_> = traces
        .iter()
        .flat_map(|trace| trace.writes.clone())
        .collect();
    all_writes.sort_unstable();
    let mut result = ShareResult::default();
    for trace in traces {
        result.stale += trace.stale;
        result.failed += trace.failed;
        for read in &trace.reads {
            let is_missing = |from: Instant, to: Instant, writes: &[Instant]| {
                writes.iter().any(|write| *write > from && *write <= to)
            };
            let applied_until = read.checked_sub(lag).unwrap_or(*read);
            let required_until = read.checked_sub(age).unwrap_or(*read);
            let is_eligible = !is_missing(applied_until, *read, &trace.writes)
                && !is_missing(applied_until, required_until, &all_writes);
            result.best_all += 1;
            result.best_by_replicas += u64::from(is_eligible);
        }
    }
    result
}

impl ShareResult {
    fn share_percent(&self) -> f64 {
        100.0 * self.by_replicas as f64 / self.all.max(1) as f64
    }

    fn best_percent(&self) -> f64 {
        100.0 * self.best_by_replicas as f64 / self.best_all.max(1) as f64
    }
}
