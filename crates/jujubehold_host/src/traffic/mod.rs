//! The traffic threads.

mod caller;
mod listener;
mod upstream_error;

pub use caller::serve_caller;
pub use listener::{TrafficThreads, accept_callers};
