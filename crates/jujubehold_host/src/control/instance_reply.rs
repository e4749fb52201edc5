//! The outcome of a call to a group function.

use jujubehold_core::prelude::*;

/// The outcome of a call to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum InstanceReply {
    /// The instance's status after the call.
    Status(InstanceStatus),
    /// The instance refused the connection because it is at its connection limit, so it is alive.
    AtConnectionLimit,
    /// The call failed, timed out or returned no status.
    NoStatus,
}

impl InstanceReply {
    /// Returns the status, if the call returned one.
    pub(crate) fn status(self) -> Option<InstanceStatus> {
        match self {
            Self::Status(status) => Some(status),
            Self::AtConnectionLimit | Self::NoStatus => None,
        }
    }
}
