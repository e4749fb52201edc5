//! Slopes of cost against size, from which docs/CAPACITY.md works out the target size.

mod configuration_slopes;
mod host_slopes;
mod membership_slopes;
mod slope;
mod usage;

use std::path::Path;

use crate::error::LabError;
use crate::report::{Plot, Series, Table};

pub use slope::Slope;

/// Measures every slope, writes a plot for each into `out`, and returns the table.
///
/// # Errors
/// A part could not be started or a report not written.
pub async fn run_capacity(out: &Path) -> Result<Table, LabError> {
    let mut slopes = configuration_slopes::measure()?;
    slopes.extend(membership_slopes::measure());
    slopes.extend(host_slopes::measure().await?);
    let mut table = Table::new(&[
        "what",
        "by",
        "points (size: value)",
        "at 0",
        "slope",
        "error of the slope",
        "target size",
        "at the target",
        "unit",
    ]);
    for slope in &slopes {
        table.row(slope.row());
        let plot = Plot {
            title: slope.what.clone(),
            x_label: slope.by.to_owned(),
            y_label: slope.unit.to_owned(),
            series: vec![Series {
                name: slope.what.clone(),
                points: slope.points.clone(),
            }],
        };
        plot.write(&out.join(slope.file_name()))?;
    }
    Ok(table)
}
