//! The entries of the replication log.

use std::time::Instant;

use jujubehold_core::prelude::{Position, Term};

/// A commit: its statements, with their values inlined.
#[derive(Debug, Clone)]
pub(crate) struct LogEntry {
    pub(crate) term: Term,
    pub(crate) position: Position,
    pub(crate) statements: Vec<String>,
    /// When this instance received the entry; the apply lag is measured from then.
    pub(crate) received_at: Instant,
}
