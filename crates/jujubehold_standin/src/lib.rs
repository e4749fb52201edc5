//! Stand-ins for the systems that the proxy depends on: the instances of a database group, the
//! platform's key-value service, and the users' platform with its own store and instances.
//!
//! All are libraries, so that a test can run many of them in its own process. [`run_database`] and
//! [`run_platform`] also run them as programs. They are for tests and measurements only; see
//! docs/notes/platform-stand-in.md and docs/notes/group-interface.md.

mod control_port;
pub mod database;
pub mod platform;
mod runtime_thread;
pub mod users_platform;

pub use database::run_database;
pub use platform::run_platform;
pub use runtime_thread::RuntimeThread;
