//! Useful answers under more load than the slots can finish.

use std::path::Path;
use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::cluster::{Cluster, ClusterSettings};
use crate::error::LabError;
use crate::load::{LoadSettings, run_load};
use crate::report::{Plot, Series, Table};
use crate::workload::create_ledger;

const START_PATIENCE: Duration = Duration::from_secs(20);
/// What a statement costs an instance, so that the slots are the limit.
const SERVICE_TIME: Duration = Duration::from_millis(5);
const READ_AGE: Duration = Duration::from_mins(1);

/// How overload is brought about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverloadSettings {
    /// The numbers of callers; nine slots in all serve them.
    pub callers: Vec<usize>,
    /// How long each runs.
    pub duration: Duration,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            callers: vec![6, 9, 18, 45, 90, 180],
            duration: Duration::from_secs(4),
        }
    }
}

/// Runs every number of callers, then the first again, and writes `overload.svg` into `out`;
/// returns the table.
///
/// # Errors
/// A part could not be started or a report not written.
pub async fn run_overload(settings: &OverloadSettings, out: &Path) -> Result<Table, LabError> {
    let cluster = Cluster::start(ClusterSettings {
        service_time: SERVICE_TIME,
        service: ServiceConfig {
            read_age: READ_AGE,
            queue: 32,
            ..ServiceConfig::default()
        },
        ..ClusterSettings::default()
    })
    .await?;
    let service = Cluster::service_name(0);
    create_ledger(cluster.caller_address(0), &service, START_PATIENCE).await?;
    let targets: Vec<_> = cluster
        .hosts
        .iter()
        .map(|host| host.caller_address)
        .collect();
    let mut table = Table::new(&["callers", "answers/s", "refused/s", "p50 ms", "p99 ms"]);
    let mut points = Vec::new();
    let again = settings.callers.first().copied();
    for connections in settings.callers.iter().copied().chain(again) {
        let report = run_load(&LoadSettings {
            targets: targets.clone(),
            sql: "SELECT note FROM ledger WHERE id = 1".into(),
            connections,
            duration: settings.duration,
            ..LoadSettings::default()
        })?;
        let refused_per_s = report.failed as f64 / report.elapsed.as_secs_f64();
        points.push((connections as f64, report.rate_per_s()));
        table.row(vec![
            connections.to_string(),
            format!("{:.0}", report.rate_per_s()),
            format!("{refused_per_s:.0}"),
            format!("{:.1}", report.percentile_us(50.0) as f64 / 1000.0),
            format!("{:.1}", report.percentile_us(99.0) as f64 / 1000.0),
        ]);
    }
    points.pop();
    Plot {
        title: "Useful answers under load".into(),
        x_label: "callers".into(),
        y_label: "answers a second".into(),
        series: vec![Series {
            name: "answers".into(),
            points,
        }],
    }
    .write(&out.join("overload.svg"))?;
    Ok(table)
}
