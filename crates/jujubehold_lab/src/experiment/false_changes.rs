//! Counts changes of primary that happen without a failure of the primary.

use std::path::Path;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_faults::LinkFaults;
use log::info;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::cluster::{Cluster, ClusterSettings, LinkDelays};
use crate::demo::primary_ledger_ids;
use crate::error::LabError;
use crate::report::{Plot, Series, Table};
use crate::workload::{LedgerCheck, WriteLog, WriterSettings, create_ledger, write_until};

const FIRST_WRITE_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which the links' faults are chosen again.
const STEP_TIME: Duration = Duration::from_millis(50);
/// The minimum time before TCP retransmits a lost segment.
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
/// The length of a delay spike, in steps.
const SPIKE_STEPS: u64 = 20;
const IDS_PER_WRITER: u64 = 100_000_000;
const WRITERS: u64 = 6;

/// The settings of the experiment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FalseChangesSettings {
    /// How long the links are disturbed.
    pub duration: Duration,
    /// The delays of the links without faults.
    pub delays: LinkDelays,
    /// The share of datagrams that are lost, and of steps in which a link for connections waits for
    /// the retransmission of a segment, in thousandths.
    pub loss_per_mille: u32,
    /// The share of steps in which a delay spike begins on a link, in thousandths.
    pub spike_per_mille: u32,
    /// The largest delay that a spike adds.
    pub spike: Duration,
    /// The seed of the random choices.
    pub seed: u64,
}

impl Default for FalseChangesSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_hours(1),
            delays: LinkDelays {
                between_domains: Duration::from_millis(5),
                to_callers: Duration::from_millis(1),
            },
            loss_per_mille: 50,
            spike_per_mille: 5,
            spike: Duration::from_millis(150),
            seed: 1,
        }
    }
}

impl FalseChangesSettings {
    /// Returns the settings with other delays; leaves them unchanged if `delays` is zero.
    #[must_use]
    pub fn with_delays(self, delays: LinkDelays) -> Self {
        if delays.is_zero() {
            return self;
        }
        Self { delays, ..self }
    }
}

/// Disturbs every link between failure domains while callers write, and counts the new terms.
/// Writes `false-changes.svg`, the changes over time, into `out`.
///
/// # Errors
/// Returns an error if a part cannot be started or a report cannot be written.
pub async fn run_false_changes(
    settings: &FalseChangesSettings,
    out: &Path,
) -> Result<Table, LabError> {
    let cluster = Cluster::start(ClusterSettings {
        delays: settings.delays,
        ..ClusterSettings::default()
    })
    .await?;
    let service = Cluster::service_name(0);
    create_ledger(cluster.caller_address(0), &service, FIRST_WRITE_TIMEOUT).await?;
    let first_term = term(&cluster, &service);
    let started_at = Instant::now();
    let writers = start_writers(&cluster, &service, started_at + settings.duration);
    let changes = disturb(&cluster, &service, settings, started_at).await?;
    let mut log = WriteLog::default();
    for writer in writers {
        log.merge(writer.await.unwrap_or_default());
    }
    let check = LedgerCheck::of(&log, &primary_ledger_ids(&cluster, &service).await?);
    let silence = log.longest_silence(started_at).unwrap_or_default();
    let mut table = Table::new(&[
        "minutes",
        "changes of primary",
        "acknowledged",
        "unknown",
        "refusals",
        "longest silence ms",
        "lost",
        "doubled",
        "run though not run",
    ]);
    table.row(vec![
        format!("{:.1}", started_at.elapsed().as_secs_f64() / 60.0),
        term(&cluster, &service)
            .saturating_sub(first_term)
            .to_string(),
        log.acknowledged.len().to_string(),
        log.unknown.len().to_string(),
        log.refusals.to_string(),
        silence.as_millis().to_string(),
        check.lost.len().to_string(),
        check.duplicated.len().to_string(),
        check.ran_despite_not_run.len().to_string(),
    ]);
    let plot = Plot {
        title: "Changes of primary under delay and loss".into(),
        x_label: "seconds".into(),
        y_label: "term".into(),
        series: vec![Series {
            name: "term".into(),
            points: changes,
        }],
    };
    plot.write(&out.join("false-changes.svg"))?;
    Ok(table)
}

fn start_writers(
    cluster: &Cluster,
    service: &ServiceId,
    deadline: Instant,
) -> Vec<actix_rt::task::JoinHandle<WriteLog>> {
    let targets: Vec<_> = (0..cluster.hosts.len())
        .map(|index| cluster.caller_address(index))
        .collect();
    (0..WRITERS)
        .map(|number| {
            let writer = WriterSettings {
                targets: targets.clone(),
                service: service.to_string(),
                first_id: (number + 1) * IDS_PER_WRITER,
                pause: Duration::from_millis(50),
            };
            actix_rt::spawn(write_until(writer, deadline))
        })
        .collect()
}

/// Disturbs the links for the duration of the experiment, and returns the time in seconds and the
/// term at each change of term.
async fn disturb(
    cluster: &Cluster,
    service: &ServiceId,
    settings: &FalseChangesSettings,
    started_at: Instant,
) -> Result<Vec<(f64, f64)>, LabError> {
    let mut random = StdRng::seed_from_u64(settings.seed);
    let links = cluster.links.names_between_domains();
    let mut spikes = vec![(0, Duration::ZERO); links.len()];
    let mut changes = vec![(0.0, term(cluster, service) as f64)];
    for step in 0_u64.. {
        if started_at.elapsed() >= settings.duration {
            break;
        }
        for (link, spike) in links.iter().zip(&mut spikes) {
            if random.random_range(0..1000) < settings.spike_per_mille {
                let spike_delay = settings.spike.mul_f64(random.random());
                *spike = (step + SPIKE_STEPS, spike_delay);
            }
            let is_spiked = step < spike.0;
            let is_retransmitted = random.random_range(0..1000) < settings.loss_per_mille;
            let added = if is_spiked { spike.1 } else { Duration::ZERO };
            let is_datagrams = link.starts_with("datagrams");
            let retransmission = if is_retransmitted && !is_datagrams {
                RETRANSMISSION_DELAY
            } else {
                Duration::ZERO
            };
            let faults = LinkFaults {
                delay: added + retransmission,
                loss_per_mille: settings.loss_per_mille,
                ..LinkFaults::default()
            };
            cluster.links.set_faults(link, &faults)?;
        }
        actix_rt::time::sleep(STEP_TIME).await;
        let now = term(cluster, service) as f64;
        if changes.last().is_none_or(|(_, last)| *last < now) {
            let at_s = started_at.elapsed().as_secs_f64();
            info!(at_s = at_s, term = now; "the term changed");
            changes.push((at_s, now));
        }
    }
    for link in links {
        cluster.links.set_faults(link, &LinkFaults::default())?;
    }
    Ok(changes)
}

/// Returns the highest term that an instance of the group has seen.
fn term(cluster: &Cluster, service: &ServiceId) -> Term {
    let terms = cluster
        .group(service)
        .map(|(_, database)| database.status().term);
    terms.max().unwrap_or_default()
}
