//! Measures how long writes are impossible after the loss of a primary.

use std::path::Path;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_standin::platform::Outage;
use log::info;

use crate::cluster::{Cluster, ClusterSettings, LinkDelays};
use crate::demo::{measure_failover_gap, primary_ledger_ids};
use crate::error::LabError;
use crate::experiment::gap_kind::GapKind;
use crate::report::{Plot, Series, Table, failover_parts, start_counting};
use crate::workload::{LedgerCheck, WriteLog, WriterSettings, create_ledger, write_until};

const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long writes run before the primary is lost.
const TIME_BEFORE_LOSS: Duration = Duration::from_millis(800);
/// How long writes run after the loss.
const TIME_AFTER_LOSS: Duration = Duration::from_millis(3500);
/// How long writes run after a change of primary is ordered: a change waits for 10 s after the last
/// one, and until the configured preference has been in force for some seconds.
const TIME_AFTER_ORDER: Duration = Duration::from_secs(16);
/// How long a run waits for the lost instance to follow the new primary.
const REJOIN_TIME: Duration = Duration::from_millis(1500);
const IDS_PER_WRITER: u64 = 1_000_000;

/// The settings of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailoverGapSettings {
    /// The kinds of loss to measure.
    pub kinds: Vec<GapKind>,
    /// The number of runs of each kind.
    pub runs: u64,
    /// The number of writing callers.
    pub writers: u64,
    /// The delays that the links add.
    pub delays: LinkDelays,
}

impl Default for FailoverGapSettings {
    fn default() -> Self {
        Self {
            kinds: GapKind::ALL.to_vec(),
            runs: 50,
            writers: 6,
            delays: LinkDelays::default(),
        }
    }
}

/// The figures of one kind of loss.
#[derive(Debug, Clone, Default)]
struct KindResult {
    gaps_ms: Vec<u64>,
    runs_without_recovery: u64,
    lost: usize,
    duplicated: usize,
    ran_despite_not_run: usize,
    unknown: usize,
    mean_parts_ms: String,
}

/// Runs every kind of loss, writes `failover-gap.svg` into `out` and returns the table.
///
/// # Errors
/// Returns an error if a part cannot be started or a report cannot be written.
pub async fn run_failover_gap(
    settings: &FailoverGapSettings,
    out: &Path,
) -> Result<Table, LabError> {
    let mut table = Table::new(&[
        "loss",
        "runs",
        "p50 ms",
        "p90 ms",
        "worst ms",
        "never",
        "lost",
        "doubled",
        "run though not run",
        "unknown",
        "mean of detect/agree/fence/wait/promote/announce, ms",
    ]);
    start_counting();
    let mut plot = Plot {
        title: "Failover gap".into(),
        x_label: "runs, sorted".into(),
        y_label: "gap, ms".into(),
        series: Vec::new(),
    };
    for &kind in &settings.kinds {
        let result = run_kind(settings, kind).await?;
        table.row(result.row(kind));
        let points = result.gaps_ms.iter().enumerate();
        plot.series.push(Series {
            name: kind.as_str().into(),
            points: points
                .map(|(index, gap_ms)| (index as f64 + 1.0, *gap_ms as f64))
                .collect(),
        });
    }
    plot.write(&out.join("failover-gap.svg"))?;
    Ok(table)
}

async fn run_kind(settings: &FailoverGapSettings, kind: GapKind) -> Result<KindResult, LabError> {
    let mut cluster = Cluster::start(ClusterSettings {
        delays: settings.delays,
        ..ClusterSettings::default()
    })
    .await?;
    let service = Cluster::service_name(0);
    create_ledger(cluster.caller_address(0), &service, FIRST_WRITE_TIMEOUT).await?;
    let mut result = KindResult::default();
    let parts_before = failover_parts();
    let mut log = WriteLog::default();
    for run in 0..settings.runs {
        let (writes, lost_at) = run_once(settings, kind, &mut cluster, &service, run).await?;
        let gap = match kind {
            GapKind::Ordered => writes.longest_silence(lost_at),
            GapKind::Crash | GapKind::Freeze | GapKind::CrashInOutage => {
                measure_failover_gap(&writes, lost_at)
            }
        };
        match gap {
            Some(gap) => result
                .gaps_ms
                .push(u64::try_from(gap.as_millis()).unwrap_or(u64::MAX)),
            None => result.runs_without_recovery += 1,
        }
        info!(kind = kind.as_str(), run = run, gap_ms:? = result.gaps_ms.last(); "run");
        log.merge(writes);
    }
    let check = LedgerCheck::of(&log, &primary_ledger_ids(&cluster, &service).await?);
    result.gaps_ms.sort_unstable();
    result.lost = check.lost.len();
    result.duplicated = check.duplicated.len();
    result.ran_despite_not_run = check.ran_despite_not_run.len();
    result.unknown = log.unknown.len();
    result.mean_parts_ms = mean_parts(&parts_before);
    Ok(result)
}

