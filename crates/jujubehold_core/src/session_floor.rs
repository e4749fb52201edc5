//! The floors of sessions that carry no session token.
//!
//! The owners store these floors by session key; see docs/notes/session-floor.md.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::floor::Floor;
use crate::ids::{Monotonic, Position, ServiceId, Term};
use crate::value_type;

/// Identifies a session that carries no session token.
pub type SessionKey = SmolStr;

value_type! {
    /// The settings of a [`SessionFloorTable`].
    pub struct SessionFloorSettings {
        /// How long a floor is kept after the session's last write.
        pub retention: Duration,
        /// How many floors are kept at most; the one with the oldest write is evicted first.
        pub capacity: usize,
    }

    /// What a host knows about a session's writes to a service.
    pub enum FloorKnowledge {
        /// The session's last write is known.
        Floor(Floor),
        /// The session wrote nothing within the retention time.
        NoWrites,
        /// The session may have made writes that this host does not know of.
        Unknown,
        /// Like `Unknown`, but all such writes were acknowledged before this time.
        UnknownBefore(Monotonic),
    }

    /// Floors by session and service, in bounded memory.
    ///
    /// An entry takes about 250 bytes, so the default capacity takes about 1 MB on each host.
    pub struct SessionFloorTable {
        settings: SessionFloorSettings,
        // The table may lack floors of writes before this time.
        complete_since: Monotonic,
        floors: BTreeMap<(SessionKey, ServiceId), StoredFloor>,
        by_age: BTreeMap<(Monotonic, u64), (SessionKey, ServiceId)>,
        next_sequence: u64,
    }

    struct StoredFloor {
        term: Term,
        position: Position,
        age_key: (Monotonic, u64),
    }
}

impl Default for SessionFloorSettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(1),
            capacity: 4096,
        }
    }
}

impl SessionFloorTable {
    /// Creates an empty table for a host that becomes an owner at `now`.
    pub fn new(settings: SessionFloorSettings, now: Monotonic) -> Self {
        Self {
            settings,
            complete_since: now,
            floors: BTreeMap::new(),
            by_age: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Stores the floor of a session's write, unless a higher one is stored.
    pub fn note(&mut self, now: Monotonic, session: &SessionKey, floor: &Floor) {
        let key = (session.clone(), floor.service.clone());
        let mut stored = (floor.term, floor.position);
        if let Some(old) = self.floors.remove(&key) {
            self.by_age.remove(&old.age_key);
            stored = stored.max((old.term, old.position));
        }
        let age_key = (now, self.next_sequence);
        self.next_sequence += 1;
        self.by_age.insert(age_key, key.clone());
        let (term, position) = stored;
        self.floors.insert(
            key,
            StoredFloor {
                term,
                position,
                age_key,
            },
        );
        self.evict(now);
    }

    /// Clears the table, for example when this host regains an ownership that it had lost.
    pub fn reset(&mut self, now: Monotonic) {
        self.floors.clear();
        self.by_age.clear();
        self.complete_since = now;
    }

    /// Returns what the table shows about a session's writes to a service.
    pub fn lookup(
        &self,
        now: Monotonic,
        session: &SessionKey,
        service: &ServiceId,
    ) -> FloorKnowledge {
        if let Some(stored) = self.floors.get(&(session.clone(), service.clone())) {
            return FloorKnowledge::Floor(Floor {
                service: service.clone(),
                term: stored.term,
                position: stored.position,
            });
        }
        let complete_for = now.saturating_sub(self.complete_since);
        if complete_for >= self.settings.retention {
            FloorKnowledge::NoWrites
        } else {
            FloorKnowledge::Unknown
        }
    }

    /// Returns the number of stored floors.
    pub fn len(&self) -> usize {
        self.floors.len()
    }

    /// Returns whether no floor is stored.
    pub fn is_empty(&self) -> bool {
        self.floors.is_empty()
    }

    fn evict(&mut self, now: Monotonic) {
        while let Some(entry) = self.by_age.first_entry() {
            let (written_at, _) = *entry.key();
            let is_expired = now.saturating_sub(written_at) > self.settings.retention;
            let is_over_capacity = self.floors.len() > self.settings.capacity;
            if !is_expired && !is_over_capacity {
                return;
            }
            if !is_expired {
                // Once a floor is evicted early, the lack of an entry no longer proves that a
                // session wrote nothing before that time.
                self.complete_since = self.complete_since.max(written_at);
            }
            let key = entry.remove();
            self.floors.remove(&key);
        }
    }
}
