//! The command `replay`, and shrinking schedules that real processes failed.

use std::fmt::Display;
use std::path::Path;
use std::sync::Mutex;

use super::arguments::ReplayArguments;
use super::error::CliError;
use super::files::read_json;
use super::Outcome;
use crate::limit_experiments::{run_fault_schedule, FaultScheduleResult};
use crate::parallel::block_on_local;
use crate::schedule::Schedule;
use crate::simulation::limits;
use crate::testbed::TestbedError;

/// How often a shorter schedule must fail: two runs of processes are never the same.
const REQUIRED_FAILURES: usize = 2;

/// Runs the command.
pub fn run(arguments: &ReplayArguments) -> Result<Outcome, CliError> {
    let schedule: Schedule = read_json(&arguments.file)?;
    if arguments.processes {
        let result = run_once(&arguments.program, &schedule)?;
        Ok(print(result.is_valid(), &result))
    } else {
        let report = limits::run(&schedule);
        Ok(print(report.is_valid(), &report))
    }
}

/// Prints whether a run violated a bound, and what it observed.
fn print(is_valid: bool, report: &impl Display) -> Outcome {
    println!("{}: {report}", if is_valid { "holds" } else { "broken" });
    Outcome::of(is_valid)
}

/// Runs a schedule with real processes.
fn run_once(program: &Path, schedule: &Schedule) -> Result<FaultScheduleResult, TestbedError> {
    block_on_local(run_fault_schedule(program, schedule))?
}

/// A schedule with which real processes broke the bound, without the steps that it does not need. A
/// step is left out only if the bound is broken without it in each of two runs.
pub fn shrink(program: &Path, schedule: Schedule) -> Result<Schedule, TestbedError> {
    let error = Mutex::new(None);
    let fails_once = |schedule: &Schedule| match run_once(program, schedule) {
        Ok(result) => !result.is_valid(),
        Err(failure) => {
            *error.lock().expect("no thread panics") = Some(failure);
            false
        }
    };
    let shrunk = schedule.shrunk(|shorter| (0..REQUIRED_FAILURES).all(|_| fails_once(shorter)));
    match error.into_inner().expect("no thread panics") {
        Some(failure) => Err(failure),
        None => Ok(shrunk),
    }
}
