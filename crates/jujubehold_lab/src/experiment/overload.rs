//! Measures successful answers under more load than the slots can process.

use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::cluster::{Cluster, ClusterSettings};
use crate::error::LabError;
use crate::load::{LoadReport, LoadSettings, run_load};
use crate::report::{Plot, Series, Table, counter_sum, start_counting};
use crate::workload::create_ledger;

const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a statement holds a slot, so that the slots are the bottleneck.
const SERVICE_TIME: Duration = Duration::from_millis(5);
/// The data age that reads accept.
const READ_AGE: Duration = Duration::from_mins(1);
/// The number of sessions of each caller that the main load must not starve, one at each host.
const MODEST_SESSIONS: usize = 3;
const RETRIES_METRIC: &str = "jujubehold_retries_total";

/// The settings of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverloadSettings {
    /// The numbers of sessions of the main load.
    pub sessions: Vec<usize>,
    /// How long each number of sessions runs.
    pub duration: Duration,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        Self {
            sessions: vec![6, 9, 18, 45, 90, 180],
            duration: Duration::from_secs(4),
        }
    }
}

/// The kind of statement that the load repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Work {
    Reads,
    Writes,
}

/// The figures of the main load and, at the same time, of a modest caller of the same service
/// and of one of another service.
struct Measurement {
    main_load: LoadReport,
    modest: LoadReport,
    other_service: LoadReport,
    retries: u64,
}

/// Runs the main load in every size and then in the first size again, first with reads and then
/// with writes. Writes `overload.svg` into `out` and returns the table.
///
/// # Errors
/// Returns an error if a part cannot be started or a report cannot be written.
pub async fn run_overload(settings: &OverloadSettings, out: &Path) -> Result<Table, LabError> {
    start_counting();
    let cluster = Cluster::start(ClusterSettings {
        services: 2,
        service_time: SERVICE_TIME,
        service: ServiceConfig {
            read_age: READ_AGE,
            queue: 32,
            ..ServiceConfig::default()
        },
        ..ClusterSettings::default()
    })
    .await?;
    for index in 0..2 {
        let service = Cluster::service_name(index);
        create_ledger(cluster.caller_address(0), &service, FIRST_WRITE_TIMEOUT).await?;
    }
    let targets: Vec<_> = cluster
        .hosts
        .iter()
        .map(|host| host.caller_address)
        .collect();
    let mut table = Table::new(&[
        "work",
        "sessions",
        "answers/s",
        "refused/s",
        "p50 ms",
        "p99 ms",
        "retries",
        "modest caller answers/s",
        "p99 ms",
        "other service answers/s",
        "p99 ms",
    ]);
    let mut series = Vec::new();
    for work in [Work::Reads, Work::Writes] {
        let mut points = Vec::new();
        let first_size = settings.sessions.first().copied();
        for sessions in settings.sessions.iter().copied().chain(first_size) {
            let measurement = measure(settings, &targets, work, sessions)?;
            points.push((sessions as f64, measurement.main_load.rate_per_s()));
            table.row(row(work, sessions, &measurement));
        }
        // The repetition of the first size is in the table only.
        points.pop();
        series.push(Series {
            name: work.name().into(),
            points,
        });
    }
    Plot {
        title: "Useful answers under load".into(),
        x_label: "sessions".into(),
        y_label: "answers a second".into(),
        series,
    }
    .write(&out.join("overload.svg"))?;
    Ok(table)
}

impl Work {
    fn name(self) -> &'static str {
        match self {
            Self::Reads => "reads",
            Self::Writes => "writes",
        }
    }

    fn sql(self) -> &'static str {
        match self {
            Self::Reads => "SELECT note FROM ledger WHERE id = 1",
            Self::Writes => "UPDATE ledger SET note = 'entry' WHERE id = 1",
        }
    }
}

fn measure(
    settings: &OverloadSettings,
    targets: &[SocketAddr],
    work: Work,
    sessions: usize,
) -> Result<Measurement, LabError> {
    let load = |user: &str, service: usize, connections: usize| LoadSettings {
        targets: targets.to_vec(),
        user: user.into(),
        service: Cluster::service_name(service).to_string(),
        sql: work.sql().into(),
        connections,
        duration: settings.duration,
        ..LoadSettings::default()
    };
    let retries_before = counter_sum(RETRIES_METRIC, "");
    let modest = start(load("member", 0, MODEST_SESSIONS));
    let other_service = start(load("cooper", 1, MODEST_SESSIONS));
    let main_load = run_load(&load("clerk", 0, sessions))?;
    Ok(Measurement {
        main_load,
        modest: finish(modest)?,
        other_service: finish(other_service)?,
        retries: counter_sum(RETRIES_METRIC, "") - retries_before,
    })
}

fn start(settings: LoadSettings) -> JoinHandle<Result<LoadReport, LabError>> {
    std::thread::spawn(move || run_load(&settings))
}

fn finish(load: JoinHandle<Result<LoadReport, LabError>>) -> Result<LoadReport, LabError> {
    load.join().expect("the load's thread does not panic")
}

fn row(work: Work, sessions: usize, measurement: &Measurement) -> Vec<String> {
    let main_load = &measurement.main_load;
    let refused_per_s = main_load.failed as f64 / main_load.elapsed.as_secs_f64();
    let rate = |report: &LoadReport| format!("{:.0}", report.rate_per_s());
    let ms = |report: &LoadReport, percent: f64| {
        format!("{:.1}", report.percentile_us(percent) as f64 / 1000.0)
    };
    vec![
        work.name().into(),
        sessions.to_string(),
        rate(main_load),
        format!("{refused_per_s:.0}"),
        ms(main_load, 50.0),
        ms(main_load, 99.0),
        measurement.retries.to_string(),
        rate(&measurement.modest),
        ms(&measurement.modest, 99.0),
        rate(&measurement.other_service),
        ms(&measurement.other_service, 99.0),
    ]
}
