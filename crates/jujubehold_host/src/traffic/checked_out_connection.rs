//! An upstream connection in use, owned by this host or by another one.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError};
use log::debug;
use smol_str::{SmolStr, format_smolstr};

use crate::peer::{BorrowedConnection, ForwardError, ForwardTarget};
use crate::pool::{CancelTarget, PoolError, PooledConnection, PreparedNames, SendFailure};
use crate::routing_table::ServiceRoute;
use crate::shared::Shared;

/// The longest time that an owner may keep a request waiting for a connection.
const MAX_FORWARD_WAIT: Duration = Duration::from_secs(2);
/// The divisor of an instance's connection limit that yields one host's quota while no owner can be
/// reached.
const OWNERLESS_QUOTA_DIVISOR: u32 = 10;
/// The reason that an owner states if all of its connections are in use.
const QUEUE_FULL_REASON: &str = "queue_full";

/// Returns whether an owner that refused for this reason lends no connection to any instance: it
/// has just started and has no configuration yet, or it is about to end.
fn is_unable_to_lend(reason: &str) -> bool {
    [RefusalReason::UnknownService, RefusalReason::ShuttingDown]
        .iter()
        .any(|unable| unable.as_str() == reason)
}

/// An upstream connection that one request or transaction holds exclusively.
///
/// It is closed when dropped; [`CheckedOutConnection::release`] returns it for reuse.
#[derive(Debug)]
pub(crate) enum CheckedOutConnection {
    /// A connection of this host's pools.
    Local(PooledConnection),
    /// A connection that one of the instance's owners lends to this host.
    Borrowed(TrackedBorrow),
}

/// A borrowed connection, and what this host has changed on it.
#[derive(Debug)]
pub(crate) struct TrackedBorrow {
    connection: BorrowedConnection,
    prepared: PreparedNames,
    settings: SmolStr,
}

/// Why this host opens connections to an instance itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LocalAccess {
    /// It is one of the instance's owners.
    Owner,
    /// No owner can be reached or is able to lend: the instance's domain may have lost all of its
    /// hosts, or they have just been restarted.
    OwnersUnreachable,
}

/// Why no connection could be obtained; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CheckoutError {
    /// Another attempt or another instance may succeed.
    Retry(RetryReason),
    /// No connection became free in time, or opening one took too long.
    Busy,
}

impl LocalAccess {
    // Without a reachable owner every host may need the instance, so each takes only a small part
    // of the connections that it accepts.
    fn quota(self, shared: &Shared, service: &ServiceConfig, instance: &InstanceConfig) -> usize {
        match self {
            Self::Owner => shared.quota(service, instance),
            Self::OwnersUnreachable => {
                usize::try_from(instance.connections / OWNERLESS_QUOTA_DIVISOR)
                    .map_or(1, |n| n.max(1))
            }
        }
    }

    fn retry_reason(self) -> RetryReason {
        match self {
            Self::Owner => RetryReason::ConnectRefused,
            Self::OwnersUnreachable => RetryReason::OwnerMoved,
        }
    }
}

impl CheckedOutConnection {
    /// Takes a connection to `instance` from this host's pools if it owns the instance or can reach
    /// no owner, otherwise from an owner. Waits up to `wait` for a free connection.
    pub(crate) async fn open(
        shared: &Shared,
        route: &ServiceRoute,
        instance: &InstanceId,
        wait: Duration,
    ) -> Result<Self, CheckoutError> {
        if !route.config.instances.contains_key(instance) {
            return Err(CheckoutError::Retry(RetryReason::NotPrimary));
        }
        let started_at = shared.clock.now();
        let is_owned_here = route.is_owned_here(instance);
        let opened = if is_owned_here {
            Self::open_local(shared, route, instance, LocalAccess::Owner, wait).await
        } else {
            Self::open_borrowed(shared, route, instance, wait).await
        };
        if let Err(error) = &opened {
            let waited = shared.clock.now().saturating_sub(started_at);
            debug!(instance = instance.as_str(), is_owned_here, error:?, waited:?;
                "no connection was obtained");
        }
        opened
    }

