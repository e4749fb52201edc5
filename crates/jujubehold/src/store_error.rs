//! Why the services' configuration could not be read or changed.

use jujubehold_core::prelude::*;
use jujubehold_settings::IniFaults;
use thiserror::Error;

use crate::exit_status::ExitStatus;

/// Why the configuration could not be read or changed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Someone else changed the service first.
    #[error(
        "conflict: {service} is at generation {current}, the file was built on generation \
         {expected}; nothing was written\n{}\nRead the service again with `jujubehold show \
         {service}`, make the change there and submit that.",
        .differences.join("\n")
    )]
    Conflict {
        /// The service.
        service: ServiceId,
        /// The generation that the file was built on.
        expected: Generation,
        /// The generation in force.
        current: Generation,
        /// What differs between the two, one line a key.
        differences: Vec<String>,
    },
    /// It can't be known whether the change was written.
    #[error(
        "unknown: it is not known whether the change of {service} was written ({detail})\nRead \
         the service with `jujubehold show {service}` before submitting again; a second \
         submission of the same file is safe."
    )]
    Unknown {
        /// The service.
        service: ServiceId,
        /// What was seen last.
        detail: String,
    },
    /// Nothing was written.
    #[error("unavailable: {0}; nothing was written")]
    Unavailable(String),
    /// What stands in the platform's service can't be read.
    #[error("what stands in the platform's service holds faults:\n{0}")]
    BadRecord(#[from] IniFaults),
    /// There is no such service.
    #[error("there is no service {0}")]
    NoService(ServiceId),
    /// The service has no such instance.
    #[error("service {service} has no instance {instance}; it has {known}")]
    NoInstance {
        /// The service.
        service: ServiceId,
        /// What was asked for.
        instance: InstanceId,
        /// The instances that it has.
        known: String,
    },
}

impl StoreError {
    /// What a command that meets this error ends with.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Conflict { .. } => ExitStatus::Conflict,
            Self::Unknown { .. } => ExitStatus::OutcomeUnknown,
            Self::Unavailable(_) => ExitStatus::Unavailable,
            Self::BadRecord(_) => ExitStatus::BadInput,
            Self::NoService(_) | Self::NoInstance { .. } => ExitStatus::Failed,
        }
    }
}
