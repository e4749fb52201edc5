//! Why a call to follow the store brought no changes.

use crate::protocol::StoreError;

/// Why a call to follow the store brought no changes.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum FollowError {
    /// The call failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The answer is much longer than all items are.
    #[error("the changes take {history_bytes} bytes, all items took {listed_bytes}")]
    LongHistory {
        history_bytes: u64,
        listed_bytes: u64,
    },
    /// The store was restored from a copy and gives out the known revisions again.
    #[error("the store was restored from a copy")]
    Restored,
}

impl FollowError {
    /// Returns whether another watch from the same revision would not bring the changes either.
    pub(super) fn needs_listing(&self) -> bool {
        match self {
            Self::LongHistory { .. } | Self::Restored | Self::Store(StoreError::Compacted) => true,
            Self::Store(
                StoreError::Refused { .. }
                | StoreError::LeaseEnded
                | StoreError::Restored
                | StoreError::TimedOut
                | StoreError::Broken(_)
                | StoreError::Unreadable,
            ) => false,
        }
    }
}
