//! The command line of jujubehold: one program with a subcommand for each role and each task of an
//! operator.
//!
//! A command parses its options, calls the library that does the work and turns the outcome into
//! text and an [`ExitStatus`]. This crate makes no routing decisions. See docs/OPERATIONS.md.

mod cli_error;
mod command;
mod commands;
mod config_record;
mod config_store;
mod exit_status;
mod json_log;
mod log_pipe;
mod options;
mod service_diff;
mod store_error;

use std::process::ExitCode;

pub use cli_error::CliError;
pub use command::Command;
pub use config_record::ConfigRecord;
pub use config_store::{ConfigStore, SubmitOutcome};
pub use exit_status::ExitStatus;
pub use service_diff::service_differences;
pub use store_error::StoreError;

/// Runs the command that `arguments` name and returns the exit code of the process.
pub fn run(arguments: Vec<String>) -> ExitCode {
    if arguments
        .first()
        .is_some_and(|name| name == Command::Entry.name())
    {
        json_log::start_nonblocking();
    } else {
        json_log::start();
    }
    match dispatch(arguments) {
        Ok(text) => {
            print!("{text}");
            ExitStatus::Ok.into()
        }
        Err(error) => {
            eprintln!("{error}");
            error.status().into()
        }
    }
}

fn dispatch(mut arguments: Vec<String>) -> Result<String, CliError> {
    if arguments.is_empty() {
        return Err(CliError::Usage(command::overview()));
    }
    let name = arguments.remove(0);
    if matches!(name.as_str(), "--help" | "-h" | "help") {
        return Ok(command::overview());
    }
    if matches!(name.as_str(), "--version" | "-V") {
        return Ok(format!("jujubehold {}\n", env!("CARGO_PKG_VERSION")));
    }
    let Some(command) = Command::from_name(&name) else {
        let text = format!(
            "jujubehold has no command {name:?}\n\n{}",
            command::overview()
        );
        return Err(CliError::Usage(text));
    };
    command.run(&arguments)
}
