//! `jujubehold host`: runs an entry host.

use getopts::Options;
use jujubehold_settings::HostSettings;
use log::info;
use tokio::signal::unix::{SignalKind, signal};

use super::read_file;
use super::reload::check_settings_on_sighup;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "host --settings FILE",
    about: "Runs an entry host until SIGTERM or SIGINT. It then stops accepting connections, waits \
            up to\ndrain_timeout_ms for running requests, and exits. Logs go to standard error as JSON lines.",
    exits: &[
        ExitStatus::Ok,
        ExitStatus::Failed,
        ExitStatus::Usage,
        ExitStatus::BadInput,
    ],
    example: "jujubehold host --settings host.ini",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optopt("s", "settings", "the host's settings, in INI", "FILE");
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let Some(file) = matches.opt_str("settings") else {
        return Err(HELP.usage_error("--settings is missing"));
    };
    let settings = HostSettings::parse(&file, &read_file(&file)?)?;
    actix_rt::System::new().block_on(async {
        let failed = |error: std::io::Error| CliError::Failed(error.to_string());
        let stop = stop_signal().map_err(failed)?;
        check_settings_on_sighup(file, settings.clone(), HostSettings::parse).map_err(failed)?;
        jujubehold_host::run(settings, stop)
            .await
            .map_err(|error| CliError::Failed(error.to_string()))
    })?;
    Ok(String::new())
}

/// Returns a future that resolves at the first SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if a signal handler cannot be installed.
pub(crate) fn stop_signal() -> std::io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        let name = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        info!(signal = name; "stopping");
    })
}
