//! The faults that a test may bring about.

use std::time::Duration;

/// How one host's view of the store fails.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreFaults {
    /// Calls get no answer and connections hang.
    pub is_unresponsive: bool,
    /// Watches that wait now hang for good, as on a connection that went silent; new ones work.
    pub watches_to_hang: u32,
    /// Calls get this status and nothing is done.
    pub error_status: Option<u16>,
    /// Writes are done and their answers are lost.
    pub loses_write_answers: bool,
    /// How long each answer takes.
    pub delay: Duration,
}

/// How an instance fails.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults are independent of each other"
)]
pub struct InstanceFaults {
    /// It is gone: connections break and none is taken.
    pub is_dead: bool,
    /// It takes connections and answers nothing.
    pub is_unresponsive: bool,
    /// All its slots are taken.
    pub is_busy: bool,
    /// Connections that are being opened wait.
    pub stalls_connection_setup: bool,
    /// It receives nothing from the primary.
    pub is_replication_cut: bool,
    /// Answers of commits and writes are lost, and their connection breaks.
    pub loses_answers: bool,
}
