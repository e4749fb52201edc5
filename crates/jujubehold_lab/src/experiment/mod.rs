//! Repeatable experiments, each of which returns a table; most also write a plot.

mod failover_gap;
mod false_changes;
mod gap_kind;
mod named_writes;
mod overload;
mod replica_reads;
mod session_kind;
mod write_latency;

pub use failover_gap::{FailoverGapSettings, run_failover_gap};
pub use false_changes::{FalseChangesSettings, run_false_changes};
pub use gap_kind::GapKind;
pub use named_writes::{NamedWritesSettings, run_named_writes};
pub use overload::{OverloadSettings, run_overload};
pub use replica_reads::{ReplicaReadsSettings, run_replica_reads};
pub use session_kind::SessionKind;
pub use write_latency::{WriteLatencySettings, run_write_latency};
