//! Counts the connections with an open transaction or a running statement.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use super::shared::Shared;

/// Whether one connection has an open transaction or a running statement. While it does, it is
/// counted in [`Shared::open_transactions`]; dropping this value ends the count.
#[derive(Debug)]
pub(crate) struct OpenWork {
    shared: Arc<Shared>,
    is_open: bool,
}

impl OpenWork {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            is_open: false,
        }
    }

    pub(crate) fn set(&mut self, is_open: bool) {
        let count = &self.shared.open_transactions;
        match (self.is_open, is_open) {
            (false, true) => drop(count.fetch_add(1, Ordering::Relaxed)),
            (true, false) => drop(count.fetch_sub(1, Ordering::Relaxed)),
            (false, false) | (true, true) => {}
        }
        self.is_open = is_open;
    }
}

impl Drop for OpenWork {
    fn drop(&mut self) {
        self.set(false);
    }
}
