//! `jujubehold entry`: runs an entry host on the users' platform.

use getopts::Options;
use jujubehold_entry::EntryHost;
use jujubehold_host::metrics_page;
use jujubehold_platform::{
    HttpClient, KvStore, PromotionClient, UsersPlatform, serve_readiness, settings_path,
};
use jujubehold_settings::EntrySettings;
use tokio::net::TcpListener;

use super::host::stop_signal;
use super::read_file;
use super::reload::check_settings_on_sighup;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::log_pipe::LogPipe;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "entry [--settings FILE]",
    about: "Runs an entry host on the users' platform until SIGTERM or SIGINT. It then \
            reports that\nit is not ready, waits up to drain_timeout_s for running requests, and exits. \
            Without --settings the\nplatform names the file. Logs go to standard output as JSON lines.",
    exits: &[
        ExitStatus::Ok,
        ExitStatus::Failed,
        ExitStatus::Usage,
        ExitStatus::BadInput,
    ],
    example: "jujubehold entry --settings entry.ini",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optopt("s", "settings", "the host's settings, in INI", "FILE");
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let Some(file) = matches.opt_str("settings").or_else(settings_path) else {
        return Err(HELP.usage_error("--settings is missing, and the platform names no file"));
    };
    let settings = EntrySettings::parse(&file, &read_file(&file)?)?;
    let result = actix_rt::System::new().block_on(serve(file, settings));
    LogPipe::wait_for_flush();
    result.map(|()| String::new())
}

async fn serve(file: String, settings: EntrySettings) -> Result<(), CliError> {
    let failed = |error: std::io::Error| CliError::Failed(error.to_string());
    let stop = stop_signal().map_err(failed)?;
    check_settings_on_sighup(file, settings.clone(), EntrySettings::parse).map_err(failed)?;
    if let Some(address) = settings.metrics_address {
        metrics_page::install();
        let listener = listen(address).await?;
        actix_rt::spawn(metrics_page::serve(listener));
    }
    let readiness = listen(settings.readiness_address).await?;
    let store = KvStore::new(HttpClient::new(settings.store_address));
    let promotion = PromotionClient::new(HttpClient::new(settings.promotion_address));
    let host = EntryHost::<UsersPlatform>::start(settings, store, promotion)
        .await
        .map_err(|error| CliError::Failed(error.to_string()))?;
    actix_rt::spawn(serve_readiness(readiness, host.readiness()));
    host.serve(stop).await;
    Ok(())
}

async fn listen(address: std::net::SocketAddr) -> Result<TcpListener, CliError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| CliError::Failed(format!("cannot listen on {address}: {error}")))
}
