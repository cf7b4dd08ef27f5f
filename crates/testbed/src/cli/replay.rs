//! The command `replay`, and shrinking schedules that real processes failed.

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
    let (is_valid, report) = if arguments.processes {
        let result = run_once(&arguments.program, &schedule)?;
        (result.is_valid(), result.to_string())
    } else {
        let report = limits::run(&schedule);
        (report.is_valid(), report.to_string())
    };
    println!("{}: {report}", if is_valid { "holds" } else { "broken" });
    Ok(Outcome::of(is_valid))
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
