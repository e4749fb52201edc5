//! The traffic threads.
//!
//! A statement's way: `session` reads it, `unit` holds it, `read_path`, `write_path` or
//! `transaction` choose a `lane` and send it, `answer` takes the answer by its `answer_plan`, and
//! `acknowledge` stands between a commit and its caller. See docs/notes/callers-side.md.

mod acknowledge;
mod admission_desk;
mod answer;
mod answer_plan;
mod caller_io;
mod cancel;
mod confirm_desk;
mod lane;
mod listener;
mod named_request;
mod named_run;
mod named_unit;
mod named_write;
mod outcome_record;
mod prepared;
mod read_path;
mod read_try;
mod replacement;
mod retry_budgets;
mod session;
mod session_command;
mod session_floor;
mod session_metrics;
mod session_pipeline;
mod session_settings;
mod session_start;
mod silence_desk;
mod status_answer;
mod transaction;
mod unit;
mod unit_error;
mod upstream_error;
mod write_checks;
mod write_path;

pub use admission_desk::AdmissionDesk;
pub use cancel::{CancelKeys, RunningStatement, SessionKeyData};
pub use confirm_desk::ConfirmDesk;
pub use listener::{TrafficThreads, accept_callers};
pub use retry_budgets::RetryBudgets;
pub use session_start::serve_caller;
pub use silence_desk::SilenceDesk;
