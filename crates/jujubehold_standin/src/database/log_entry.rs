//! One commit of the replication log.

use std::time::Instant;

use jujubehold_core::prelude::{Position, Term};

/// A commit: the texts of its statements, with their values in them.
#[derive(Debug, Clone)]
pub(crate) struct LogEntry {
    pub(crate) term: Term,
    pub(crate) position: Position,
    pub(crate) statements: Vec<String>,
    /// When this instance received it, from which the apply lag counts.
    pub(crate) received_at: Instant,
}