async fn run_once(
    settings: &FailoverGapSettings,
    kind: GapKind,
    cluster: &mut Cluster,
    service: &ServiceId,
    run: u64,
) -> Result<(WriteLog, Instant), LabError> {
    let after = match kind {
        GapKind::Ordered => TIME_AFTER_ORDER,
        GapKind::Crash | GapKind::Freeze | GapKind::CrashInOutage => TIME_AFTER_LOSS,
    };
    let deadline = Instant::now() + TIME_BEFORE_LOSS + after;
    let targets: Vec<_> = cluster
        .hosts
        .iter()
        .map(|host| host.caller_address)
        .collect();
    let tasks: Vec<_> = (0..settings.writers)
        .map(|number| {
            let writer = WriterSettings {
                targets: targets.clone(),
                service: service.to_string(),
                first_id: (run * settings.writers + number + 1) * IDS_PER_WRITER,
                pause: Duration::from_millis(5),
            };
            actix_rt::spawn(write_until(writer, deadline))
        })
        .collect();
    actix_rt::time::sleep(TIME_BEFORE_LOSS).await;
    let primary = cluster
        .primary(service)
        .ok_or(LabError::TimedOut("a primary"))?;
    if kind == GapKind::CrashInOutage {
        cluster.platform.set_outage(Outage::Hang);
    }
    let lost_at = Instant::now();
    lose_primary(kind, cluster, service, &primary).await?;
    let mut writes = WriteLog::default();
    for task in tasks {
        writes.merge(task.await.unwrap_or_default());
    }
    cluster.platform.set_outage(Outage::None);
    if kind == GapKind::Ordered && cluster.primary(service).as_ref() == Some(&primary) {
        return Err(LabError::TimedOut("an ordered change of primary"));
    }
    if let Some(database) = cluster.instance(service, &primary) {
        database.revive();
        database.thaw();
    }
    actix_rt::time::sleep(REJOIN_TIME).await;
    Ok((writes, lost_at))
}

async fn lose_primary(
    kind: GapKind,
    cluster: &mut Cluster,
    service: &ServiceId,
    primary: &InstanceId,
) -> Result<(), LabError> {
    let database = cluster.instance(service, primary);
    match (kind, database) {
        (GapKind::Crash | GapKind::CrashInOutage, Some(database)) => database.kill(),
        (GapKind::Freeze, Some(database)) => database.freeze(),
        (GapKind::Ordered, _) => {
            let mut config = cluster.configs[service].clone();
            config.preferred_primary = config
                .instances
                .keys()
                .find(|name| *name != primary)
                .cloned();
            cluster.submit(config).await?;
        }
        (_, None) => return Err(LabError::TimedOut("a primary")),
    }
    Ok(())
}

/// Formats the mean duration of each failover part since `before`, in milliseconds.
fn mean_parts(before: &[(&'static str, f64, f64)]) -> String {
    let after = failover_parts();
    let means = before.iter().zip(&after).map(|(before, after)| {
        let runs = (after.2 - before.2).max(1.0);
        format!("{:.0}", 1000.0 * (after.1 - before.1) / runs)
    });
    means.collect::<Vec<_>>().join("/")
}

impl KindResult {
    fn row(&self, kind: GapKind) -> Vec<String> {
        let at = |percent: usize| {
            let index = (self.gaps_ms.len() * percent / 100).min(self.gaps_ms.len().max(1) - 1);
            self.gaps_ms
                .get(index)
                .map_or_else(|| "-".into(), ToString::to_string)
        };
        vec![
            kind.as_str().into(),
            (self.gaps_ms.len() as u64 + self.runs_without_recovery).to_string(),
            at(50),
            at(90),
            at(100),
            self.runs_without_recovery.to_string(),
            self.lost.to_string(),
            self.duplicated.to_string(),
            self.ran_despite_not_run.to_string(),
            self.unknown.to_string(),
            self.mean_parts_ms.clone(),
        ]
    }
}
