//! The changes of the directory that one host hands on to the others of its failure domain.
//!
//! The load that this addresses: hundreds of hosts start together, or all leases of a store that was
//! away end, and the instances' entries are written one by one. Each change would cost a store call
//! of every host.

use std::collections::BTreeMap;
use std::ops::Bound;

use smol_str::SmolStr;

use crate::store_version::Revision;
use crate::value_type;

/// How many removals are kept. A host that lacks more of them asks the store.
const MAX_REMOVALS: usize = 1_000;

value_type! {
    /// The items of the directory with the revisions of their latest changes, and what was removed.
    pub struct DirectoryLog<V> {
        items: BTreeMap<SmolStr, (Revision, V)>,
        removals: BTreeMap<Revision, Vec<SmolStr>>,
        /// The revision since which all removals are kept; `None` before the first listing.
        known_since: Option<Revision>,
    }

    /// One change of the directory.
    pub struct DirectoryChange<V> {
        /// The key of the item.
        pub key: SmolStr,
        /// The revision of the change.
        pub revision: Revision,
        /// The new value; `None` if the item was removed.
        pub value: Option<V>,
    }
}

impl<V> Default for DirectoryLog<V> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            removals: BTreeMap::new(),
            known_since: None,
        }
    }
}

impl<V: Clone> DirectoryLog<V> {
    /// Forgets everything because all items are listed as of `revision`; each is then noted.
    pub fn begin(&mut self, revision: Revision) {
        *self = Self {
            known_since: Some(revision),
            ..Self::default()
        };
    }

    /// Records that an item was written.
    pub fn note_written(&mut self, key: &SmolStr, revision: Revision, value: &V) {
        let known = self.items.get(key).map_or(0, |(known, _)| *known);
        if revision > known {
            self.items.insert(key.clone(), (revision, value.clone()));
        }
    }

    /// Records that an item was removed.
    pub fn note_removed(&mut self, key: &SmolStr, revision: Revision) {
        let is_newer = self
            .items
            .get(key)
            .is_some_and(|(known, _)| *known > revision);
        if is_newer {
            return;
        }
        self.items.remove(key);
        let removed = self.removals.entry(revision).or_default();
        if !removed.contains(key) {
            removed.push(key.clone());
        }
        while self.removals.len() > MAX_REMOVALS {
            if let Some((dropped, _)) = self.removals.pop_first() {
                self.known_since = self.known_since.max(Some(dropped));
            }
        }
    }

    /// Returns the changes after `after` in their order; `None` if some of them are not known.
    pub fn changes_after(&self, after: Revision) -> Option<Vec<DirectoryChange<V>>> {
        if self.known_since.is_none_or(|since| after < since) {
            return None;
        }
        let written = self.items.iter();
        let written = written.filter(|(_, (revision, _))| *revision > after);
        let mut changes: Vec<_> = written
            .map(|(key, (revision, value))| DirectoryChange {
                key: key.clone(),
                revision: *revision,
                value: Some(value.clone()),
            })
            .collect();
        for (revision, keys) in self
            .removals
            .range((Bound::Excluded(after), Bound::Unbounded))
        {
            changes.extend(keys.iter().map(|key| DirectoryChange {
                key: key.clone(),
                revision: *revision,
                value: None,
            }));
        }
        changes.sort_by_key(|change| change.revision);
        Some(changes)
    }
}
