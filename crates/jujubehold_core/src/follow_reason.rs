//! Why a host asks for changes of the directory.
//!
//! The load that this addresses: a host is cut off from the store, silently, while the configuration
//! changes, and comes back. A call that waits at the store says nothing until its answer arrives, and
//! another host may be cut off as well. So knowledge that nothing has confirmed lately goes before
//! any waiting.

use crate::directory_progress::DirectoryNeed;

crate::key_type! {
    /// Why a host that has listed the directory asks for changes.
    pub enum FollowReason {
        /// The store was restored from a copy, so that all items have to be listed again.
        Restored,
        /// Nothing has confirmed lately that this host lacks no change.
        Unconfirmed,
        /// It follows no other host, so it waits for changes at the store.
        NoSource,
        /// The host that it follows knows changes that this one lacks.
        Changes,
    }
}

impl FollowReason {
    /// Returns why a host has to ask now; `None` if it waits for news of the host that it follows.
    pub fn next(is_restored: bool, has_source: bool, need: DirectoryNeed) -> Option<Self> {
        if is_restored {
            return Some(Self::Restored);
        }
        match need {
            DirectoryNeed::Confirmation => Some(Self::Unconfirmed),
            DirectoryNeed::Nothing | DirectoryNeed::Changes if !has_source => Some(Self::NoSource),
            DirectoryNeed::Changes => Some(Self::Changes),
            DirectoryNeed::Nothing => None,
        }
    }

    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Restored => "restored",
            Self::Unconfirmed => "unconfirmed",
            Self::NoSource => "no_source",
            Self::Changes => "changes",
        }
    }
}
