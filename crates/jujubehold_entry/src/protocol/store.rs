//! The interface to the platform's key-value store.

use std::time::Duration;

use bytes::Bytes;
use jujubehold_core::store_version::{Revision, StoreEra};
use smol_str::SmolStr;

use super::CallProgress;

/// The id of a lease.
pub type LeaseId = u64;

/// A key-value service with compare-and-swap, leases and watches.
pub trait Store: std::fmt::Debug + 'static {
    /// Returns the latest era that an answer of the store has stated; 0 if none has.
    fn era(&self) -> StoreEra;

    /// Reads the current value of one item. Also returns the store's revision.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<(Option<StoreItem>, Revision), StoreError>>;

    /// Reads every item whose key starts with `prefix`, and counts in `progress` what arrives.
    fn list(
        &self,
        prefix: &str,
        progress: &CallProgress,
    ) -> impl Future<Output = Result<StoreListing, StoreError>>;

    /// Waits up to `wait` for changes after `after` to keys that start with `prefix`, and counts in
    /// `progress` what arrives. Also returns the revision from which the next watch continues.
    ///
    /// # Errors
    /// Returns [`StoreError::Compacted`] if the store no longer has the changes after `after`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
        progress: &CallProgress,
    ) -> impl Future<Output = Result<(Vec<ItemChange>, Revision), StoreError>>;

    /// Applies a change atomically.
    ///
    /// # Errors
    /// Returns [`StoreError::LeaseEnded`] if the lease of a write has ended.
    fn commit(
        &self,
        change: &StoreChange,
    ) -> impl Future<Output = Result<CommitOutcome, StoreError>>;

    /// Grants a lease.
    fn grant_lease(
        &self,
        time_to_live: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease.
    ///
    /// # Errors
    /// Returns [`StoreError::LeaseEnded`] if the lease has ended.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Revokes a lease and removes its keys.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}

/// One item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// The key.
    pub key: SmolStr,
    /// The value.
    pub value: Bytes,
    /// The revision of the last change to the item.
    pub revision: Revision,
}

/// All items whose keys start with a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreListing {
    /// The items, sorted by key.
    pub items: Vec<StoreItem>,
    /// The store's revision before the first page was read.
    pub revision: Revision,
    /// The era of that revision.
    pub era: StoreEra,
}

/// One change to an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemChange {
    /// The item was written.
    Written(StoreItem),
    /// The item was removed.
    Removed {
        /// The key.
        key: SmolStr,
        /// The revision of the removal.
        revision: Revision,
    },
}

/// A change that is applied only if all keys are at their expected revisions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreChange {
    /// Keys with their expected revisions; 0 means that the key must not exist.
    pub expected: Vec<(SmolStr, Revision)>,
    /// Keys with their new values and, optionally, the lease that removes them when it ends.
    pub writes: Vec<(SmolStr, Bytes, Option<LeaseId>)>,
    /// Keys that are removed.
    pub removals: Vec<SmolStr>,
}

/// The result of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The change was applied at this revision.
    Committed(Revision),
    /// A key was not at its expected revision.
    Conflict,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The store refused the call; nothing was done.
    #[error("the store refused the call with status {status}")]
    Refused {
        /// The HTTP status of the answer.
        status: u16,
    },
    /// The store has compacted the changes after the given revision.
    #[error("the store has compacted the requested changes")]
    Compacted,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The answer is from before the store was restored from a copy.
    #[error("the store was restored from a copy meanwhile")]
    Restored,
    /// The call timed out; a change may have been made or may still be made.
    #[error("the store did not answer in time")]
    TimedOut,
    /// The connection broke; a change may have been made or may still be made.
    #[error("the connection to the store broke: {0}")]
    Broken(String),
    /// The answer is invalid.
    #[error("the store's answer is invalid")]
    Unreadable,
}
