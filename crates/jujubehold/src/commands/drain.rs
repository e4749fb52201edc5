//! `jujubehold drain` and `undrain`: take an upstream out of service and back in.

use jujubehold_core::prelude::*;

use super::{new_change_id, store};
use crate::cli_error::CliError;
use crate::config_store::SubmitOutcome;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed, platform_options};
use crate::store_error::StoreError;

const DRAIN: CommandHelp = CommandHelp {
    usage: "drain SERVICE INSTANCE --platform ADDRESSES",
    about: "Takes an instance out of service: it gets no new work, and running requests may finish.\n\
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

/// Which of the two commands runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainAction {
    /// Takes an instance out of service.
    Drain,
    /// Takes an instance back into service.
    Undrain,
}

pub(crate) fn run(arguments: &[String], action: DrainAction) -> Result<String, CliError> {
    let (help, state, state_name) = match action {
        DrainAction::Drain => (DRAIN, InstanceState::Leaving, "leaving"),
        DrainAction::Undrain => (UNDRAIN, InstanceState::Active, "active"),
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
    let change_id = new_change_id();
    let edited = store.edit(&service, &change_id, |config| {
        set_state(config, &instance, state)
    });
    Ok(match actix_rt::System::new().block_on(edited)? {
        SubmitOutcome::Written(generation) => {
            format!("{service} {instance} is {state_name} as of generation {generation}\n")
        }
        SubmitOutcome::Unchanged(generation) => {
            format!("{service} {instance} is {state_name} already, at generation {generation}\n")
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
