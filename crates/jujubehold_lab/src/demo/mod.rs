//! The demonstration in one process: a session changes hosts, replicas serve reads, and a primary
//! is killed.

mod demo_report;
mod demo_run;
mod serve;

pub use demo_report::DemoReport;
pub use demo_run::{DemoSettings, run_demo};
pub(crate) use demo_run::{measure_failover_gap, primary_ledger_ids};
pub use serve::serve_demo;
