//! `replay`: replays a history file step by step.

use std::path::PathBuf;

use clap::Args;

use super::error::CommandError;
use super::output::print_line;
use super::Status;
use crate::history::{History, StoredHistory};
use crate::with_config;

#[derive(Args)]
pub(super) struct ReplayArgs {
    /// The history file
    file: PathBuf,
}

/// Runs the command.
pub(super) fn run(args: &ReplayArgs) -> Result<Status, CommandError> {
    let StoredHistory { config, history } = History::read(&args.file)?;
    let mut step_number = 0;
    let mut status = Status::Holds;
    let print_step = |step: &str, violated: &[&str]| {
        step_number += 1;
        let mut violations = String::new();
        if !violated.is_empty() {
            status = Status::Violated;
            violations = format!("   BREAKS {}", violated.join(", "));
        }
        print_line!("{step_number:>4}  {step}{violations}");
    };
    with_config!(&config, model => history.replay(model, print_step).map(|_| ()))?;
    Ok(status)
}
