//! The exit codes of the program.

use std::process::ExitCode;

/// How a command ended, as the exit code that scripts see. docs/OPERATIONS.md lists the codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExitStatus {
    /// The command succeeded.
    Ok,
    /// The command ran and failed.
    Failed,
    /// The command line is wrong.
    Usage,
    /// Settings or a configuration contain faults.
    BadInput,
    /// Someone else changed the configuration first; nothing was written.
    Conflict,
    /// The platform's key-value service or a host could not be reached; nothing was written.
    Unavailable,
    /// It is unknown whether the change was written.
    OutcomeUnknown,
}

impl ExitStatus {
    /// Every status, in the order of the codes.
    pub const ALL: [Self; 7] = [
        Self::Ok,
        Self::Failed,
        Self::Usage,
        Self::BadInput,
        Self::Conflict,
        Self::Unavailable,
        Self::OutcomeUnknown,
    ];

    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Ok => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::BadInput => 3,
            Self::Conflict => 4,
            Self::Unavailable => 5,
            Self::OutcomeUnknown => 6,
        }
    }

    /// Returns the meaning of the code, for the help texts.
    pub fn meaning(self) -> &'static str {
        match self {
            Self::Ok => "done",
            Self::Failed => "failed",
            Self::Usage => "the command line is wrong",
            Self::BadInput => "settings or configuration hold faults",
            Self::Conflict => "someone else changed it first; nothing was written",
            Self::Unavailable => "could not be reached; nothing was written",
            Self::OutcomeUnknown => "it is not known whether the change was written",
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
