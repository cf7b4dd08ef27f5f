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

/// Runs the command.
pub fn run(arguments: &RunArguments) -> Result<Outcome, CliError> {
    match arguments.name.as_str() {
        "cases" => limits::run_load_cases(arguments),
        "hard" => limits::run_fault_cases(arguments),
        "faults" => limits::run_fault_schedules(arguments),
        "others" => shared_limits::run(arguments),
        "sick" => outliers::run_server_faults(arguments),
        "verdicts" => outliers::run_schedules(arguments),
        "soak" => soak::run(arguments, false),
        "calm" => soak::run(arguments, true),
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

    /// Each kind with each seed.
    fn with_seeds<K: Copy>(&self, kinds: impl IntoIterator<Item = K>) -> Vec<(K, u64)> {
        let kinds = kinds.into_iter();
        kinds
            .flat_map(|kind| self.seeds.clone().map(move |seed| (kind, seed)))
            .collect()
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
