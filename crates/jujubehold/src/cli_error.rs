//! Errors that end a command.

use jujubehold_lab::LabError;
use jujubehold_settings::IniFaults;
use thiserror::Error;

use crate::exit_status::ExitStatus;
use crate::store_error::StoreError;

/// An error that ends a command. Its text is printed for the operator.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// Input files contain faults; the text has one line for each.
    #[error("{0}")]
    BadInput(String),
    /// The configuration could not be read or changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A host could not be reached.
    #[error("{0}")]
    Unavailable(String),
    /// The command ran and failed.
    #[error("{0}")]
    Failed(String),
}

impl CliError {
    /// Returns the exit status of the process.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Usage(_) => ExitStatus::Usage,
            Self::BadInput(_) => ExitStatus::BadInput,
            Self::Store(error) => error.status(),
            Self::Unavailable(_) => ExitStatus::Unavailable,
            Self::Failed(_) => ExitStatus::Failed,
        }
    }
}

impl From<LabError> for CliError {
    fn from(error: LabError) -> Self {
        Self::Failed(error.to_string())
    }
}

impl From<IniFaults> for CliError {
    fn from(faults: IniFaults) -> Self {
        Self::BadInput(faults.to_string())
    }
}
