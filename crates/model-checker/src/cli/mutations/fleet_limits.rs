//! Mutations of the state machine of shared limits.

use std::process::Command;

use tulipbridge_fleet_limits::mutations::{activate, Mutation, ALL};

use crate::cli::error::CommandError;
use crate::cli::output::print_line;
use crate::cli::search::search;
use crate::cli::Status;
use crate::configs::{self, Config};
use crate::explore::SearchLimits;

/// Tests every mutation, each in a process of its own, which gives all its memory back.
pub(super) fn run_all(limits: SearchLimits) -> Result<Status, CommandError> {
    let mut detected = 0;
    for mutation in ALL {
        detected += usize::from(is_detected_by_child(mutation, limits)?);
    }
    print_line!("{detected} of {} mutations found", ALL.len());
    Ok(Status::Holds)
}

/// Runs this program for one mutation, and returns whether it found a violation.
fn is_detected_by_child(mutation: Mutation, limits: SearchLimits) -> Result<bool, CommandError> {
    let program = std::env::current_exe().map_err(|source| CommandError::Restart { source })?;
    let status = Command::new(program)
        .args(["mutations", "--fleet-limits", "--name", mutation.name()])
        .args(["--threads", &limits.threads.to_string()])
        .args(["--memory-mb", &limits.memory_mb.to_string()])
        .args(["--seconds", &limits.time.as_secs().to_string()])
        .status()
        .map_err(|source| CommandError::Restart { source })?;
    Ok(status.code() == Some(Status::Violated as i32))
}

/// Tests one mutation in this process.
pub(super) fn run_one(name: &str, limits: SearchLimits) -> Result<Status, CommandError> {
    let mutation = ALL
        .into_iter()
        .find(|mutation| mutation.name() == name)
        .ok_or_else(|| CommandError::UnknownMutation {
            name: name.to_owned(),
        })?;
    activate(Some(mutation));
    let reports = configs::all()
        .into_iter()
        .filter(|config| matches!(config, Config::FleetLimits(_)))
        .map(|config| search(config, limits));
    for report in reports {
        if let Some(history) = report.violation {
            print_line!(
                "{mutation}: found in {}, {} steps",
                report.config,
                history.steps.len()
            );
            return Ok(Status::Violated);
        }
    }
    print_line!("{mutation}: not found");
    Ok(Status::Holds)
}
