//! The traffic threads.
//!
//! A statement's way: `session` reads it, `unit` holds it, `read_path`, `write_path` or
//! `transaction` choose a `lane` and send it, `answer` takes the answer by its `answer_plan`, and
//! `acknowledge` stands between a commit and its caller. See docs/notes/callers-side.md.

mod acknowledge;
mod admission_queues;
mod answer;
mod answer_plan;
mod batch_error;
mod caller_io;
mod cancel;
mod checked_out_connection;
mod listener;
mod message_batch;
mod named_batch;
mod named_execution;
mod named_request;
mod named_write;
mod outcome_record;
mod prepared_statement;
mod read_attempt;
mod read_path;
mod replacement;
mod retry_budgets;
mod session;
mod session_command;
mod session_floor;
mod session_metrics;
mod session_pipeline;
mod session_settings;
mod session_start;
mod silence_tracker;
mod status_answer;
mod status_queries;
mod transaction;
mod upstream_error;
mod write_checks;
mod write_path;

pub use admission_queues::AdmissionQueues;
pub use cancel::{CancelKeys, RunningStatement, SessionKeyData};
pub use listener::{TrafficThreads, accept_callers};
pub use retry_budgets::RetryBudgets;
pub use session_start::serve_caller;
pub use silence_tracker::SilenceTracker;
pub use status_queries::StatusQueries;
