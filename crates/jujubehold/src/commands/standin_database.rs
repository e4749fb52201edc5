//! `jujubehold standin-database`: runs a stand-in of one instance of a database group.

use getopts::{Matches, Options};
use jujubehold_standin::database::{DatabaseSettings, run_database};

use super::host::stop_signal;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "standin-database --listen ADDRESS [OPTIONS]",
    about: "Runs a stand-in of one instance of a database group, for trials and tests, until \
            SIGTERM or SIGINT.\nWithout --primary it starts as the primary of term 1. \
            docs/notes/platform-stand-in.md lists the\ncontrol port's commands.",
    exits: &[ExitStatus::Ok, ExitStatus::Failed, ExitStatus::Usage],
    example: "jujubehold standin-database --listen 127.0.0.1:5502 --primary 127.0.0.1:5501",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let matches = match HELP.parse(options(), arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let settings = settings(&matches)?;
    actix_rt::System::new()
        .block_on(async { run_database(settings, stop_signal()?).await })
        .map_err(|error| CliError::Failed(error.to_string()))?;
    Ok(String::new())
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("n", "name", "the instance's name (instance)", "NAME");
    options.optopt("l", "listen", "where it listens", "ADDRESS");
    options.optopt("c", "control", "where its control port listens", "ADDRESS");
    options.optopt(
        "p",
        "primary",
        "the primary that it follows at first",
        "ADDRESS",
    );
    options.optopt(
        "",
        "connections",
        "how many connections it accepts (20)",
        "N",
    );
    options.optopt("", "slots", "how many statements run at once (3)", "N");
    options.optopt(
        "",
        "connect-cost-ms",
        "how long opening a connection takes, in milliseconds (12)",
        "MS",
    );
    options.optopt(
        "",
        "service-time-ms",
        "how long a statement holds its slot, in milliseconds (0)",
        "MS",
    );
    options.optopt(
        "",
        "lag-ms",
        "how long after its receipt a commit becomes visible to readers, in milliseconds (0)",
        "MS",
    );
    options
}

fn settings(matches: &Matches) -> Result<DatabaseSettings, CliError> {
    let default = DatabaseSettings::default();
    let count = "a whole number";
    Ok(DatabaseSettings {
        name: HELP.value(matches, "name", default.name, "a name")?,
        listen: HELP.required_address(matches, "listen")?,
        control: HELP.address(matches, "control")?,
        primary: HELP.address(matches, "primary")?,
        connection_limit: HELP.value(matches, "connections", default.connection_limit, count)?,
        slots: HELP.value(matches, "slots", default.slots, count)?,
        connect_cost: HELP.duration_ms(matches, "connect-cost-ms", default.connect_cost)?,
        service_time: HELP.duration_ms(matches, "service-time-ms", default.service_time)?,
        apply_lag: HELP.duration_ms(matches, "lag-ms", default.apply_lag)?,
        directory: None,
        records_runs: false,
    })
}
