//! Tables, line fits, plots and the hosts' counters.

mod line_fit;
mod plot;
mod read_counts;
mod table;

pub use line_fit::LineFit;
pub use plot::{Plot, Series};
pub use read_counts::{counter_sum, failover_parts, read_counts, series, start_counting};
pub use table::Table;
