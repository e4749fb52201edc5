//! `jujubehold show`: prints the configuration in force.

use std::fmt::Write;

use jujubehold_settings::format_service;

use super::store;
use crate::cli_error::CliError;
use crate::config_record::ConfigRecord;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed, platform_options};
use crate::store_error::StoreError;

const HELP: CommandHelp = CommandHelp {
    usage: "show [SERVICE] --platform ADDRESSES",
    about: "Prints the configuration of a service as INI, ready to be changed and submitted; \
            without a\nservice, lists all with their generations.",
    exits: &[
        ExitStatus::Ok,
        ExitStatus::Failed,
        ExitStatus::Usage,
        ExitStatus::BadInput,
        ExitStatus::Unavailable,
    ],
    example: "jujubehold show greenville-shares --platform 127.0.0.1:2379 > shares.ini",
};

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let matches = match HELP.parse(platform_options(), arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let store = store(&HELP, &matches)?;
    let system = actix_rt::System::new();
    match matches.free.as_slice() {
        [] => Ok(list(&system.block_on(store.read_all())?)),
        [service] => {
            let service = service.as_str().into();
            let record = system.block_on(store.read(&service))?;
            if record.mod_revision == 0 {
                return Err(StoreError::NoService(service).into());
            }
            Ok(format_service(&record.config))
        }
        _ => Err(HELP.usage_error("one service at most")),
    }
}

fn list(records: &[ConfigRecord]) -> String {
    let mut text = String::new();
    for ConfigRecord { config, .. } in records {
        let _ = writeln!(
            text,
            "{}: generation {}, {} instances",
            config.service,
            config.generation,
            config.instances.len()
        );
    }
    text
}
