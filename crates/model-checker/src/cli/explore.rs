//! `explore`: searches every reachable state of configurations.

use std::path::PathBuf;

use clap::Args;

use super::error::CommandError;
use super::output::{print_line, write_json, write_or_print};
use super::search::{find_config, search, SearchArgs};
use super::Status;
use crate::configs::{self, Config};
use crate::explore::Report;

/// Shortest duration that a rate is computed from, in seconds.
const MIN_SECONDS: f64 = 1e-3;

#[derive(Args)]
pub(super) struct ExploreArgs {
    /// Explores only this configuration
    #[arg(long)]
    config: Option<String>,
    /// Explores only the quick configurations
    #[arg(long)]
    quick: bool,
    /// Writes the reports to this file, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes a history that violates a property to this file
    #[arg(long)]
    trace: Option<PathBuf>,
    #[command(flatten)]
    search: SearchArgs,
}

/// Runs the command. It ends early once the process exceeds its memory limit, since memory is not
/// given back.
pub(super) fn run(args: &ExploreArgs) -> Result<Status, CommandError> {
    let configs = selected_configs(args)?;
    let limits = args.search.limits();
    print_header();
    let mut status = Status::Holds;
    let mut reports = Vec::new();
    for config in configs {
        let report = search(config, limits);
        print_report(&report);
        if let Some(history) = &report.violation {
            status = Status::Violated;
            write_or_print(args.trace.as_deref(), history)?;
        } else if !report.exhausted && status == Status::Holds {
            status = Status::NotExhausted;
        }
        let out_of_memory = report.memory_mb > limits.memory_mb;
        reports.push(report);
        if out_of_memory {
            break;
        }
    }
    if let Some(path) = &args.json {
        write_json(path, &reports)?;
    }
    Ok(status)
}

/// The configurations that the arguments select.
fn selected_configs(args: &ExploreArgs) -> Result<Vec<Config>, CommandError> {
    match &args.config {
        Some(name) => Ok(vec![find_config(name)?]),
        None => {
            let is_selected = |config: &Config| config.summary().quick || !args.quick;
            Ok(configs::all().into_iter().filter(is_selected).collect())
        }
    }
}

/// Prints the header of the table of reports.
fn print_header() {
    print_line!(
        "{:<14} {:>10} {:>11} {:>6} {:>8} {:>8} {:>10}  result",
        "config",
        "states",
        "steps",
        "depth",
        "seconds",
        "MB",
        "states/s"
    );
}

/// Prints a report as a row of the table.
fn print_report(report: &Report) {
    let result = match &report.violation {
        Some(history) => format!("BROKEN: {}", history.violated.join(", ")),
        None if report.exhausted => "holds, nothing left".to_owned(),
        None => "NOT EXHAUSTED".to_owned(),
    };
    let states_per_second = report.states as f64 / report.seconds.max(MIN_SECONDS);
    print_line!(
        "{:<14} {:>10} {:>11} {:>6} {:>8.1} {:>8} {:>10.0}  {result}",
        report.config,
        report.states,
        report.steps,
        report.depth,
        report.seconds,
        report.memory_mb,
        states_per_second
    );
}
