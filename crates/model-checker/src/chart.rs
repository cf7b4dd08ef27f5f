//! Reports of a search as a chart.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use serde::Deserialize;

/// What a chart shows of a report.
#[derive(Clone, Debug, Deserialize)]
pub struct Bar {
    /// The configuration.
    pub config: String,
    /// Different states.
    pub states: u64,
    /// Seconds.
    pub seconds: f64,
}

/// Why there is no chart.
#[derive(Debug, thiserror::Error)]
pub enum ChartError {
    /// The reports cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// They are no reports.
    #[error("{}: must be what 'explore --json' writes: {source}", path.display())]
    Reports {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: simd_json::Error,
    },
    /// There is nothing to draw.
    #[error("{}: holds no report", path.display())]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// It cannot be drawn.
    #[error("{}: cannot be drawn: {why}", path.display())]
    Draw {
        /// The picture.
        path: PathBuf,
        /// Why not.
        why: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// Reads the reports that a search wrote.
///
/// # Errors
/// Where the file cannot be read, is none of a search, or holds nothing.
pub fn read(path: &Path) -> Result<Vec<Bar>, ChartError> {
    let mut bytes =
        std::fs::read(path).map_err(|source| ChartError::Read { path: path.to_owned(), source })?;
    let bars: Vec<Bar> = simd_json::from_slice(&mut bytes)
        .map_err(|source| ChartError::Reports { path: path.to_owned(), source })?;
    if bars.is_empty() {
        return Err(ChartError::Empty { path: path.to_owned() });
    }
    Ok(bars)
}

/// Draws the states of each configuration, on a logarithmic scale, as an SVG picture.
///
/// # Errors
/// Where the picture cannot be drawn or written.
pub fn draw(bars: &[Bar], path: &Path) -> Result<(), ChartError> {
    let most = bars.iter().map(|b| b.states).max().unwrap_or(1).max(10) as f64;
    let drawn = || -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        let area = SVGBackend::new(path, (900, 40 * bars.len() as u32 + 110)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption("Different states of each configuration", ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(120)
            .build_cartesian_2d((100f64..most * 8.0).log_scale(), 0f64..bars.len() as f64)?;
        chart.configure_mesh().disable_y_mesh().disable_y_axis().x_desc("states (logarithmic)").draw()?;
        for (i, bar) in bars.iter().enumerate() {
            let row = (bars.len() - 1 - i) as f64;
            let states = bar.states.max(101) as f64;
            let filled = BLUE.mix(0.6).filled();
            chart.draw_series([Rectangle::new([(100.0, row + 0.2), (states, row + 0.8)], filled)])?;
            let speed = bar.states as f64 / bar.seconds.max(1e-3) / 1000.0;
            let label = format!(
                "{}: {} states, {:.1} s, {speed:.0} thousand a second",
                bar.config, bar.states, bar.seconds
            );
            chart.draw_series([Text::new(label, (110.0, row + 0.62), ("sans-serif", 13))])?;
        }
        area.present()
    };
    drawn().map_err(|why| ChartError::Draw { path: path.to_owned(), why: why.to_string().into() })
}
