//! Measures slopes of cost against size, from which docs/CAPACITY.md extrapolates to the target
//! size.

mod capacity_part;
mod configuration_slopes;
mod host_slopes;
mod membership_slopes;
mod slope;
mod usage;

use std::path::Path;

use crate::capacity::host_slopes::HostPart;
use crate::error::LabError;
use crate::report::{Plot, Series, Table};

pub use capacity_part::CapacityPart;
pub use slope::Slope;

/// Measures the slopes of `parts`, writes a plot for each into `out`, and returns the table.
///
/// # Errors
/// Returns an error if a part cannot be started or a report cannot be written.
pub async fn run_capacity(parts: &[CapacityPart], out: &Path) -> Result<Table, LabError> {
    let mut slopes = Vec::new();
    for part in parts {
        slopes.extend(measure(*part).await?);
    }
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

async fn measure(part: CapacityPart) -> Result<Vec<Slope>, LabError> {
    match part {
        CapacityPart::Configuration => configuration_slopes::measure(),
        CapacityPart::Ownership => Ok(membership_slopes::measure()),
        CapacityPart::Hosts => host_slopes::measure(HostPart::Hosts).await,
        CapacityPart::Domains => host_slopes::measure(HostPart::Domains).await,
        CapacityPart::Services => host_slopes::measure(HostPart::Services).await,
        CapacityPart::Callers => host_slopes::measure(HostPart::Callers).await,
        CapacityPart::Changes => host_slopes::measure(HostPart::Changes).await,
    }
}
