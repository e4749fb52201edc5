//! The faults that the platform can be told to have.

use std::time::Duration;

jujubehold_core::key_type! {
    /// How an outage shows to callers.
    pub enum Outage {
        /// There is none.
        None,
        /// Each call is refused at once.
        Refuse,
        /// No call is answered before the outage ends.
        Hang,
    }

    /// The calls that are counted, a waiting watch as one.
    pub enum CallKind {
        /// A read.
        Range,
        /// A write of one key.
        Put,
        /// A deletion.
        Delete,
        /// A transaction.
        Txn,
        /// A watch that was opened.
        Watch,
        /// A lease that was asked for.
        LeaseGrant,
        /// A lease that was given back.
        LeaseRevoke,
        /// A renewal of a lease.
        LeaseKeepAlive,
    }
}

impl CallKind {
    /// The name that the control port shows.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Txn => "txn",
            Self::Watch => "watch",
            Self::LeaseGrant => "lease_grant",
            Self::LeaseRevoke => "lease_revoke",
            Self::LeaseKeepAlive => "lease_keep_alive",
        }
    }
}

/// The faults in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Faults {
    pub(crate) outage: Outage,
    pub(crate) call_time: Duration,
    /// How many changes from now on lose their answer after they took effect.
    pub(crate) answers_to_lose: u32,
}
