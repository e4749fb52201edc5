//! Faults that a test can inject into the store and the instances.

use std::time::Duration;

/// Faults of the store as one host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoreFaults {
    /// The store answers no calls; connections stay open and hang.
    pub is_unresponsive: bool,
    /// How many of the currently waiting watches hang forever, as on a connection that went silent.
    /// Later watches work.
    pub watches_to_hang: u32,
    /// The HTTP status that every call fails with, without any effect.
    pub error_status: Option<u16>,
    /// Watches, and listings of what operators and instances write, get no answer; other calls do.
    pub hides_directory: bool,
    /// Writes take effect but their answers are lost.
    pub loses_write_answers: bool,
    /// The delay before each call is processed.
    pub delay: Duration,
}

/// Faults of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "faults are independent of each other"
)]
pub struct InstanceFaults {
    /// The instance is down: its connections break and new ones are closed.
    pub is_dead: bool,
    /// The instance accepts connections but answers nothing.
    pub is_unresponsive: bool,
    /// All slots are in use, so the instance rejects statements as busy.
    pub is_busy: bool,
    /// Connections stall during their setup.
    pub stalls_connection_setup: bool,
    /// The instance receives no log entries from the primary.
    pub is_replication_cut: bool,
    /// The answers to commits and writes are lost, and their connections break.
    pub loses_answers: bool,
    /// The instance rejects every PREPARE, without any effect.
    pub refuses_prepare: bool,
    /// A PREPARE that is rejected takes effect all the same.
    pub keeps_refused_prepare: bool,
    /// The instance rejects every SET, without any effect.
    pub refuses_set: bool,
    /// Connections lose their prepared statements with the next message that they receive.
    pub loses_prepared_statements: bool,
    /// The replies to callers' statements lack the line that states how they ended.
    pub omits_outcome: bool,
    /// How long each statement of a caller runs that reads, writes or commits.
    pub work_time: Duration,
    /// The length of what follows the proof of each of callers' statements.
    pub proof_padding_bytes: usize,
}
