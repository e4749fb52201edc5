//! The bytes of prepared statements and values that a host keeps for its sessions.

use std::cell::RefCell;

use jujubehold_core::byte_budget::ByteBudget;

use super::failure::Failure;
use super::operation::refuse;
use crate::prelude::*;
use crate::protocol::{ErrorCode, LastField, Word};

/// What one session may keep: the longest statement and the longest value, and more than callers need.
const MAX_SESSION_BYTES: usize = 2 * 1024 * 1024;
/// What all sessions of a host may keep, a fifth of a small host's memory.
const MAX_HOST_BYTES: usize = 24 * 1024 * 1024;
/// What an entry needs beside its name and its content.
const ENTRY_OVERHEAD_BYTES: usize = 256;
/// How long a caller is asked to wait until sessions may have ended.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The bytes that all sessions of a host keep.
pub(crate) type HostBytes = Rc<RefCell<ByteBudget>>;

/// Creates the count of a host that keeps nothing yet.
pub(crate) fn host_bytes() -> HostBytes {
    Rc::new(RefCell::new(ByteBudget::new(MAX_HOST_BYTES)))
}

/// Returns how many bytes an entry needs.
pub(super) fn entry_bytes(name: &Word, content: &LastField) -> usize {
    name.as_str().len() + content.bytes().len() + ENTRY_OVERHEAD_BYTES
}

/// The bytes that one session keeps. They are free again when it is dropped.
#[derive(Debug)]
pub(super) struct KeptBytes {
    session: ByteBudget,
    host: HostBytes,
}

impl KeptBytes {
    /// Creates the count of a session that keeps nothing yet.
    pub(super) fn new(host: &HostBytes) -> Self {
        Self {
            session: ByteBudget::new(MAX_SESSION_BYTES),
            host: Rc::clone(host),
        }
    }

    /// Counts an entry of `later` bytes in place of one of `earlier` bytes.
    ///
    /// # Errors
    /// Returns the failure that the caller is told if there is no room; nothing is counted then.
    pub(super) fn replace(&mut self, earlier: usize, later: usize) -> Result<(), Failure> {
        if !self.session.replace(earlier, later) {
            let detail = "the session keeps too many bytes";
            return Err(Failure::error(ErrorCode::TooLarge, detail));
        }
        if !self.host.borrow_mut().replace(earlier, later) {
            self.session.replace(later, earlier);
            return Err(refuse(RefusalReason::SessionMemoryFull, RETRY_DELAY).into());
        }
        Ok(())
    }

    /// Stops counting an entry.
    pub(super) fn release(&mut self, bytes: usize) {
        self.session.release(bytes);
        self.host.borrow_mut().release(bytes);
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.host.borrow_mut().release(self.session.used_bytes());
    }
}
