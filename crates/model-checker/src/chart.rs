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
/// Number of states that the axis covers at least, before its headroom.
const MIN_MAX_STATES: u64 = 10;
/// Factor by which the axis exceeds the largest number of states, so that labels fit.
const AXIS_HEADROOM: f64 = 8.0;
/// Title of the picture.
const CAPTION: &str = "Different states of each configuration";
/// Font of all texts.
const FONT: &str = "sans-serif";
/// Size of the title in pixels.
const CAPTION_SIZE: i32 = 18;
/// Size of the labels on the bars in pixels.
const LABEL_SIZE: i32 = 13;
/// Space around the chart in pixels.
const MARGIN: i32 = 10;
/// Height of the labels below the axis of states, in pixels.
const X_LABEL_HEIGHT: i32 = 40;
/// Width of the space left of the bars, in pixels.
const Y_LABEL_WIDTH: i32 = 120;
/// Lower edge of a bar within its row, from 0 to 1.
const BAR_BOTTOM: f64 = 0.2;
/// Upper edge of a bar within its row, from 0 to 1.
const BAR_TOP: f64 = 0.8;
/// Opacity of the bars, from 0 to 1.
const BAR_OPACITY: f64 = 0.6;
/// Position of the labels on the axis of states.
const LABEL_START: f64 = 110.0;
/// Upper edge of a label within its row, from 0 to 1.
const LABEL_HEIGHT: f64 = 0.62;
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

/// Draws the picture. Errors are those of the drawing library.
fn draw_svg(bars: &[Bar], path: &Path) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
    let height = ROW_HEIGHT * bars.len() as u32 + MARGIN_HEIGHT;
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE)?;
    let states_axis = (MIN_STATES..max_states(bars) * AXIS_HEADROOM).log_scale();
    let rows_axis = 0.0..bars.len() as f64;
    let mut chart = ChartBuilder::on(&area)
        .caption(CAPTION, (FONT, CAPTION_SIZE))
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_HEIGHT)
        .y_label_area_size(Y_LABEL_WIDTH)
        .build_cartesian_2d(states_axis, rows_axis)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .disable_y_axis()
        .x_desc("states (logarithmic)")
        .draw()?;
    for (index, bar) in bars.iter().enumerate() {
        // Rows count from the bottom, and the first report is at the top.
        let row = (bars.len() - 1 - index) as f64;
        chart.draw_series([bar_rectangle(bar, row)])?;
        let label_position = (LABEL_START, row + LABEL_HEIGHT);
        chart.draw_series([Text::new(label(bar), label_position, (FONT, LABEL_SIZE))])?;
    }
    area.present()
}

/// The largest number of states, and at least [`MIN_MAX_STATES`].
fn max_states(bars: &[Bar]) -> f64 {
    let max = bars.iter().map(|bar| bar.states).max();
    max.unwrap_or_default().max(MIN_MAX_STATES) as f64
}

/// The bar itself, in the row of this number from the bottom.
fn bar_rectangle(bar: &Bar, row: f64) -> Rectangle<(f64, f64)> {
    let states = (bar.states as f64).max(MIN_STATES + 1.0);
    let bottom_left = (MIN_STATES, row + BAR_BOTTOM);
    let top_right = (states, row + BAR_TOP);
    Rectangle::new([bottom_left, top_right], BLUE.mix(BAR_OPACITY).filled())
}

/// The text on a bar.
fn label(bar: &Bar) -> String {
    let thousands_per_second = bar.states as f64 / bar.seconds.max(MIN_SECONDS) / 1000.0;
    format!(
        "{}: {} states, {:.1} s, {thousands_per_second:.0} thousand a second",
        bar.config, bar.states, bar.seconds
    )
}
