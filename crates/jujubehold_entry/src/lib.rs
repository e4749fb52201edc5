//! The entry host on a platform: callers' sessions, connections to instances, and changes of
//! primary through the platform's store.
//!
//! The crate is independent of the platform: its protocols are behind the traits of [`protocol`].
//! Decisions that need no I/O are made in `jujubehold_core`. See docs/notes/platform-path.md.

mod callers;
mod clock;
mod control;
mod decision_log;
mod entry_host;
mod group;
mod hosts_digest;
mod lead_state;
mod metric_names;
mod peer_link;
mod phase;
mod pool;
mod prelude;
pub mod protocol;
mod readiness;
mod removed_members;
mod shared;

pub use entry_host::{EntryError, EntryHost};
