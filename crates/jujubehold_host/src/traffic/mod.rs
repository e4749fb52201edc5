//! Serves callers on the traffic threads.
//!
//! A statement passes through these modules: `session` reads it, `message_batch` represents it,
//! `read_path`, `write_path` or `transaction` chooses a `checked_out_connection` and sends it,
//! `answer` relays the answer according to its `answer_plan`, and `acknowledge` delays a commit's
//! answer until the commit may be acknowledged. Writes under a request name also pass through
//! `named_write` and `named_execution`. See docs/notes/callers-side.md.

mod acknowledge;
mod admission_queues;
mod answer;
mod answer_plan;
mod batch_error;
mod caller_error;
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
mod session_statements;
mod silence_tracker;
mod startup_options;
mod status_answer;
mod status_queries;
mod transaction;
mod write_checks;
mod write_path;

pub use admission_queues::AdmissionQueues;
pub use cancel::{CancelKeys, RunningStatement, SessionKeyData};
pub use listener::{TrafficThreads, accept_callers};
pub use retry_budgets::RetryBudgets;
pub use session_start::serve_caller;
pub use silence_tracker::SilenceTracker;
pub use status_queries::StatusQueries;
