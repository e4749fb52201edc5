//! `jujubehold replay`: runs recorded traces against their stated outcomes.

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
            those that\nthe traces state. docs/notes/replay.md lists the lines of a trace.",
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
        "print the traces with the outcomes that came, whatever they state",
    );
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    if matches.free.is_empty() {
        return Err(HELP.usage_error("no trace is given"));
    }
    let is_filling = matches.opt_present("fill");
    let mut good = String::new();
    let mut bad = String::new();
    for file in &matches.free {
        let trace = read_file(file)?;
        let replay =
            replay(&trace).map_err(|error| CliError::BadInput(format!("{file}: {error}")))?;
        if is_filling {
            good.push_str(&replay.filled_trace);
        } else if replay.matches_expectations() {
            let _ = writeln!(good, "{file}: {} outcomes as stated", replay.expected_count);
        } else {
            bad.push_str(&differences_text(file, &replay.mismatches));
        }
    }
    if bad.is_empty() {
        return Ok(good);
    }
    Err(CliError::Failed(format!("{good}{}", bad.trim_end())))
}

fn differences_text(file: &str, differences: &[OutcomeMismatch]) -> String {
    let mut text = String::new();
    for difference in differences {
        let _ = writeln!(text, "{file}:{}: the outcomes differ", difference.number);
        for stated in &difference.expected {
            let _ = writeln!(text, "    stated: {stated}");
        }
        for came in &difference.actual {
            let _ = writeln!(text, "    came:   {came}");
        }
    }
    text
}
