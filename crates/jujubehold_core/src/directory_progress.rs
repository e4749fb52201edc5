//! How far a host knows the changes of the directory, and when it has to ask the store for more.
//!
//! If every host waited for changes at the store, each change would cost a call of every host. So
//! one host of a failure domain waits, and tells the others with each answer up to which revision
//! it knows all changes and which was the newest one of the configuration or of an instance. The
//! others ask the store only when there is such a change; changes of the hosts and of the leads
//! reach them from that host directly. See docs/notes/large-fleet.md.
//!
//! A host that is told of no change may only rely on that while something confirms it: the other
//! host may be cut off from the store, may receive changes slowly, or may not answer. So a host whose
//! knowledge has not been confirmed for a while asks, first the other hosts and then the store. This
//! needs no place in the list of hosts and no proof of the leads.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::store_version::{Revision, StoreEra};
use crate::value_type;

/// How long a host relies on others without a confirmation: half of the time within which a
/// configuration has to take effect, which leaves the other half for asking the store.
pub const MAX_UNCONFIRMED_TIME: Duration = Duration::from_millis(2_500);

value_type! {
    /// What one host knows of the directory's changes.
    #[derive(Default)]
    pub struct DirectoryProgress {
        /// The era of the store to which the revisions belong.
        era: StoreEra,
        /// The revision up to which this host knows all changes of the directory.
        reached: Revision,
        /// The revision of the newest change of the directory that this host has applied.
        changed: Revision,
        /// The revision of the newest change that another host knows.
        announced: Revision,
        /// The latest time at which the store certainly had no change that this host lacks.
        confirmed_at: Monotonic,
        /// The earliest read since then that showed a revision that this host has not reached.
        unconfirmed_read: Option<StoreRead>,
    }

    /// A read of the store, by this host or by another one.
    #[derive(Copy)]
    pub struct StoreRead {
        /// A time no later than the read.
        pub read_at: Monotonic,
        /// The store's era at the read.
        pub era: StoreEra,
        /// The store's revision at the read.
        pub revision: Revision,
    }

    /// What a host tells the others of the directory.
    pub struct DirectoryNews {
        /// The era of the store to which the revisions belong.
        pub era: StoreEra,
        /// The revision up to which the host knows all changes of the directory.
        pub reached: Revision,
        /// The revision of the newest of these changes.
        pub changed: Revision,
    }
}

crate::key_type! {
    /// What a host has to do next to know all changes.
    pub enum DirectoryNeed {
        /// Nothing: no change is known that this host lacks.
        Nothing,
        /// Get the changes that the host that it follows knows.
        Changes,
        /// Ask, since nothing has confirmed lately that this host lacks no change.
        Confirmation,
    }
}

impl DirectoryProgress {
    /// Records that this host has applied a change of the directory.
    pub fn note_changed(&mut self, revision: Revision) {
        self.changed = self.changed.max(revision);
    }

    /// Records that the store's answer to a watch has shown all changes up to those of `read`.
    pub fn note_reached(&mut self, read: &StoreRead) {
        self.advance(read.revision);
        self.note_read(read);
        // The store does not have what it did not return.
        self.announced = self.announced.min(self.reached);
    }

    /// Records that another host handed on all changes that it knows, up to `revision`, and that the
    /// store certainly had no other one at `confirmed_at`, if that host said so.
    pub fn note_handed_on(&mut self, revision: Revision, confirmed_at: Option<Monotonic>) {
        self.advance(revision);
        self.confirmed_at = self.confirmed_at.max(confirmed_at.unwrap_or_default());
    }

    /// Records that this host read the whole directory. What was removed before that does not show
    /// in the items, so the whole directory counts as changed.
    ///
    /// The revision is lower than an earlier one if the store was restored from a copy. The host
    /// continues from there, because the store does not know the higher one.
    pub fn note_listed(&mut self, read: &StoreRead) {
        *self = Self {
            era: read.era,
            reached: read.revision,
            changed: read.revision,
            announced: 0,
            confirmed_at: read.read_at,
            unconfirmed_read: None,
        };
    }

    /// Records what another host knows.
    pub fn note_news(&mut self, news: &DirectoryNews) {
        if news.era != self.era {
            return;
        }
        if news.changed <= self.reached {
            self.advance(news.reached);
        } else {
            self.announced = self.announced.max(news.changed);
        }
    }

    /// Records that a read has shown the store's revision. It confirms the directory as soon as this
    /// host has reached that revision.
    pub fn note_read(&mut self, read: &StoreRead) {
        if read.era != self.era {
            return;
        }
        if read.revision <= self.reached {
            self.confirmed_at = self.confirmed_at.max(read.read_at);
        } else {
            self.unconfirmed_read.get_or_insert(*read);
        }
    }

    fn advance(&mut self, revision: Revision) {
        self.reached = self.reached.max(revision);
        if let Some(read) = self.unconfirmed_read.take() {
            self.note_read(&read);
        }
    }

    /// Returns what this host tells others.
    pub fn news(&self) -> DirectoryNews {
        DirectoryNews {
            era: self.era,
            reached: self.reached,
            changed: self.changed,
        }
    }

    /// Returns the era of the store of which this host knows the directory.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Returns the revision up to which this host knows all changes.
    pub fn reached(&self) -> Revision {
        self.reached
    }

    /// Returns the latest time at which the store certainly had no change that this host lacks.
    pub fn confirmed_at(&self) -> Monotonic {
        self.confirmed_at
    }

    /// Returns whether the store has changes that this host does not know.
    pub fn is_behind(&self) -> bool {
        self.announced > self.reached
    }

    /// Returns whether an item that this host does not know is certainly absent from the directory,
    /// unless it was added within the time that a configuration takes to take effect.
    ///
    /// A caller takes the answer that something does not exist for final, so it must not rest on the
    /// knowledge of a host that hears nothing.
    pub fn is_absence_certain(&self, now: Monotonic) -> bool {
        self.reached > 0 && self.need(now) != DirectoryNeed::Confirmation
    }

    /// Returns what this host has to do at `now`.
    pub fn need(&self, now: Monotonic) -> DirectoryNeed {
        if now.saturating_sub(self.confirmed_at) > MAX_UNCONFIRMED_TIME {
            DirectoryNeed::Confirmation
        } else if self.is_behind() {
            DirectoryNeed::Changes
        } else {
            DirectoryNeed::Nothing
        }
    }
}
