//! Load, demonstration, experiments and the reports that they write.
//!
//! Everything here runs the product as its users do: real hosts, real stand-ins, real connections
//! over loopback. Nothing here takes part in a decision of the product. The figures in
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
