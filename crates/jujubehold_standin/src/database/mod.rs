//! One instance of a database group: PostgreSQL's protocol on top of `SQLite`, with terms, fences,
//! log positions and replication with a configurable lag.
//!
//! Replication is by statement: the log entry of a commit consists of its statements with their
//! values inlined, so writes must not use functions whose value differs from run to run. See
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
mod statement_run;
mod transaction;

pub use handle::{Database, run_database};
pub use settings::DatabaseSettings;
pub use statement_run::StatementRun;
