//! The reasons for which the proxy retries a request.

use crate::key_type;

key_type! {
    /// Why a request that is known not to have run, or that may safely run again, was retried.
    ///
    /// Each reason has its own counter; docs/OPERATIONS.md explains them.
    pub enum RetryReason {
        /// The replica had not reached the position that the read needs.
        ReplicaBehind,
        /// The connection broke before the request was sent on it.
        BrokenBeforeSend,
        /// The connection broke during a read, which is safe to repeat.
        BrokenDuringRead,
        /// The instance was found not to be the primary before the write ran.
        NotPrimary,
        /// The host that owned the upstream no longer does.
        OwnerMoved,
        /// The upstream refused a new connection.
        ConnectRefused,
        /// A replica did not answer in time, nor did this host receive any other answer from it
        /// meanwhile.
        InstanceSilent,
    }
}

impl RetryReason {
    /// All reasons, in the order of the metrics page.
    pub const ALL: [Self; 7] = [
        Self::ReplicaBehind,
        Self::BrokenBeforeSend,
        Self::BrokenDuringRead,
        Self::NotPrimary,
        Self::OwnerMoved,
        Self::ConnectRefused,
        Self::InstanceSilent,
    ];

    /// Returns the stable name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ReplicaBehind => "replica_behind",
            Self::BrokenBeforeSend => "broken_before_send",
            Self::BrokenDuringRead => "broken_during_read",
            Self::NotPrimary => "not_primary",
            Self::OwnerMoved => "owner_moved",
            Self::ConnectRefused => "connect_refused",
            Self::InstanceSilent => "instance_silent",
        }
    }
}
