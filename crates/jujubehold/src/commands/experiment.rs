//! `jujubehold experiment`: runs repeatable measurements.

use std::path::{Path, PathBuf};
use std::time::Duration;

use getopts::{Matches, Options};
use jujubehold_lab::LabError;
use jujubehold_lab::capacity::{CapacityPart, run_capacity};
use jujubehold_lab::cluster::LinkDelays;
use jujubehold_lab::experiment::{
    FailoverGapSettings, FalseChangesSettings, GapKind, NamedWritesSettings, OverloadSettings,
    ReplicaReadsSettings, SessionKind, WriteLatencySettings, run_failover_gap, run_false_changes,
    run_named_writes, run_overload, run_replica_reads, run_write_latency,
};
use jujubehold_lab::load::{BenchmarkSettings, run_benchmark};
use jujubehold_lab::report::Table;

use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "experiment NAME [--out DIRECTORY] [--runs N] [--kinds KINDS] \
            [--sessions KINDS] [--parts PARTS] [--minutes N] [--delay-ms N] \
            [--caller-delay-ms N]",
    about: "Runs an experiment on loopback, prints its table in Markdown and writes its plots. \
            NAME is one of\n    failover-gap   how long writes are impossible after a primary is \
            lost\n    false-changes  changes of primary under delay spikes and loss\n    replica-reads  \
            the share of reads that replicas serve\n    write-latency  writes with and without \
            confirmation by a replica\n    overload       \
            what callers see beyond capacity\n    benchmark      one host, compared with the \
            same load without it\n    named-writes   the cost of naming a write\n    capacity       the \
            slopes of docs/CAPACITY.md",
    exits: &[ExitStatus::Ok, ExitStatus::Failed, ExitStatus::Usage],
    example: "jujubehold experiment failover-gap --runs 10 --out /tmp",
};

/// An experiment's name on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Experiment {
    FailoverGap,
    FalseChanges,
    ReplicaReads,
    WriteLatency,
    Overload,
    Benchmark,
    NamedWrites,
    Capacity,
}

/// The settings that options can change, for all experiments together.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ExperimentOptions {
    gap: FailoverGapSettings,
    minutes: u64,
    delays: LinkDelays,
    parts: Vec<CapacityPart>,
    reads: ReplicaReadsSettings,
}

impl Experiment {
    fn from_name(name: &str) -> Option<Self> {
        match name {
            "failover-gap" => Some(Self::FailoverGap),
            "false-changes" => Some(Self::FalseChanges),
            "write-latency" => Some(Self::WriteLatency),
            "replica-reads" => Some(Self::ReplicaReads),
            "overload" => Some(Self::Overload),
            "benchmark" => Some(Self::Benchmark),
            "named-writes" => Some(Self::NamedWrites),
            "capacity" => Some(Self::Capacity),
            _ => None,
        }
    }
}

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optopt("o", "out", "where plots are written (.)", "DIRECTORY");
    options.optopt("r", "runs", "runs of each kind of failover-gap (50)", "N");
    options.optopt(
        "k",
        "kinds",
        "kinds of loss of failover-gap, with commas between them (crash,freeze,crash-in-outage,ordered)",
        "KINDS",
    );
    options.optopt(
        "s",
        "sessions",
        "kinds of sessions of replica-reads, with commas between them, of stays,token,nothing,lookups,outage (stays)",
        "KINDS",
    );
    options.optopt(
        "p",
        "parts",
        "parts of capacity, with commas between them (configuration,ownership,hosts,domains,services,callers,changes)",
        "PARTS",
    );
    options.optopt(
        "m",
        "minutes",
        "length of false-changes, in minutes (60)",
        "N",
    );
    options.optopt(
        "d",
        "delay-ms",
        "one-way delay between failure domains, for the first four experiments, in milliseconds (0)",
        "N",
    );
    options.optopt(
        "c",
        "caller-delay-ms",
        "one-way delay to callers, for the first four experiments, in milliseconds (0)",
        "N",
    );
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let [name] = matches.free.as_slice() else {
        return Err(HELP.usage_error("one experiment is needed"));
    };
    let experiment = Experiment::from_name(name)
        .ok_or_else(|| HELP.usage_error(&format!("there is no experiment {name:?}")))?;
    let out = PathBuf::from(matches.opt_str("out").unwrap_or_else(|| ".".into()));
    let experiment_options = ExperimentOptions {
        gap: gap_settings(&matches)?,
        minutes: HELP.value(&matches, "minutes", 60, "a whole number")?,
        delays: delays(&matches)?,
        parts: capacity_parts(&matches)?,
        reads: reads_settings(&matches)?,
    };
    let table = actix_rt::System::new().block_on(measure(experiment, &experiment_options, &out))?;
    Ok(table.to_string())
}

