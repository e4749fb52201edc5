//! One instance of a database group: PostgreSQL's protocol over an embedded SQL library, with
//! terms, fences, log positions and replication with a settable lag.
//!
//! Replication is by statement: a commit's texts, with their values in them, are its log entry, so
//! that functions whose value differs from run to run must not be written. See
//! docs/notes/group-interface.md.

mod applier;
mod control;
mod executor;
mod extended;
mod group_calls;
mod handle;
mod inference;
mod instance;
mod log_entry;
mod open_work;
mod outcome;
mod pg_client;
mod puller;
mod server;
mod session;
mod settings;
mod shared;
mod sql_error;
mod sql_text;
mod sql_type;
mod statement_kind;
mod transaction;

pub use handle::{Database, run_database};
pub use settings::DatabaseSettings;
