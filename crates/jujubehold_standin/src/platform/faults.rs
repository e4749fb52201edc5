//! Faults that can be injected into the platform.

use std::time::Duration;

jujubehold_core::key_type! {
    /// How an outage affects callers.
    pub enum Outage {
        /// There is no outage.
        None,
        /// Every call fails immediately.
        Refuse,
        /// Calls wait until the outage ends.
        Hang,
    }

    /// The kinds of calls that are counted; a watch counts once, when it is opened.
    pub enum CallKind {
        /// A read of a key range.
        Range,
        /// A write of one key.
        Put,
        /// A deletion of a key range.
        Delete,
        /// A transaction.
        Txn,
        /// The opening of a watch.
        Watch,
        /// A grant of a lease.
        LeaseGrant,
        /// A revocation of a lease.
        LeaseRevoke,
        /// A renewal of a lease.
        LeaseKeepAlive,
    }
}

impl CallKind {
    /// Returns the name that the control port prints.
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

/// The active faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Faults {
    pub(crate) outage: Outage,
    pub(crate) call_time: Duration,
    /// How many of the next changes lose their answers after they took effect.
    pub(crate) answers_to_lose: u32,
}
