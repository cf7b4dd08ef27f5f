//! `walk`: takes random walks through a configuration.

use std::path::PathBuf;

use clap::Args;

use super::error::CommandError;
use super::output::{print_line, write_or_print};
use super::search::find_config;
use super::Status;
use crate::explore::random_walk;
use crate::history::{minimize, History};
use crate::model::Model;
use crate::with_config;

#[derive(Args)]
pub(super) struct WalkArgs {
    /// The configuration to walk through
    #[arg(long, default_value = "large")]
    config: String,
    /// Seed of the first walk
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Largest number of steps of each walk
    #[arg(long, default_value_t = 2000)]
    steps: usize,
    /// Number of walks, each with the next seed
    #[arg(long, default_value_t = 1)]
    histories: u64,
    /// Writes a history that violates a property to this file, minimized
    #[arg(long)]
    trace: Option<PathBuf>,
}

/// Runs the command.
pub(super) fn run(args: &WalkArgs) -> Result<Status, CommandError> {
    with_config!(find_config(&args.config)?, model => walk_all(&model, args))
}

/// Takes the walks one after another, and ends at the first that violates a property.
fn walk_all<M: Model>(model: &M, args: &WalkArgs) -> Result<Status, CommandError> {
    let mut steps_taken = 0;
    for seed in args.seed..args.seed.saturating_add(args.histories) {
        let steps = random_walk(model, seed, args.steps);
        steps_taken += steps.len();
        let history = History::of(model, &steps);
        if !history.violated.is_empty() {
            report_violation(model, args, seed, &steps, &history.violated)?;
            return Ok(Status::Violated);
        }
    }
    let name = model.summary().name;
    print_line!(
        "{} histories of {name}, {steps_taken} steps: all holds",
        args.histories
    );
    Ok(Status::Holds)
}

/// Minimizes a history that violates properties, and writes it to a file or prints it.
fn report_violation<M: Model>(
    model: &M,
    args: &WalkArgs,
    seed: u64,
    steps: &[M::Step],
    violated: &[String],
) -> Result<(), CommandError> {
    let minimized = minimize(model, steps, |state| {
        M::violated_properties(state) == violated
    });
    let minimized = History::of(model, &minimized);
    print_line!(
        "seed {seed}: {} broken after {} steps, {} when shrunk",
        violated.join(", "),
        steps.len(),
        minimized.steps.len()
    );
    write_or_print(args.trace.as_deref(), &minimized)
}
