//! Fits straight lines through measured points.

/// A least-squares line through points, with the error of its slope.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LineFit {
    /// The value at zero.
    pub intercept: f64,
    /// The increase of the value for each unit of size.
    pub slope: f64,
    /// The standard error of the slope.
    pub slope_error: f64,
}

impl LineFit {
    /// Fits a line through `points` of size and value. Returns `None` for fewer than three points
    /// or if all sizes are equal.
    pub fn through(points: &[(f64, f64)]) -> Option<Self> {
        if points.len() < 3 {
            return None;
        }
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread = points
            .iter()
            .map(|(x, _)| (x - mean_x).powi(2))
            .sum::<f64>();
        if spread == 0.0 {
            return None;
        }
        let product = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum::<f64>();
        let slope = product / spread;
        let intercept = mean_y - slope * mean_x;
        let residual = points
            .iter()
            .map(|(x, y)| (y - intercept - slope * x).powi(2))
            .sum::<f64>();
        let slope_error = (residual / (count - 2.0) / spread).sqrt();
        Some(Self {
            intercept,
            slope,
            slope_error,
        })
    }

    /// Returns the line's value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
