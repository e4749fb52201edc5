//! Errors of reading and changing the services' configuration.

use jujubehold_core::prelude::*;
use jujubehold_settings::IniFaults;
use thiserror::Error;

use crate::exit_status::ExitStatus;

/// An error of reading or changing a service's configuration.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Someone else changed the service first; nothing was written.
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
        /// The differences between the two, one line for each key.
        differences: Vec<String>,
    },
    /// It is unknown whether the change was written.
    #[error(
        "unknown: it is not known whether the change of {service} was written ({detail})\nRead \
         the service with `jujubehold show {service}` before submitting again; a second \
         submission of the same file is safe."
    )]
    Unknown {
        /// The service.
        service: ServiceId,
        /// The last failure.
        detail: String,
    },
    /// The platform's key-value service is unreachable; nothing was written.
    #[error("unavailable: {0}; nothing was written")]
    Unavailable(String),
    /// A record in the platform's key-value service cannot be parsed.
    #[error("a record in the platform's key-value service contains faults:\n{0}")]
    BadRecord(#[from] IniFaults),
    /// The service does not exist.
    #[error("there is no service {0}")]
    NoService(ServiceId),
    /// The service has no instance of that name.
    #[error("service {service} has no instance {instance}; it has {known}")]
    NoInstance {
        /// The service.
        service: ServiceId,
        /// The instance that was asked for.
        instance: InstanceId,
        /// The service's instances, separated by commas.
        known: String,
    },
}

impl StoreError {
    /// Returns the exit status of a command that fails with this error.
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
