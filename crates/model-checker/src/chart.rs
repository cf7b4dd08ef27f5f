//! Charts of search reports.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use serde::Deserialize;

/// Width of the picture in pixels.
const WIDTH: u32 = 900;
/// Height of a bar with its spacing, in pixels.
const ROW_HEIGHT: u32 = 40;
/// Height of everything but the bars, in pixels.
const MARGIN_HEIGHT: u32 = 110;
/// Number of states at which the logarithmic axis starts.
const MIN_STATES: f64 = 100.0;
/// Position of the labels on the axis of states.
const LABEL_START: f64 = 110.0;
/// Shortest duration that a rate is computed from, in seconds.
const MIN_SECONDS: f64 = 1e-3;

/// The part of a search report that a chart shows.
#[derive(Clone, Debug, Deserialize)]
pub struct Bar {
    /// Name of the configuration.
    pub config: String,
    /// Number of distinct states.
    pub states: u64,
    /// Duration of the search in seconds.
    pub seconds: f64,
}

/// Why a chart cannot be drawn.
#[derive(Debug, thiserror::Error)]
pub enum ChartError {
    /// The file with the reports cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file does not hold search reports.
    #[error("{}: must be what 'explore --json' writes: {source}", path.display())]
    Reports {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: simd_json::Error,
    },
    /// The file holds an empty list of reports.
    #[error("{}: holds no report", path.display())]
    Empty {
        /// Path of the file.
        path: PathBuf,
    },
    /// The picture cannot be drawn or written.
    #[error("{}: cannot be drawn: {source}", path.display())]
    Draw {
        /// Path of the picture.
        path: PathBuf,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Reads the reports that `explore --json` wrote.
///
/// # Errors
/// If the file cannot be read, does not hold reports, or holds none.
pub fn read(path: &Path) -> Result<Vec<Bar>, ChartError> {
    let mut bytes = std::fs::read(path).map_err(|source| ChartError::Read {
        path: path.to_owned(),
        source,
    })?;
    let bars: Vec<Bar> =
        simd_json::from_slice(&mut bytes).map_err(|source| ChartError::Reports {
            path: path.to_owned(),
            source,
        })?;
    if bars.is_empty() {
        return Err(ChartError::Empty {
            path: path.to_owned(),
        });
    }
    Ok(bars)
}

/// Draws the number of states of each configuration, on a logarithmic scale, as an SVG picture.
///
/// # Errors
/// If the picture cannot be drawn or written.
pub fn draw(bars: &[Bar], path: &Path) -> Result<(), ChartError> {
    draw_svg(bars, path).map_err(|error| ChartError::Draw {
        path: path.to_owned(),
        source: error.to_string().into(),
    })
}

fn draw_svg(bars: &[Bar], path: &Path) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let max_states = bars.iter().map(|bar| bar.states).max().unwrap_or(1).max(10) as f64;
    let height = ROW_HEIGHT * bars.len() as u32 + MARGIN_HEIGHT;
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Different states of each configuration", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(120)
        .build_cartesian_2d(
            (MIN_STATES..max_states * 8.0).log_scale(),
            0f64..bars.len() as f64,
        )?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .disable_y_axis()
        .x_desc("states (logarithmic)")
        .draw()?;
    for (index, bar) in bars.iter().enumerate() {
        let row = (bars.len() - 1 - index) as f64;
        let states = (bar.states as f64).max(MIN_STATES + 1.0);
        let filled = BLUE.mix(0.6).filled();
        chart.draw_series([Rectangle::new(
            [(MIN_STATES, row + 0.2), (states, row + 0.8)],
            filled,
        )])?;
        let text_position = (LABEL_START, row + 0.62);
        chart.draw_series([Text::new(label(bar), text_position, ("sans-serif", 13))])?;
    }
    area.present()
}

fn label(bar: &Bar) -> String {
    let thousands_per_second = bar.states as f64 / bar.seconds.max(MIN_SECONDS) / 1000.0;
    format!(
        "{}: {} states, {:.1} s, {thousands_per_second:.0} thousand a second",
        bar.config, bar.states, bar.seconds
    )
}
