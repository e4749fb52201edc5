//! The load generator, the demonstration, the experiments and their reports.
//!
//! This crate runs the product as its users do, with real hosts and stand-ins and real connections
//! over loopback. It takes no part in the product's decisions. The figures in
//! docs/BENCHMARKS.md, docs/EXPERIMENTS.md and docs/CAPACITY.md come from these commands.

pub mod capacity;
pub mod cluster;
pub mod demo;
mod error;
pub mod experiment;
pub mod load;
pub mod report;
pub mod workload;

pub use error::LabError;
