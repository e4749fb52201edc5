//! Why a request was tried again inside the proxy.

use crate::key_type;

key_type! {
    /// Why a request that surely did not run, or may safely run again, was tried once more.
    ///
    /// Each reason has a counter of its own; docs/OPERATIONS.md says what each means.
    pub enum RetryReason {
        /// The replica had not reached the position that the read needs.
        ReplicaBehind,
        /// The connection broke before the request was handed to it.
        BrokenBeforeSend,
        /// The connection broke during a read, which is safe to repeat.
        BrokenDuringRead,
        /// The instance was found not to be the primary before the write ran.
        NotPrimary,
        /// The host that owned the upstream no longer does.
        OwnerMoved,
        /// The upstream refused a new connection.
        ConnectRefused,
        /// A replica gave no answer in time, and nothing else was heard of it meanwhile.
        InstanceSilent,
    }
}

impl RetryReason {
    /// Every reason, in the order of the metrics page.
    pub const ALL: [Self; 7] = [
        Self::ReplicaBehind,
        Self::BrokenBeforeSend,
        Self::BrokenDuringRead,
        Self::NotPrimary,
        Self::OwnerMoved,
        Self::ConnectRefused,
        Self::InstanceSilent,
    ];

    /// The stable name used in metrics and logs.
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
