//! Experiments on outlier detection.

use crate::cli::arguments::RunArguments;
use crate::cli::error::CliError;
use crate::cli::Outcome;
use crate::outlier_experiments::{
    run_outlier_schedule, run_server_fault, server_fault_table, OutlierScheduleResult,
    ServerFaultSetup, SERVER_FAULTS,
};
use crate::schedule::Schedule;

/// Runs every fault of a server with each number of fronts, without and with shared outlier
/// detection.
pub fn run_server_faults(arguments: &RunArguments) -> Result<Outcome, CliError> {
    let mut jobs = Vec::new();
    for fault in SERVER_FAULTS {
        for fronts in arguments.fronts.iter().copied() {
            for shared in [false, true] {
                let seeds = arguments.seeds.clone();
                jobs.extend(seeds.map(|seed| ServerFaultSetup {
                    fault,
                    fronts,
                    shared,
                    seed,
                }));
            }
        }
    }
    let run = async |setup: &ServerFaultSetup| run_server_fault(&arguments.program, *setup).await;
    let results = arguments.run_jobs(&jobs, run)?;
    println!("{}", server_fault_table(&results));
    arguments.results.store(&results, &arguments.seeds)?;
    Ok(Outcome::of(
        results
            .iter()
            .all(|result| result.unjustified_ejections == 0),
    ))
}

/// Runs the schedule of every seed with servers that become faulty.
pub fn run_schedules(arguments: &RunArguments) -> Result<Outcome, CliError> {
    let jobs: Vec<Schedule> = arguments.seeds.clone().map(Schedule::sample).collect();
    let run = async |schedule: &Schedule| run_outlier_schedule(&arguments.program, schedule).await;
    let results = arguments.run_jobs(&jobs, run)?;
    print_schedules(&results);
    let is_invalid = |result: &&OutlierScheduleResult| !result.is_valid();
    let failed: Vec<u64> = results
        .iter()
        .filter(is_invalid)
        .map(|result| result.seed)
        .collect();
    if !failed.is_empty() {
        println!("broken by the seeds {failed:?}");
    }
    arguments.results.store(&results, &arguments.seeds)?;
    Ok(Outcome::of(failed.is_empty()))
}

/// Prints a summary of all schedules.
fn print_schedules(results: &[OutlierScheduleResult]) {
    let sum = |value: fn(&OutlierScheduleResult) -> usize| results.iter().map(value).sum::<usize>();
    println!(
        "{} schedules, {} faults of links and processes, {} ill servers of which {} were found, {} fronts with \
         bad ways: at most {} servers out, {} verdicts on servers that were well, {} left out",
        results.len(),
        sum(|result| result.faults),
        sum(|result| result.faulty_servers),
        sum(|result| result.faulty_servers_ejected),
        sum(|result| usize::from(result.has_faulty_front)),
        results.iter().map(|result| result.max_ejected).max().unwrap_or(0),
        sum(|result| result.unjustified_ejections),
        sum(|result| result.fronts_with_ejections)
    );
}
