//! `chart`: draws search reports.

use std::path::PathBuf;

use clap::Args;

use super::error::CommandError;
use super::Status;
use crate::chart;

#[derive(Args)]
pub(super) struct ChartArgs {
    /// The file that `explore --json` wrote
    reports: PathBuf,
    /// The SVG file to write
    picture: PathBuf,
}

/// Runs the command.
pub(super) fn run(args: &ChartArgs) -> Result<Status, CommandError> {
    let bars = chart::read(&args.reports)?;
    chart::draw(&bars, &args.picture)?;
    Ok(Status::Holds)
}
