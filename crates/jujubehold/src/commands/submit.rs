//! `jujubehold submit`: writes a service's configuration by compare-and-swap.

use jujubehold_settings::parse_service;

use super::{new_change_id, read_file, store};
use crate::cli_error::CliError;
use crate::config_store::SubmitOutcome;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed, platform_options};

const HELP: CommandHelp = CommandHelp {
    usage: "submit FILE --platform ADDRESSES [--expect N]",
    about: "Submits a service's configuration. The file's `generation` is the one that it was \
            built on, 0 for\na new service; what is written gets the next one. When the service \
            has another generation by then,\nthe command writes nothing and prints both \
            generations and the differences.",
    exits: &ExitStatus::ALL,
    example: "jujubehold submit greenville-shares.ini --platform 127.0.0.1:2379",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = platform_options();
    options.optopt(
        "e",
        "expect",
        "the generation that must be in force, in place of the file's",
        "N",
    );
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let [file] = matches.free.as_slice() else {
        return Err(HELP.usage_error("one file is needed"));
    };
    let config = parse_service(file, &read_file(file)?)?;
    let expected = HELP.value(&matches, "expect", config.generation, "a whole number")?;
    let store = store(&HELP, &matches)?;
    let change_id = new_change_id();
    let submitted = store.submit(&config, expected, &change_id);
    let service = &config.service;
    Ok(match actix_rt::System::new().block_on(submitted)? {
        SubmitOutcome::Written(generation) => format!("{service} is at generation {generation}\n"),
        SubmitOutcome::Unchanged(generation) => {
            format!("{service} is at generation {generation} already\n")
        }
    })
}
