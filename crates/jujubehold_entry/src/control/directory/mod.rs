//! Follows the directory: the configuration and the instances.
//!
//! This needs neither an entry in the list of hosts nor a proof of the leads; see
//! docs/notes/large-fleet.md.

mod age;
mod follow;
mod follow_error;
mod follow_reason;
mod listing;
mod other_hosts;
mod relay;
mod watch;

pub(crate) use age::report_directory_age;
pub(crate) use follow::follow_directory;
pub(super) use relay::answer_directory_question;
