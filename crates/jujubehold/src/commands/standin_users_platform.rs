//! `jujubehold standin-users-platform`: runs a stand-in of the users' platform.

use getopts::{Matches, Options};
use jujubehold_standin::users_platform::{UsersPlatformSettings, run_users_platform};

use super::host::stop_signal;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const DEFAULT_HOSTS: usize = 9;
const DEFAULT_MAX_CONNECTIONS: u32 = 40;

const HELP: CommandHelp = CommandHelp {
    usage: "standin-users-platform --control ADDRESS [OPTIONS]",
    about: "Runs a stand-in of the users' platform, for trials and tests, until SIGTERM or SIGINT: \
            its store,\none service of three instances, and the promotion call.\nIt keeps everything \
            in memory. docs/notes/platform-stand-in.md lists the control port's commands, which\n\
            also give the other addresses.",
    exits: &[ExitStatus::Ok, ExitStatus::Failed, ExitStatus::Usage],
    example: "jujubehold standin-users-platform --control 127.0.0.1:2380 --hosts 6",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optopt("c", "control", "where its control port listens", "ADDRESS");
    options.optopt(
        "",
        "hosts",
        "for how many hosts there is an address of the store (9)",
        "COUNT",
    );
    options.optopt(
        "",
        "max-connections",
        "how many connections each instance accepts (40)",
        "COUNT",
    );
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let settings = settings(&matches)?;
    actix_rt::System::new()
        .block_on(async { run_users_platform(settings, stop_signal()?).await })
        .map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(String::new())
}

fn settings(matches: &Matches) -> Result<UsersPlatformSettings, CliError> {
    Ok(UsersPlatformSettings {
        control: HELP.required_address(matches, "control")?,
        hosts: HELP.value(matches, "hosts", DEFAULT_HOSTS, "a whole number")?,
        max_connections: HELP.value(
            matches,
            "max-connections",
            DEFAULT_MAX_CONNECTIONS,
            "a whole number",
        )?,
    })
}
