//! The command `run`: experiments with real processes.

mod limits;
mod outliers;
mod shared_limits;
mod soak;

use super::arguments::RunArguments;
use super::error::CliError;
use super::{progress, Outcome};
use crate::parallel::run_jobs;
use crate::testbed::TestbedError;

/// A case of an experiment, and the seed with which it is run.
struct SeededCase<C> {
    case: C,
    seed: u64,
}

/// Runs the command.
pub fn run(arguments: &RunArguments) -> Result<Outcome, CliError> {
    // The second name of each is that of earlier versions.
    match arguments.name.as_str() {
        "load-cases" | "cases" => limits::run_load_cases(arguments),
        "fault-cases" | "hard" => limits::run_fault_cases(arguments),
        "fault-schedules" | "faults" => limits::run_fault_schedules(arguments),
        "shared-limits" | "others" => shared_limits::run(arguments),
        "server-faults" | "sick" => outliers::run_server_faults(arguments),
        "outlier-schedules" | "verdicts" => outliers::run_schedules(arguments),
        "soak" => soak::run(arguments, false),
        "soak-without-faults" | "calm" => soak::run(arguments, true),
        other => Err(CliError::UnknownName(other.to_owned())),
    }
}

impl RunArguments {
    /// Runs jobs on as many threads as requested, and prints each result on a terminal.
    fn run_jobs<J: Sync, R: Send + std::fmt::Display>(
        &self,
        jobs: &[J],
        run: impl AsyncFn(&J) -> Result<R, TestbedError> + Sync,
    ) -> Result<Vec<R>, TestbedError> {
        run_jobs(jobs, self.parallel, run, |result| progress::report(result))
    }

    /// Each case with each seed.
    fn with_seeds<C: Copy>(&self, cases: impl IntoIterator<Item = C>) -> Vec<SeededCase<C>> {
        let mut jobs = Vec::new();
        for case in cases {
            jobs.extend(self.seeds.clone().map(|seed| SeededCase { case, seed }));
        }
        jobs
    }
}

/// The least of some values; infinite if there are none.
fn min(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(f64::INFINITY, f64::min)
}

/// The greatest of some values; negatively infinite if there are none.
fn max(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(f64::NEG_INFINITY, f64::max)
}
