//! How much of a store's answer has arrived.

use std::cell::Cell;

/// Tells whoever waits for an answer how much of it has arrived, so that a large answer over a thin
/// link is not taken for a lost one.
#[derive(Debug, Default)]
pub struct CallProgress {
    received_bytes: Cell<u64>,
}

impl CallProgress {
    /// Records that `bytes` more bytes of the answer have arrived.
    pub fn note_received(&self, bytes: usize) {
        let received_bytes = self.received_bytes.get() + bytes as u64;
        self.received_bytes.set(received_bytes);
    }

    /// Returns how many bytes of the answer have arrived.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }
}
