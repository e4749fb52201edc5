//! How much of a store's answer has arrived.

use std::cell::Cell;

use tokio::sync::Notify;

/// Tells whoever waits for an answer how much of it has arrived, so that a large answer over a thin
/// link is not taken for a lost one.
#[derive(Debug, Default)]
pub struct CallProgress {
    received_bytes: Cell<u64>,
    announced_bytes: Cell<u64>,
    announced: Notify,
}

impl CallProgress {
    /// Records that an answer of `bytes` bytes has begun to arrive.
    pub fn note_announced(&self, bytes: u64) {
        self.announced_bytes.set(bytes);
        self.announced.notify_one();
    }

    /// Records that `bytes` more bytes of the answer have arrived.
    pub fn note_received(&self, bytes: usize) {
        let received_bytes = self.received_bytes.get() + bytes as u64;
        self.received_bytes.set(received_bytes);
    }

    /// Returns how many bytes of the answer have arrived.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Waits until the answer begins to arrive, and returns its size in bytes. Does not return if
    /// the answer does not state its size.
    pub async fn announced_bytes(&self) -> u64 {
        self.announced.notified().await;
        self.announced_bytes.get()
    }
}
