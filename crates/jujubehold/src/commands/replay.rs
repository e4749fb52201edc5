//! `jujubehold replay`: runs recorded traces and compares the outcomes with the expected ones.

use std::fmt::Write;

use getopts::Options;
use jujubehold_core::replay::{OutcomeMismatch, replay};

use super::read_file;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "replay TRACE... [--fill]",
    about: "Runs recorded traces through the decisions of the proxy and compares the outcomes with \
            those that\nthe traces expect. docs/notes/replay.md lists the lines of a trace.",
    exits: &[
        ExitStatus::Ok,
        ExitStatus::Failed,
        ExitStatus::Usage,
        ExitStatus::BadInput,
    ],
    example: "jujubehold replay failover.trace",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optflag(
        "f",
        "fill",
        "print the traces with the actual outcomes in place of the expected ones",
    );
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    if matches.free.is_empty() {
        return Err(HELP.usage_error("no trace is given"));
    }
    let is_filling = matches.opt_present("fill");
    let mut report = String::new();
    let mut mismatch_report = String::new();
    for file in &matches.free {
        let trace = read_file(file)?;
        let replay =
            replay(&trace).map_err(|error| CliError::BadInput(format!("{file}: {error}")))?;
        if is_filling {
            report.push_str(&replay.filled_trace);
        } else if replay.matches_expectations() {
            let _ = writeln!(
                report,
                "{file}: {} outcomes as expected",
                replay.expected_count
            );
        } else {
            mismatch_report.push_str(&mismatches_text(file, &replay.mismatches));
        }
    }
    if mismatch_report.is_empty() {
        return Ok(report);
    }
    Err(CliError::Failed(format!(
        "{report}{}",
        mismatch_report.trim_end()
    )))
}

fn mismatches_text(file: &str, mismatches: &[OutcomeMismatch]) -> String {
    let mut text = String::new();
    for mismatch in mismatches {
        let _ = writeln!(text, "{file}:{}: the outcomes differ", mismatch.number);
        for expected in &mismatch.expected {
            let _ = writeln!(text, "    expected: {expected}");
        }
        for actual in &mismatch.actual {
            let _ = writeln!(text, "    actual:   {actual}");
        }
    }
    text
}
