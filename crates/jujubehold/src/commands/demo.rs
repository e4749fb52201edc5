//! `jujubehold demo`: runs a whole installation in one process.

use getopts::Options;
use jujubehold_lab::LabError;
use jujubehold_lab::demo::{DemoReport, DemoSettings, run_demo, serve_demo};

use super::host::stop_signal;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "demo [--serve]",
    about: "Runs hosts, a database group and the platform's key-value service in this process, on \
            loopback.\nCallers write and read while the primary is killed, and the figures are \
            printed. With --serve the\ninstallation stays up for any PostgreSQL client until \
            SIGTERM or SIGINT.",
    exits: &[ExitStatus::Ok, ExitStatus::Failed, ExitStatus::Usage],
    example: "jujubehold demo",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optflag("s", "serve", "keep the installation up for callers");
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let system = actix_rt::System::new();
    if matches.opt_present("serve") {
        system.block_on(serve())?;
        return Ok(String::new());
    }
    let report = system.block_on(run_demo(&DemoSettings::default()))?;
    outcome(&report)
}

async fn serve() -> Result<(), LabError> {
    let stop = stop_signal()?;
    serve_demo(|text| println!("{text}"), stop).await
}

/// Returns the figures, as an error if a guarantee was broken.
fn outcome(report: &DemoReport) -> Result<String, CliError> {
    if report.all_guarantees_held() {
        return Ok(report.to_string());
    }
    Err(CliError::Failed(format!("{report}a guarantee was broken")))
}
