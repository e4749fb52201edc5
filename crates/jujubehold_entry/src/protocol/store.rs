//! The platform's store.

use std::time::Duration;

use bytes::Bytes;
use jujubehold_core::lead_table::Revision;
use smol_str::SmolStr;

/// The name of a lease.
pub type LeaseId = u64;

/// A key-value service with compare-and-swap, leases and watches.
pub trait Store: std::fmt::Debug + 'static {
    /// Reads one item as it is now.
    fn read(
        &self,
        key: &str,
    ) -> impl Future<Output = Result<(Option<StoreItem>, Revision), StoreError>>;

    /// Reads every item whose key starts with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<StoreListing, StoreError>>;

    /// Waits up to `wait` for changes after `after` to keys that start with `prefix`.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<(Vec<ItemChange>, Revision), StoreError>>;

    /// Makes a change, all of it or nothing.
    fn commit(&self, change: &StoreChange) -> impl Future<Output = Result<Committed, StoreError>>;

    /// Takes out a lease.
    fn grant_lease(
        &self,
        time_to_live: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;

    /// Ends a lease; its keys go with it.
    fn end_lease(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>>;
}

/// One item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreItem {
    /// Its key.
    pub key: SmolStr,
    /// Its value.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: Revision,
}

/// Every item under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreListing {
    /// The items by key.
    pub items: Vec<StoreItem>,
    /// The store's revision before the first page was read.
    pub revision: Revision,
}

/// One change to an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemChange {
    /// It was written.
    Written(StoreItem),
    /// It was removed.
    Removed {
        /// Its key.
        key: SmolStr,
        /// The revision of the removal.
        revision: Revision,
    },
}

/// A change that is made only if all keys stand at the expected revisions.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreChange {
    /// Keys with the revision that they must have; 0 for a key that must not be there.
    pub expected: Vec<(SmolStr, Revision)>,
    /// Keys with their new value, and the lease that they end with.
    pub writes: Vec<(SmolStr, Bytes, Option<LeaseId>)>,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Committed {
    /// It was made.
    Made(Revision),
    /// A key did not stand at the expected revision.
    Conflict,
}

/// Why the store gave no answer that helps.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused the call with status {status}")]
    Refused {
        /// The status of the answer.
        status: u16,
    },
    /// The changes after the given revision are forgotten.
    #[error("the store has forgotten these changes")]
    Compacted,
    /// The lease has ended.
    #[error("the lease has ended")]
    LeaseEnded,
    /// There was no answer in time; a change may have been made or may still be.
    #[error("the store did not answer in time")]
    TimedOut,
    /// The connection broke; a change may have been made or may still be.
    #[error("the connection to the store broke: {0}")]
    Broken(String),
    /// The answer can't be read.
    #[error("the store's answer can't be read")]
    Unreadable,
}
