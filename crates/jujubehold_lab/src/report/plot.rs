//! Plots as SVG files.

use std::path::Path;

use plotters::prelude::*;

use crate::error::LabError;

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (800, 480);

/// A plot of several series over one axis.
#[derive(Debug, Clone, PartialEq)]
pub struct Plot {
    /// The title above it.
    pub title: String,
    /// The label of the horizontal axis, with its unit.
    pub x_label: String,
    /// The label of the vertical axis, with its unit.
    pub y_label: String,
    /// The series.
    pub series: Vec<Series>,
}

/// Named points, in the order in which the plot joins them.
#[derive(Debug, Clone, PartialEq)]
pub struct Series {
    /// The name in the legend.
    pub name: String,
    /// The points.
    pub points: Vec<(f64, f64)>,
}

impl Plot {
    /// Writes the plot to `path`.
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), LabError> {
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        self.draw(&area)
            .map_err(|error| std::io::Error::other(error).into())
    }

    fn draw(
        &self,
        area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    ) -> Result<(), String> {
        let text = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|error| text(&error))?;
        let (x_end, y_end) = self.ends();
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(44)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..x_end, 0.0..y_end)
            .map_err(|error| text(&error))?;
        chart
            .configure_mesh()
            .x_desc(&self.x_label)
            .y_desc(&self.y_label)
            .draw()
            .map_err(|error| text(&error))?;
        for (index, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            chart
                .draw_series(LineSeries::new(series.points.iter().copied(), &color).point_size(3))
                .map_err(|error| text(&error))?
                .label(&series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|error| text(&error))?;
        area.present().map_err(|error| text(&error))
    }

    fn ends(&self) -> (f64, f64) {
        let points = || self.series.iter().flat_map(|series| &series.points);
        let x_end = points().map(|(x, _)| *x).fold(0.0, f64::max);
        let y_end = points().map(|(_, y)| *y).fold(0.0, f64::max);
        (
            if x_end > 0.0 { x_end * 1.05 } else { 1.0 },
            if y_end > 0.0 { y_end * 1.1 } else { 1.0 },
        )
    }
}
