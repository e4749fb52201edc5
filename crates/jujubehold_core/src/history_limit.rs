//! When a host that lacks many changes reads the current state instead of all changes.
//!
//! The store returns every version of an item since the revision that the host knows. After an
//! outage, or while the configuration changes faster than a thin link can carry it, these versions
//! are many times the current state, and only the newest of each matters.

use crate::value_type;

value_type! {
    /// The limit of an answer with changes.
    pub struct HistoryLimit {
        /// The size in bytes below which an answer is always received.
        pub min_bytes: u64,
        /// How many times the size of the state an answer may have.
        pub max_states: u64,
    }
}

impl Default for HistoryLimit {
    fn default() -> Self {
        Self {
            min_bytes: 64 * 1024,
            // One version may be a little longer than the state that the host knows.
            max_states: 2,
        }
    }
}

impl HistoryLimit {
    /// Returns whether reading the state takes fewer bytes than an answer of `history_bytes`, if
    /// the state had `state_bytes` when it was last read.
    pub fn is_exceeded(&self, history_bytes: u64, state_bytes: u64) -> bool {
        let state_bytes = state_bytes.saturating_mul(self.max_states);
        history_bytes > state_bytes.max(self.min_bytes)
    }
}
