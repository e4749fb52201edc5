//! Runs statements in a closed loop and measures their latencies.

mod benchmark;
mod connection;
mod idle_memory;
mod load_report;
mod load_run;

pub use benchmark::{BenchmarkSettings, run_benchmark};
pub use connection::{Answer, LoadConnection};
pub use idle_memory::{idle_memory_bytes, resident_bytes};
pub use load_report::LoadReport;
pub use load_run::{LoadSettings, run_load};
