//! `jujubehold standin-platform`: runs a stand-in of the platform's key-value service.

use std::time::Duration;

use getopts::{Matches, Options};
use jujubehold_standin::platform::{PlatformSettings, run_platform};

use super::host::stop_signal;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "standin-platform --listen ADDRESS [OPTIONS]",
    about: "Runs a stand-in of the platform's key-value service, for trials and tests, until \
            SIGTERM or SIGINT.\nIt keeps everything in memory. docs/notes/platform-stand-in.md \
            lists the control port's commands.",
    exits: &[ExitStatus::Ok, ExitStatus::Failed, ExitStatus::Usage],
    example: "jujubehold standin-platform --listen 127.0.0.1:2379 --control 127.0.0.1:2380",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optopt("l", "listen", "where it listens", "ADDRESS");
    options.optopt("c", "control", "where its control port listens", "ADDRESS");
    options.optopt(
        "",
        "call-time-ms",
        "how long each call takes, in milliseconds (0)",
        "MS",
    );
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let settings = settings(&matches)?;
    actix_rt::System::new()
        .block_on(async { run_platform(settings, stop_signal()?).await })
        .map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(String::new())
}

fn settings(matches: &Matches) -> Result<PlatformSettings, CliError> {
    Ok(PlatformSettings {
        listen: HELP.required_address(matches, "listen")?,
        control: HELP.address(matches, "control")?,
        call_time: HELP.duration_ms(matches, "call-time-ms", Duration::ZERO)?,
    })
}
