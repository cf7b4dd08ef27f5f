//! `mutations`: mutation testing of the properties. Activates one mutation of the state machines at
//! a time and searches for a history that violates a property.

#[cfg(feature = "mutations")]
mod fleet_limits;
#[cfg(feature = "mutations")]
mod single_front;

use std::path::PathBuf;

use clap::Args;

use super::error::CommandError;
use super::search::SearchArgs;
use super::Status;

// Without mutations the arguments are parsed, so that `--help` is the same, and not read.
#[cfg_attr(not(feature = "mutations"), allow(dead_code))]
#[derive(Args)]
pub(super) struct MutationArgs {
    /// Tests only this mutation
    #[arg(long)]
    name: Option<String>,
    /// Tests the mutations of the shared limits, instead of those of a single front
    #[arg(long, alias = "rights")]
    fleet_limits: bool,
    /// Writes the reports to this file, as JSON
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes the history that detects each mutation to a file in this directory
    #[arg(long)]
    traces: Option<PathBuf>,
    #[command(flatten)]
    search: SearchArgs,
}

/// Runs the command.
#[cfg(feature = "mutations")]
pub(super) fn run(args: &MutationArgs) -> Result<Status, CommandError> {
    match (args.fleet_limits, &args.name) {
        (false, _) => single_front::run(args),
        (true, Some(name)) => fleet_limits::run_one(name, args.search.limits()),
        (true, None) => fleet_limits::run_all(args.search.limits()),
    }
}

/// Mutations are compiled in only with their feature.
#[cfg(not(feature = "mutations"))]
pub(super) fn run(_: &MutationArgs) -> Result<Status, CommandError> {
    Err(CommandError::NoMutations)
}
