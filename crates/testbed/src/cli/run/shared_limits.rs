//! Experiments on limits of the fleet that are no volume's.

use super::{max, min, SeededCase};
use crate::cli::arguments::RunArguments;
use crate::cli::error::CliError;
use crate::cli::Outcome;
use crate::limit_experiments::RECORDING_SLACK;
use crate::shared_limit_experiments::{
    run as run_shared_limit, SharedLimit, SharedLimitResult, SHARED_LIMITS,
};

/// The head of the table.
const TABLE_HEAD: &str =
    "| limit | used, load at one | used after all | most | bound |\n| --- | --- | --- | --- | --- |";

/// Runs the experiment for every limit.
pub fn run(arguments: &RunArguments) -> Result<Outcome, CliError> {
    let jobs = arguments.with_seeds(SHARED_LIMITS);
    let run = async |job: &SeededCase<SharedLimit>| {
        run_shared_limit(&arguments.program, job.case, job.seed, RECORDING_SLACK).await
    };
    let results = arguments.run_jobs(&jobs, run)?;
    println!("{TABLE_HEAD}");
    for limit in SHARED_LIMITS {
        let of_limit: Vec<_> = results
            .iter()
            .filter(|result| result.limit == limit)
            .collect();
        let used = min(of_limit.iter().map(|result| result.used));
        let used_after = min(of_limit.iter().map(|result| result.used_after));
        let usage = max(of_limit.iter().map(|result| result.max_usage)).max(0.0);
        let bound = max(of_limit.iter().map(|result| result.bound)).max(0.0);
        println!("| {limit} | {used:.2} | {used_after:.2} | {usage:.1} | {bound:.1} |");
    }
    arguments.results.store(&results, &arguments.seeds)?;
    Ok(Outcome::of(results.iter().all(SharedLimitResult::is_valid)))
}
