//! The subcommands, one module for each.

use getopts::Matches;

use crate::cli_error::CliError;
use crate::config_store::ConfigStore;
use crate::options::CommandHelp;

pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod drain;
pub(crate) mod entry;
pub(crate) mod experiment;
pub(crate) mod explain;
pub(crate) mod faults;
pub(crate) mod host;
pub(crate) mod load;
pub(crate) mod reload;
pub(crate) mod replay;
pub(crate) mod show;
pub(crate) mod standin_database;
pub(crate) mod standin_platform;
pub(crate) mod standin_users_platform;
pub(crate) mod status;
pub(crate) mod submit;

/// Returns the store that a command's options name.
fn store(help: &CommandHelp, matches: &Matches) -> Result<ConfigStore, CliError> {
    let timeout = help.timeout(matches)?;
    Ok(ConfigStore::new(
        help.addresses(matches, "platform")?,
        timeout,
    ))
}

/// Reads a file as text.
fn read_file(path: &str) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|error| CliError::BadInput(format!("{path}: cannot read the file: {error}")))
}

/// Returns a random ID for a change.
fn new_change_id() -> String {
    use std::hash::{BuildHasher, RandomState};
    // The standard library's only source of randomness; an ID needs no cryptographic strength.
    let parts = [RandomState::new(), RandomState::new()].map(|state| state.hash_one(0_u8));
    format!("{:016x}{:016x}", parts[0], parts[1])
}
