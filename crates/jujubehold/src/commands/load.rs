//! `jujubehold load`: runs a closed loop of statements.

use getopts::{Matches, Options};
use jujubehold_lab::load::{LoadReport, LoadSettings, run_load};

use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "load --targets ADDRESSES --service SERVICE [OPTIONS]",
    about: "Repeats one statement on many connections, each as soon as the last answer arrived, and \
            prints the\nrate and the latencies. Use it only against machines that you are allowed to load.",
    exits: &[ExitStatus::Ok, ExitStatus::Failed, ExitStatus::Usage],
    example: "jujubehold load --targets 127.0.0.1:6432 --service greenville-shares --connections 32",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let matches = match HELP.parse(options(), arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let report = run_load(&settings(&matches)?)?;
    Ok(report_text(&report))
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "t",
        "targets",
        "the hosts, IP numbers and ports with commas between them",
        "ADDRESSES",
    );
    options.optopt("s", "service", "the service", "SERVICE");
    options.optopt("", "sql", "the statement (SELECT 1)", "SQL");
    options.optopt("c", "connections", "how many connections (32)", "N");
    options.optopt("", "threads", "how many threads carry them (3)", "N");
    options.optopt(
        "d",
        "duration-ms",
        "how long the load runs, in milliseconds (5000)",
        "MS",
    );
    options
}

fn settings(matches: &Matches) -> Result<LoadSettings, CliError> {
    let default = LoadSettings::default();
    let Some(service) = matches.opt_str("service") else {
        return Err(HELP.usage_error("--service is missing"));
    };
    let count = "a whole number";
    Ok(LoadSettings {
        targets: HELP.addresses(matches, "targets")?,
        user: default.user,
        service,
        sql: matches.opt_str("sql").unwrap_or(default.sql),
        connections: HELP.value(matches, "connections", default.connections, count)?,
        threads: HELP.value(matches, "threads", default.threads, count)?,
        duration: HELP.duration_ms(matches, "duration-ms", default.duration)?,
    })
}

fn report_text(report: &LoadReport) -> String {
    format!(
        "statements succeeded:  {}\nstatements failed:     {}\nstatements a second:   {:.0}\n\
         latency p50:           {} us\nlatency p90:           {} us\nlatency p99:           {} us\n",
        report.succeeded,
        report.failed,
        report.rate_per_s(),
        report.percentile_us(50.0),
        report.percentile_us(90.0),
        report.percentile_us(99.0),
    )
}
