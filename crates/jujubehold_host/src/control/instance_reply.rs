//! What became of a call of a group's function.

use jujubehold_core::prelude::*;

/// How an instance answered a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum InstanceReply {
    /// Its status after the call.
    Status(InstanceStatus),
    /// It refused the connection, since it has as many as it takes; so it is alive.
    Full,
    /// There was no answer in time, or none that says anything.
    Nothing,
}

impl InstanceReply {
    /// The status, if there is one.
    pub(crate) fn status(self) -> Option<InstanceStatus> {
        match self {
            Self::Status(status) => Some(status),
            Self::Full | Self::Nothing => None,
        }
    }
}
