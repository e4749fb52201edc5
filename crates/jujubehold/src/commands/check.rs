//! `jujubehold check`: reports every fault in settings and configuration files.

use getopts::Options;
use jujubehold_settings::{EntrySettings, HostSettings, IniFaults, parse_service};

use super::read_file;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "check FILE...",
    about: "Checks host settings and service configurations, and names every fault of every file \
            at once.\nA file with a [service] section is a configuration, one with [entry] the settings of \
            an entry host\non a platform; any other is a host's settings.",
    exits: &[ExitStatus::Ok, ExitStatus::Usage, ExitStatus::BadInput],
    example: "jujubehold check host.ini greenville-shares.ini",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let matches = match HELP.parse(Options::new(), arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    if matches.free.is_empty() {
        return Err(HELP.usage_error("no file is given"));
    }
    let mut reports = Vec::new();
    let mut errors = Vec::new();
    for file in &matches.free {
        match read_file(file).and_then(|text| check_text(file, &text).map_err(CliError::from)) {
            Ok(kind) => reports.push(format!("{file}: {kind}, no faults\n")),
            Err(error) => errors.push(error.to_string()),
        }
    }
    if errors.is_empty() {
        return Ok(reports.concat());
    }
    Err(CliError::BadInput(errors.join("\n")))
}

fn check_text(file: &str, text: &str) -> Result<&'static str, IniFaults> {
    let is_service = text
        .lines()
        .any(|line| matches!(line.trim(), "[service]" | "[callers]") || is_instance_section(line));
    if is_service {
        return parse_service(file, text).map(|_| "configuration of a service");
    }
    if text.lines().any(|line| line.trim() == "[entry]") {
        return EntrySettings::parse(file, text).map(|_| "settings of an entry host");
    }
    HostSettings::parse(file, text).map(|_| "settings of a host")
}

fn is_instance_section(line: &str) -> bool {
    line.trim().starts_with("[instance ")
}
