//! The items, change history and leases of the store.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The current state of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Item {
    /// The value, still in the encoding in which it was written.
    pub(crate) value: String,
    pub(crate) revision: u64,
    pub(crate) created_rev: u64,
    pub(crate) lease_id: u64,
}

/// A change to one key; `item` is `None` for a removal.
#[derive(Debug, Clone)]
pub(crate) struct Change {
    pub(crate) key: String,
    pub(crate) revision: u64,
    pub(crate) item: Option<Item>,
}

#[derive(Debug, Clone)]
struct Lease {
    time_to_live: Duration,
    ends_at: Instant,
}

/// A copy of the store, from which it can be restored.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The state of the store.
#[derive(Debug, Default)]
pub(crate) struct KvState {
    /// How often the store was restored from a copy.
    pub(crate) restore_count: u64,
    pub(crate) items: BTreeMap<String, Item>,
    pub(crate) revision: u64,
    pub(crate) history: Vec<Change>,
    /// Changes up to this revision have been discarded.
    pub(crate) compacted_revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease_id: u64,
    /// Whether leases do not expire, as while the store is down.
    pub(crate) is_lease_expiry_paused: bool,
}

impl KvState {
    /// Writes one key and returns the new revision.
    pub(crate) fn put(&mut self, key: &str, value: String, lease_id: u64) -> u64 {
        self.revision += 1;
        self.put_at(key, value, lease_id);
        self.revision
    }

    fn put_at(&mut self, key: &str, value: String, lease_id: u64) {
        let revision = self.revision;
        let created_rev = self
            .items
            .get(key)
            .map_or(revision, |item| item.created_rev);
        let item = Item {
            value,
            revision,
            created_rev,
            lease_id,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            key: key.to_owned(),
            revision,
            item: Some(item),
        });
    }

    /// Removes one key; does nothing if it is missing.
    pub(crate) fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.history.push(Change {
                key: key.to_owned(),
                revision,
                item: None,
            });
        }
    }

    /// Discards the change history.
    pub(crate) fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Returns a copy of the current state.
    pub(crate) fn copy(&self) -> StoreCopy {
        StoreCopy {
            items: self.items.clone(),
            revision: self.revision,
        }
    }

    /// Goes back to `copy`. Later changes are lost, and so are all leases with their keys. The
    /// revisions of the lost changes are given out again.
    pub(crate) fn restore(&mut self, copy: &StoreCopy) {
        self.restore_count += 1;
        self.items = copy.items.clone();
        self.items.retain(|_, item| item.lease_id == 0);
        self.leases.clear();
        self.revision = copy.revision;
        self.compact();
    }

    /// Returns the changes after revision `after` to keys that start with `prefix`, or `None` if
    /// they have been discarded or there is no such revision.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Change>> {
        if after < self.compacted_revision || after > self.revision {
            return None;
        }
        let changes = self.history.iter();
        let matching =
            changes.filter(|change| change.revision > after && change.key.starts_with(prefix));
        Some(matching.cloned().collect())
    }

    /// Writes all items in one revision if every expected key has its expected revision (0: the key
    /// is missing). Returns the new revision, or the keys that differ.
    pub(crate) fn commit(
        &mut self,
        expected: &[(String, u64)],
        writes: Vec<(String, String, u64)>,
    ) -> Result<u64, Vec<String>> {
        let is_mismatched = |(key, revision): &&(String, u64)| {
            self.items.get(key).map_or(0, |item| item.revision) != *revision
        };
        let mismatched: Vec<_> = expected.iter().filter(is_mismatched).collect();
        if !mismatched.is_empty() {
            return Err(mismatched.into_iter().map(|(key, _)| key.clone()).collect());
        }
        self.revision += 1;
        for (key, value, lease_id) in writes {
            self.put_at(&key, value, lease_id);
        }
        Ok(self.revision)
    }

    /// Grants a lease and returns its id.
    pub(crate) fn grant(&mut self, time_to_live: Duration) -> u64 {
        self.last_lease_id += 1;
        let ends_at = Instant::now() + time_to_live;
        let lease = Lease {
            time_to_live,
            ends_at,
        };
        self.leases.insert(self.last_lease_id, lease);
        self.last_lease_id
    }

    /// Returns whether the lease exists.
    pub(crate) fn has_lease(&self, lease: u64) -> bool {
        self.leases.contains_key(&lease)
    }

    /// Renews a lease; returns false if it does not exist.
    pub(crate) fn renew(&mut self, lease: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.ends_at = Instant::now() + lease.time_to_live;
        true
    }

    /// Revokes a lease and removes its keys.
    pub(crate) fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let owned = self.items.iter().filter(|(_, item)| item.lease_id == lease);
        let keys: Vec<String> = owned.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Revokes the expired leases, unless expiry is paused.
    pub(crate) fn expire(&mut self) {
        if self.is_lease_expiry_paused {
            return;
        }
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.ends_at <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }
}
