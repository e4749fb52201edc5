//! The entry host on a platform: callers' sessions, connections to instances, and the control of
//! primaries through the platform's store.
//!
//! The crate knows no platform: what is spoken around it stands behind the traits of
//! [`protocol`]. What can be decided without I/O is decided in `jujubehold_core`. See
//! docs/notes/platform-path.md.

mod callers;
mod clock;
mod control;
mod decision_log;
mod entry_host;
mod group;
mod hosts_digest;
mod lead_state;
mod metric_names;
mod phase;
mod pool;
mod prelude;
pub mod protocol;
mod readiness;
mod shared;

pub use entry_host::{EntryError, EntryHost};
