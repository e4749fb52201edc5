//! The way to one upstream connection, here or on another host.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError};
use smol_str::SmolStr;

use crate::pool::{CancelTarget, PoolError, PooledConnection, PreparedNames, SendFailure};
use crate::routing_table::ServiceRoute;
use crate::shared::Shared;

/// An upstream connection that one request or transaction holds.
///
/// It is closed when dropped; [`Lane::finish`] gives it back.
#[derive(Debug)]
pub(crate) enum Lane {
    /// A connection of this host's pools.
    Local(PooledConnection),
}

/// Why no lane could be had; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LaneError {
    /// Another try, or another instance, may do.
    Retry(RetryReason),
    /// All connections stayed in use.
    Busy,
}

impl Lane {
    /// Takes a connection to `instance`.
    pub(crate) async fn open(
        shared: &Shared,
        route: &ServiceRoute,
        instance: &InstanceId,
        wait: Duration,
    ) -> Result<Self, LaneError> {
        let Some(config) = route.config.instances.get(instance) else {
            return Err(LaneError::Retry(RetryReason::NotPrimary));
        };
        // One share more than there are owners, so that a change of owner stays in the limit.
        let share_count = shared.settings.owners_per_instance + 1;
        let quota = (config.connections as usize / share_count).max(1);
        let service = &route.config.service;
        match shared
            .pools
            .acquire(service, instance, config, quota, wait)
            .await
        {
            Ok(connection) => Ok(Self::Local(connection)),
            Err(PoolError::Busy) => Err(LaneError::Busy),
            Err(PoolError::Open(_)) => Err(LaneError::Retry(RetryReason::ConnectRefused)),
        }
    }

    /// Sends bytes of whole messages.
    pub(crate) async fn send(&mut self, bytes: &[u8]) -> Result<(), SendFailure> {
        match self {
            Self::Local(pooled) => pooled.connection().hand_over(bytes).await,
        }
    }

    /// The next message.
    pub(crate) async fn receive(&mut self) -> Result<Frame, FrameError> {
        match self {
            Self::Local(pooled) => pooled.connection().receive().await,
        }
    }

    /// The statements that the connection is known to have prepared.
    pub(crate) fn prepared(&mut self) -> &mut PreparedNames {
        match self {
            Self::Local(pooled) => pooled.connection().prepared(),
        }
    }

    /// Whether a statement that is not known to be prepared may be there all the same.
    pub(crate) fn may_hold_unknown_statements(&self) -> bool {
        match self {
            Self::Local(_) => false,
        }
    }

    /// The commands that brought the connection's settings about.
    pub(crate) fn settings(&mut self) -> &mut SmolStr {
        match self {
            Self::Local(pooled) => pooled.connection().settings(),
        }
    }

    /// What a cancel request needs.
    pub(crate) fn cancel_target(&mut self) -> Option<CancelTarget> {
        match self {
            Self::Local(pooled) => pooled.connection().cancel_target().cloned(),
        }
    }

    /// Ends the use of the connection; one that is not clean is closed.
    pub(crate) fn finish(self, is_clean: bool) {
        match self {
            Self::Local(pooled) if is_clean => pooled.put_back(),
            Self::Local(_) => {}
        }
    }
}