fn delays(matches: &Matches) -> Result<LinkDelays, CliError> {
    let ms = |name| HELP.value(matches, name, 0, "a whole number");
    Ok(LinkDelays {
        between_domains: Duration::from_millis(ms("delay-ms")?),
        to_callers: Duration::from_millis(ms("caller-delay-ms")?),
    })
}

fn gap_settings(matches: &Matches) -> Result<FailoverGapSettings, CliError> {
    let default = FailoverGapSettings::default();
    let kinds = match matches.opt_str("kinds") {
        Some(names) => names.split(',').map(gap_kind).collect::<Result<_, _>>()?,
        None => default.kinds,
    };
    Ok(FailoverGapSettings {
        runs: HELP.value(matches, "runs", default.runs, "a whole number")?,
        kinds,
        delays: delays(matches)?,
        ..default
    })
}

fn reads_settings(matches: &Matches) -> Result<ReplicaReadsSettings, CliError> {
    let default = ReplicaReadsSettings::default();
    let Some(names) = matches.opt_str("sessions") else {
        return Ok(default);
    };
    Ok(ReplicaReadsSettings {
        kinds: names
            .split(',')
            .map(session_kind)
            .collect::<Result<_, _>>()?,
        ..default
    })
}

fn session_kind(name: &str) -> Result<SessionKind, CliError> {
    SessionKind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == name.trim())
        .ok_or_else(|| HELP.usage_error(&format!("there is no kind of session {name:?}")))
}

fn capacity_parts(matches: &Matches) -> Result<Vec<CapacityPart>, CliError> {
    let Some(names) = matches.opt_str("parts") else {
        return Ok(CapacityPart::ALL.to_vec());
    };
    names.split(',').map(capacity_part).collect()
}

fn capacity_part(name: &str) -> Result<CapacityPart, CliError> {
    CapacityPart::ALL
        .into_iter()
        .find(|part| part.as_str() == name.trim())
        .ok_or_else(|| HELP.usage_error(&format!("there is no part {name:?}")))
}

fn gap_kind(name: &str) -> Result<GapKind, CliError> {
    GapKind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == name.trim())
        .ok_or_else(|| HELP.usage_error(&format!("there is no kind of loss {name:?}")))
}

async fn measure(
    experiment: Experiment,
    options: &ExperimentOptions,
    out: &Path,
) -> Result<Table, LabError> {
    match experiment {
        Experiment::FailoverGap => run_failover_gap(&options.gap, out).await,
        Experiment::FalseChanges => {
            let settings = FalseChangesSettings {
                duration: Duration::from_mins(options.minutes),
                ..FalseChangesSettings::default()
            };
            run_false_changes(&settings.with_delays(options.delays), out).await
        }
        Experiment::WriteLatency => {
            let settings = WriteLatencySettings {
                delays: options.delays,
                ..WriteLatencySettings::default()
            };
            run_write_latency(&settings, out).await
        }
        Experiment::ReplicaReads => {
            let settings = ReplicaReadsSettings {
                delays: options.delays,
                ..options.reads.clone()
            };
            run_replica_reads(&settings, out).await
        }
        Experiment::Overload => run_overload(&OverloadSettings::default(), out).await,
        Experiment::Benchmark => run_benchmark(&BenchmarkSettings::default()).await,
        Experiment::NamedWrites => run_named_writes(&NamedWritesSettings::default()).await,
        Experiment::Capacity => run_capacity(&options.parts, out).await,
    }
}
