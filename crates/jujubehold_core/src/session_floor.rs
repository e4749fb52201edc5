//! The floors of sessions that carry no token.
//!
//! The owners keep them by session key; see docs/notes/session-floor.md.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;

use crate::floor::Floor;
use crate::ids::{Monotonic, Position, ServiceId, Term};
use crate::value_type;

/// The key of a session that carries no token.
pub type SessionKey = SmolStr;

value_type! {
    /// The bounds of a [`SessionFloorTable`].
    pub struct SessionFloorSettings {
        /// How long a floor is kept after its session's last write.
        pub horizon: Duration,
        /// The most floors kept; the one whose write is oldest goes first.
        pub capacity: usize,
    }

    /// What is known of a session's writes.
    pub enum FloorKnowledge {
        /// Its last write.
        Floor(Floor),
        /// It wrote nothing within the horizon.
        NoWrites,
        /// It may have written what this host does not know of.
        Unknown,
        /// The same, but all that it may have written was acknowledged before this time.
        UnknownBefore(Monotonic),
    }

    /// Floors by session and service, in bounded memory.
    ///
    /// An entry takes about 250 bytes; the default capacity about 1 MB a host.
    pub struct SessionFloorTable {
        settings: SessionFloorSettings,
        // Nothing that was written before this time is surely known.
        complete_since: Monotonic,
        floors: BTreeMap<(SessionKey, ServiceId), KeptFloor>,
        by_age: BTreeMap<(Monotonic, u64), (SessionKey, ServiceId)>,
        next_sequence: u64,
    }

    struct KeptFloor {
        term: Term,
        position: Position,
        age_key: (Monotonic, u64),
    }
}

impl Default for SessionFloorSettings {
    fn default() -> Self {
        Self {
            horizon: Duration::from_mins(1),
            capacity: 4096,
        }
    }
}

impl SessionFloorTable {
    /// An empty table of a host that starts to be an owner at `now`.
    pub fn new(settings: SessionFloorSettings, now: Monotonic) -> Self {
        Self {
            settings,
            complete_since: now,
            floors: BTreeMap::new(),
            by_age: BTreeMap::new(),
            next_sequence: 0,
        }
    }

    /// Keeps the floor of a session's write.
    pub fn note(&mut self, now: Monotonic, session: &SessionKey, floor: &Floor) {
        let key = (session.clone(), floor.service.clone());
        let mut kept = (floor.term, floor.position);
        if let Some(old) = self.floors.remove(&key) {
            self.by_age.remove(&old.age_key);
            kept = kept.max((old.term, old.position));
        }
        let age_key = (now, self.next_sequence);
        self.next_sequence += 1;
        self.by_age.insert(age_key, key.clone());
        let (term, position) = kept;
        self.floors.insert(
            key,
            KeptFloor {
                term,
                position,
                age_key,
            },
        );
        self.evict(now);
    }

    /// Forgets what was known, as when ownership came back after it was elsewhere.
    pub fn reset(&mut self, now: Monotonic) {
        self.floors.clear();
        self.by_age.clear();
        self.complete_since = now;
    }

    /// What is known of a session's writes to a service.
    pub fn lookup(
        &self,
        now: Monotonic,
        session: &SessionKey,
        service: &ServiceId,
    ) -> FloorKnowledge {
        if let Some(kept) = self.floors.get(&(session.clone(), service.clone())) {
            return FloorKnowledge::Floor(Floor {
                service: service.clone(),
                term: kept.term,
                position: kept.position,
            });
        }
        let known_for = now.saturating_sub(self.complete_since);
        if known_for >= self.settings.horizon {
            FloorKnowledge::NoWrites
        } else {
            FloorKnowledge::Unknown
        }
    }

    /// How many floors are kept.
    pub fn len(&self) -> usize {
        self.floors.len()
    }

    /// Whether no floor is kept.
    pub fn is_empty(&self) -> bool {
        self.floors.is_empty()
    }

    fn evict(&mut self, now: Monotonic) {
        while let Some(entry) = self.by_age.first_entry() {
            let (written_at, _) = *entry.key();
            let is_past_horizon = now.saturating_sub(written_at) > self.settings.horizon;
            let is_over_capacity = self.floors.len() > self.settings.capacity;
            if !is_past_horizon && !is_over_capacity {
                return;
            }
            if !is_past_horizon {
                // A floor that is dropped early makes every absent one doubtful.
                self.complete_since = self.complete_since.max(written_at);
            }
            let key = entry.remove();
            self.floors.remove(&key);
        }
    }
}
