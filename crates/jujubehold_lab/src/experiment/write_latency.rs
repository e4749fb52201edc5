//! Measures the cost of confirming writes by a replica.

use std::path::Path;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;

use crate::cluster::{Cluster, ClusterSettings, LinkDelays};
use crate::error::LabError;
use crate::load::{LoadConnection, LoadReport};
use crate::report::{Plot, Series, Table};
use crate::workload::{create_ledger, insert_sql};

const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
const IDS_PER_WRITER: u64 = 1_000_000;

/// The settings of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteLatencySettings {
    /// The delays that the links add.
    pub delays: LinkDelays,
    /// The numbers of concurrent writers to measure.
    pub writers: Vec<u64>,
    /// How long each combination of confirmation and writers runs.
    pub duration: Duration,
}

impl Default for WriteLatencySettings {
    fn default() -> Self {
        Self {
            delays: LinkDelays::default(),
            writers: vec![1, 3, 9],
            duration: Duration::from_secs(5),
        }
    }
}

/// Measures writes with and without confirmation, writes `write-latency.svg` into `out` and returns
/// the table.
///
/// # Errors
/// Returns an error if a part cannot be started or a report cannot be written.
pub async fn run_write_latency(
    settings: &WriteLatencySettings,
    out: &Path,
) -> Result<Table, LabError> {
    let mut table = Table::new(&[
        "confirm", "callers", "writes/s", "failed", "p50 ms", "p99 ms",
    ]);
    let mut plot = Plot {
        title: "Write latency".into(),
        x_label: "callers".into(),
        y_label: "p50, ms".into(),
        series: Vec::new(),
    };
    for (confirm, name) in [(Confirm::Replica, "replica"), (Confirm::None, "none")] {
        let mut points = Vec::new();
        for &writers in &settings.writers {
            let report = run_combination(settings, confirm, writers).await?;
            let ms = |percent| report.percentile_us(percent) as f64 / 1000.0;
            points.push((writers as f64, ms(50.0)));
            table.row(vec![
                name.into(),
                writers.to_string(),
                format!("{:.0}", report.rate_per_s()),
                report.failed.to_string(),
                format!("{:.1}", ms(50.0)),
                format!("{:.1}", ms(99.0)),
            ]);
        }
        plot.series.push(Series {
            name: name.into(),
            points,
        });
    }
    plot.write(&out.join("write-latency.svg"))?;
    Ok(table)
}

async fn run_combination(
    settings: &WriteLatencySettings,
    confirm: Confirm,
    writers: u64,
) -> Result<LoadReport, LabError> {
    let cluster = Cluster::start(ClusterSettings {
        delays: settings.delays,
        service: ServiceConfig {
            confirm,
            ..ServiceConfig::default()
        },
        ..ClusterSettings::default()
    })
    .await?;
    let service = Cluster::service_name(0);
    create_ledger(cluster.caller_address(0), &service, FIRST_WRITE_TIMEOUT).await?;
    let mut tasks = Vec::new();
    for number in 0..writers {
        // The callers are spread over the hosts, so that two thirds of the writes are forwarded.
        let target = cluster.caller_address(usize::try_from(number).unwrap_or(0));
        let connection = LoadConnection::open(target, &service, None).await?;
        let first_id = (number + 1) * IDS_PER_WRITER;
        tasks.push(actix_rt::spawn(write(
            connection,
            first_id,
            settings.duration,
        )));
    }
    let mut report = LoadReport::new();
    for task in tasks {
        report.merge(&task.await.unwrap_or_default());
    }
    Ok(report)
}

async fn write(mut connection: LoadConnection, first_id: u64, duration: Duration) -> LoadReport {
    let mut report = LoadReport::new();
    let started_at = Instant::now();
    for id in first_id.. {
        if started_at.elapsed() >= duration {
            break;
        }
        let sent_at = Instant::now();
        let answer = connection.run(&insert_sql(id)).await;
        let is_ok = answer.as_ref().is_ok_and(crate::load::Answer::is_ok);
        report.record(is_ok, sent_at.elapsed());
        if answer.is_err() {
            break;
        }
    }
    report.elapsed = started_at.elapsed();
    report
}
