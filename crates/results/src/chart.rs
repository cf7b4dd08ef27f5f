//! SVG charts of one metric, with a point for each row, grouped by conditions.

use std::error::Error;
use std::ops::Range;
use std::path::Path;

use plotters::prelude::*;

use crate::error::TableError;
use crate::table::Table;

/// The width of the chart, in pixels.
const WIDTH: u32 = 900;
/// The height of the chart without the list of conditions below it, in pixels.
const PLOT_HEIGHT: u32 = 360;
/// The height of one line of the list of conditions, in pixels.
const LINE_HEIGHT: u32 = 22;
/// The radius of a point, in pixels.
const POINT_RADIUS: i32 = 3;
/// The space above and below the points, as a fraction of their range.
const MARGIN: f64 = 0.05;
/// The minimum space above and below the points, in units of the metric.
const MIN_MARGIN: f64 = 1e-6;

/// The point drawn for one row.
#[derive(Clone, Copy)]
struct Point {
    /// The horizontal position: the index of the row's conditions in [`ChartData::conditions`].
    position: f64,
    /// The value of the metric in this row.
    value: f64,
}

/// The conditions and points of a chart.
struct ChartData {
    /// The distinct conditions as text, indexed by horizontal position.
    conditions: Vec<String>,
    /// The points, one for each row that has a value.
    points: Vec<Point>,
}

/// Draws a metric as SVG: one column of points per set of conditions, which are listed below.
///
/// # Errors
/// Fails if there is no such metric, it has no values, or the file cannot be written.
pub fn chart(table: &Table, metric: &str, file: &Path) -> Result<(), TableError> {
    let data = ChartData::from_table(table, metric)?;
    data.draw(metric, file).map_err(TableError::Chart)
}

impl ChartData {
    /// Collects the points of the metric with the given name.
    fn from_table(table: &Table, name: &str) -> Result<ChartData, TableError> {
        let metric = table.metrics().find(|metric| metric.name == name);
        let metric = metric.ok_or_else(|| TableError::UnknownMetric(name.to_owned()))?;
        let mut conditions: Vec<String> = Vec::new();
        let mut points = Vec::new();
        for (row, value) in metric.values.iter().enumerate() {
            let Some(value) = value else { continue };
            let row_conditions = table.conditions(row);
            let known = conditions.iter().position(|known| *known == row_conditions);
            let position = known.unwrap_or_else(|| {
                conditions.push(row_conditions);
                conditions.len() - 1
            });
            points.push(Point {
                position: position as f64,
                value: *value,
            });
        }
        if points.is_empty() {
            return Err(TableError::EmptyMetric(name.to_owned()));
        }
        Ok(ChartData { conditions, points })
    }

    /// Returns the range of the vertical axis, which includes zero.
    fn value_range(&self) -> Range<f64> {
        let values = || self.points.iter().map(|point| point.value);
        let min = values().fold(0.0, f64::min);
        let max = values().fold(0.0, f64::max);
        let margin = ((max - min) * MARGIN).max(MIN_MARGIN);
        min - margin..max + margin
    }

    /// Draws the chart into an SVG file.
    fn draw(&self, title: &str, file: &Path) -> Result<(), Box<dyn Error + Send + Sync>> {
        let size = (
            WIDTH,
            PLOT_HEIGHT + LINE_HEIGHT * self.conditions.len() as u32,
        );
        let area = SVGBackend::new(file, size).into_drawing_area();
        area.fill(&WHITE)?;
        let (plot, legend) = area.split_vertically(PLOT_HEIGHT);
        let mut chart = ChartBuilder::on(&plot)
            .margin(12)
            .caption(title, ("sans-serif", 18))
            .x_label_area_size(24)
            .y_label_area_size(60)
            .build_cartesian_2d(-0.5..self.conditions.len() as f64 - 0.5, self.value_range())?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(self.conditions.len() * 2 + 1)
            .x_label_formatter(&condition_number)
            .draw()?;
        let circle = |point: &Point| {
            Circle::new(
                (point.position, point.value),
                POINT_RADIUS,
                BLUE.mix(0.6).filled(),
            )
        };
        chart.draw_series(self.points.iter().map(circle))?;
        for (position, conditions) in self.conditions.iter().enumerate() {
            let text = format!("{}  {conditions}", position + 1);
            let origin = (16, 4 + LINE_HEIGHT as i32 * position as i32);
            legend.draw(&Text::new(text, origin, ("sans-serif", 14)))?;
        }
        area.present()?;
        Ok(())
    }
}

/// Returns the label of a horizontal position: the number of its conditions, counted from 1, or
/// empty between two positions.
fn condition_number(position: &f64) -> String {
    if position.fract() == 0.0 {
        format!("{}", position + 1.0)
    } else {
        String::new()
    }
}
