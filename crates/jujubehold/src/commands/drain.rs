//! `jujubehold drain` and `undrain`: take an upstream out of service and back in.

use jujubehold_core::prelude::*;

use super::{change_name, store};
use crate::cli_error::CliError;
use crate::config_store::Submitted;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed, platform_options};
use crate::store_error::StoreError;

const DRAIN: CommandHelp = CommandHelp {
    usage: "drain SERVICE INSTANCE --platform ADDRESSES",
    about: "Takes an instance out of service: it gets no new work, and what runs on it may end.\n\
            The change is made to the configuration in force, whatever its generation.",
    exits: &ExitStatus::ALL,
    example: "jujubehold drain greenville-shares a --platform 127.0.0.1:2379",
};
const UNDRAIN: CommandHelp = CommandHelp {
    usage: "undrain SERVICE INSTANCE --platform ADDRESSES",
    about: "Takes an instance back into service.\n\
            The change is made to the configuration in force, whatever its generation.",
    exits: &ExitStatus::ALL,
    example: "jujubehold undrain greenville-shares a --platform 127.0.0.1:2379",
};

/// Which way an instance is taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    /// Out of service.
    Out,
    /// Back into service.
    In,
}

pub(crate) fn run(arguments: &[String], direction: Direction) -> Result<String, CliError> {
    let (help, state, word) = match direction {
        Direction::Out => (DRAIN, InstanceState::Leaving, "leaving"),
        Direction::In => (UNDRAIN, InstanceState::Active, "active"),
    };
    let matches = match help.parse(platform_options(), arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let [service, instance] = matches.free.as_slice() else {
        return Err(help.usage_error("a service and an instance are needed"));
    };
    let store = store(&help, &matches)?;
    let service = ServiceId::from(service.as_str());
    let instance = InstanceId::from(instance.as_str());
    let change = change_name();
    let edited = store.edit(&service, &change, |config| {
        set_state(config, &instance, state)
    });
    Ok(match actix_rt::System::new().block_on(edited)? {
        Submitted::Written(generation) => {
            format!("{service} {instance} is {word} as of generation {generation}\n")
        }
        Submitted::Unchanged(generation) => {
            format!("{service} {instance} is {word} already, at generation {generation}\n")
        }
    })
}

fn set_state(
    config: &mut ServiceConfig,
    instance: &InstanceId,
    state: InstanceState,
) -> Result<(), StoreError> {
    let known: Vec<_> = config.instances.keys().map(ToString::to_string).collect();
    let Some(found) = config.instances.get_mut(instance) else {
        return Err(StoreError::NoInstance {
            service: config.service.clone(),
            instance: instance.clone(),
            known: known.join(", "),
        });
    };
    found.state = state;
    Ok(())
}
