//! The main job, in one process: sessions roam, reads go to replicas, a primary is killed.

mod demo_report;
mod demo_run;
mod serve;

pub use demo_report::DemoReport;
pub use demo_run::{DemoSettings, run_demo};
pub(crate) use demo_run::{gap_after_change, surviving_ids};
pub use serve::serve_demo;