    async fn open_borrowed(
        shared: &Shared,
        route: &ServiceRoute,
        instance: &InstanceId,
        wait: Duration,
    ) -> Result<Self, CheckoutError> {
        let target = ForwardTarget {
            request_id: format_smolstr!("{:016x}", rand::random::<u64>()),
            service: route.config.service.clone(),
            instance: instance.clone(),
            term: 0,
            wait: wait.min(MAX_FORWARD_WAIT),
        };
        let owners = route.owners.get(instance).map_or(&[][..], Vec::as_slice);
        match BorrowedConnection::open(&shared.connector, owners, &target).await {
            Ok(connection) => Ok(Self::Borrowed(TrackedBorrow {
                connection,
                prepared: PreparedNames::default(),
                settings: SmolStr::default(),
            })),
            Err(ForwardError::Refused { reason, .. }) if reason == QUEUE_FULL_REASON => {
                Err(CheckoutError::Busy)
            }
            Err(ForwardError::Refused { reason, .. }) if !is_unable_to_lend(&reason) => {
                Err(CheckoutError::Retry(RetryReason::OwnerMoved))
            }
            Err(
                ForwardError::Unreachable(_) | ForwardError::Silent | ForwardError::Refused { .. },
            ) => {
                Self::open_local(
                    shared,
                    route,
                    instance,
                    LocalAccess::OwnersUnreachable,
                    wait,
                )
                .await
            }
            Err(ForwardError::Broken(_)) => Err(CheckoutError::Retry(RetryReason::OwnerMoved)),
        }
    }

    async fn open_local(
        shared: &Shared,
        route: &ServiceRoute,
        instance: &InstanceId,
        access: LocalAccess,
        wait: Duration,
    ) -> Result<Self, CheckoutError> {
        let Some(config) = route.config.instances.get(instance) else {
            return Err(CheckoutError::Retry(RetryReason::NotPrimary));
        };
        let quota = access.quota(shared, &route.config, config);
        let service = &route.config.service;
        let acquired = shared
            .pools
            .acquire(service, instance, config, quota, wait)
            .await;
        match acquired {
            Ok(connection) => Ok(Self::Local(connection)),
            Err(PoolError::Busy) => Err(CheckoutError::Busy),
            Err(PoolError::Open(_) | PoolError::Refused) => {
                Err(CheckoutError::Retry(access.retry_reason()))
            }
        }
    }

    /// Sends complete messages.
    pub(crate) async fn send(&mut self, bytes: &[u8]) -> Result<(), SendFailure> {
        match self {
            Self::Local(pooled) => pooled.connection().send_with_progress(bytes).await,
            // The owner may have forwarded the bytes before the stream broke.
            Self::Borrowed(borrowed) => {
                let sent = borrowed.connection.send(bytes).await;
                sent.map_err(|_| SendFailure::MaybeSent)
            }
        }
    }

    /// Receives the next message.
    pub(crate) async fn receive(&mut self) -> Result<Frame, FrameError> {
        match self {
            Self::Local(pooled) => pooled.connection().receive().await,
            Self::Borrowed(borrowed) => {
                let received = borrowed.connection.receive().await;
                received.map_err(|error| {
                    debug!("lost a borrowed connection: {error}");
                    FrameError::Truncated
                })
            }
        }
    }

    /// Returns the statements that are known to be prepared on the connection.
    pub(crate) fn prepared(&mut self) -> &mut PreparedNames {
        match self {
            Self::Local(pooled) => pooled.connection().prepared(),
            Self::Borrowed(borrowed) => &mut borrowed.prepared,
        }
    }

    /// Returns whether statements that are not listed in [`Self::prepared`] may be prepared on the
    /// connection.
    pub(crate) fn may_have_unlisted_statements(&mut self) -> bool {
        match self {
            Self::Local(pooled) => pooled.connection().has_foreign_statements(),
            Self::Borrowed(_) => true,
        }
    }

    /// Returns the commands that were run to apply the connection's settings.
    pub(crate) fn settings(&mut self) -> &mut SmolStr {
        match self {
            Self::Local(pooled) => pooled.connection().settings(),
            Self::Borrowed(borrowed) => &mut borrowed.settings,
        }
    }

    /// Returns what a cancel request needs, if the connection is local.
    pub(crate) fn cancel_target(&mut self) -> Option<CancelTarget> {
        match self {
            Self::Local(pooled) => pooled.connection().cancel_target().cloned(),
            Self::Borrowed(_) => None,
        }
    }

    /// Returns the connection for reuse; closes it unless it `is_clean` and has the statements that
    /// it is known to have.
    pub(crate) fn release(mut self, is_clean: bool) {
        let is_clean = is_clean && !self.prepared().is_wrong();
        match self {
            Self::Local(pooled) if is_clean => pooled.put_back(),
            // The owner tracks neither settings nor closed statements.
            Self::Borrowed(borrowed)
                if is_clean && borrowed.settings.is_empty() && !borrowed.prepared.is_full() =>
            {
                actix_rt::spawn(borrowed.connection.finish());
            }
            Self::Local(_) | Self::Borrowed(_) => {}
        }
    }
}
