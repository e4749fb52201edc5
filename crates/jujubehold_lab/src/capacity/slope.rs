//! A cost as a function of a size.

use crate::report::LineFit;

/// The measured points of a cost against a size, and the target size.
#[derive(Debug, Clone, PartialEq)]
pub struct Slope {
    /// The cost.
    pub what: String,
    /// The size, with its unit.
    pub by: &'static str,
    /// The cost's unit.
    pub unit: &'static str,
    /// The measured points of size and cost.
    pub points: Vec<(f64, f64)>,
    /// The target size.
    pub target: f64,
}

impl Slope {
    /// Returns the slope's row in the table of `run_capacity`.
    pub(crate) fn row(&self) -> Vec<String> {
        let points: Vec<_> = self
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {value:.4}"))
            .collect();
        let fit = LineFit::through(&self.points);
        let cell = |value: Option<f64>| value.map_or_else(|| "-".into(), |v| format!("{v:.6}"));
        vec![
            self.what.clone(),
            self.by.into(),
            points.join(", "),
            cell(fit.map(|fit| fit.intercept)),
            cell(fit.map(|fit| fit.slope)),
            cell(fit.map(|fit| fit.slope_error)),
            self.target.to_string(),
            cell(fit.map(|fit| fit.at(self.target))),
            self.unit.into(),
        ]
    }

    /// Returns the file name of the slope's plot.
    pub(crate) fn file_name(&self) -> String {
        let name: String = self
            .what
            .chars()
            .map(|c| if c.is_ascii_alphanumeric() { c } else { '-' })
            .collect();
        format!("capacity-{}.svg", name.to_lowercase())
    }
}
