//! Storing the rows of an experiment.

use std::ops::Range;
use std::process::Command;

use serde::Serialize;
use tulipbridge_results::{chart, MetadataEntry, Table};

use super::arguments::ResultArguments;
use super::error::CliError;
use super::files::write_json;

impl ResultArguments {
    /// Stores the rows of an experiment in each format that was requested.
    pub fn store<R: Serialize>(&self, rows: &[R], seeds: &Range<u64>) -> Result<(), CliError> {
        if let Some(file) = &self.json {
            write_json(file, rows)?;
        }
        if self.parquet.is_none() && self.svg.is_none() {
            return Ok(());
        }
        let table = Table::of(rows)?;
        if let Some(file) = &self.parquet {
            table.write_parquet(file, &origin(seeds))?;
        }
        if let Some(file) = &self.svg {
            chart(&table, &self.metric, file)?;
        }
        Ok(())
    }
}

/// Where the rows of a run come from.
fn origin(seeds: &Range<u64>) -> [MetadataEntry<'static>; 3] {
    let entry = |key, value| MetadataEntry { key, value };
    [
        entry("commit", current_commit()),
        entry("version", env!("CARGO_PKG_VERSION").to_owned()),
        entry("seeds", format!("{}..{}", seeds.start, seeds.end)),
    ]
}

/// The commit of the working directory; empty if git does not tell.
fn current_commit() -> String {
    let output = Command::new("git").args(["rev-parse", "HEAD"]).output();
    output
        .map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned())
        .unwrap_or_default()
}
