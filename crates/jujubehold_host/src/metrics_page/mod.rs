//! The metrics page.

mod page;
mod process_usage;

pub use page::{install, render, serve};
