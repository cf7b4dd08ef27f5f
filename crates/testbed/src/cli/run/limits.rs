//! Experiments on the limits of volumes.

use super::{max, min, SeededCase};
use crate::cli::arguments::RunArguments;
use crate::cli::error::CliError;
use crate::cli::files::write_json;
use crate::cli::replay::shrink;
use crate::cli::Outcome;
use crate::limit_experiments::{
    load_case_table, process_schedule, run_fault_case, run_fault_schedule, run_load_case,
    FaultCase, FaultCaseResult, FaultScheduleResult, LoadCaseSetup, FAULT_CASES, LOAD_CASES,
    WINDOWS_MS,
};
use crate::schedule::Schedule;

/// The numbers of fronts of the load cases.
const LOAD_CASE_FRONTS: [usize; 2] = [4, 8];
/// The head of the table of fault cases.
const FAULT_CASES_HEAD: &str = "| case | served during | served after | most beyond the bound | units in any 0.1 s / bound | 0.3 s | 1 s | 3 s | 10 s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |";

/// Runs every load case, without and with peers.
pub fn run_load_cases(arguments: &RunArguments) -> Result<Outcome, CliError> {
    let mut jobs = Vec::new();
    for seed in arguments.seeds.clone() {
        for case in LOAD_CASES {
            for fronts in LOAD_CASE_FRONTS {
                jobs.extend([false, true].map(|peers| LoadCaseSetup {
                    case,
                    fronts,
                    peers,
                    seed,
                }));
            }
        }
    }
    let run = async |setup: &LoadCaseSetup| run_load_case(&arguments.program, *setup).await;
    let results = arguments.run_jobs(&jobs, run)?;
    println!("{}", load_case_table(&results));
    arguments.results.store(&results, &arguments.seeds)?;
    let mut with_peers = results.iter().filter(|result| result.peers);
    Ok(Outcome::of(
        with_peers.all(|result| result.max_excess <= 0.0),
    ))
}

/// Runs every fault case.
pub fn run_fault_cases(arguments: &RunArguments) -> Result<Outcome, CliError> {
    let jobs = arguments.with_seeds(FAULT_CASES);
    let run = async |job: &SeededCase<FaultCase>| {
        run_fault_case(&arguments.program, job.case, job.seed).await
    };
    let results = arguments.run_jobs(&jobs, run)?;
    println!("{FAULT_CASES_HEAD}");
    for case in FAULT_CASES {
        let of_case: Vec<_> = results
            .iter()
            .filter(|result| result.case == case)
            .collect();
        println!("{}", fault_case_row(case, &of_case));
    }
    arguments.results.store(&results, &arguments.seeds)?;
    Ok(Outcome::of(
        results
            .iter()
            .all(|result| result.max_excess <= 0.0 && result.reported),
    ))
}

/// A row of the table: the worst of all seeds.
fn fault_case_row(case: FaultCase, results: &[&FaultCaseResult]) -> String {
    let during = min(results.iter().map(|result| result.served_during));
    let after = min(results.iter().map(|result| result.served_after));
    let excess = max(results.iter().map(|result| result.max_excess));
    let is_reported = results.iter().all(|result| result.reported);
    let not_reported = if is_reported { "" } else { ", NOT SAID" };
    let window = |number: usize| {
        let usages = || results.iter().map(|result| result.windows[number]);
        let units = max(usages().map(|usage| usage.max_units)).max(0.0);
        let allowed = max(usages().map(|usage| usage.allowed_units)).max(0.0);
        format!("{units:.0} / {allowed:.0}")
    };
    let windows: Vec<String> = (0..WINDOWS_MS.len()).map(window).collect();
    let windows = windows.join(" | ");
    format!("| {case} | {during:.2} | {after:.2} | {excess:.1} units{not_reported} | {windows} |")
}

/// Runs the schedule of every seed, and stores the schedules that broke the bound.
pub fn run_fault_schedules(arguments: &RunArguments) -> Result<Outcome, CliError> {
    let program = &arguments.program;
    let jobs: Vec<Schedule> = arguments.seeds.clone().map(process_schedule).collect();
    let run = async |schedule: &Schedule| run_fault_schedule(program, schedule).await;
    let results = arguments.run_jobs(&jobs, run)?;
    print_fault_schedules(&results);
    arguments.results.store(&results, &arguments.seeds)?;
    for result in results.iter().filter(|result| !result.is_valid()) {
        let seed = result.seed;
        let file = arguments
            .results
            .schedules
            .join(format!("faults-{seed}.json"));
        write_json(&file, &shrink(program, process_schedule(seed))?)?;
        println!("seed {seed} broke the bound; kept as {}", file.display());
    }
    Ok(Outcome::of(
        results.iter().all(FaultScheduleResult::is_valid),
    ))
}

/// Prints a summary of all schedules.
fn print_fault_schedules(results: &[FaultScheduleResult]) {
    let worst = max(results.iter().map(|result| result.max_excess));
    let healed: Vec<f64> = results
        .iter()
        .filter_map(|result| result.served_after)
        .collect();
    let min_served = min(healed.iter().copied());
    println!(
        "{} schedules, {} faults, {} reads sent: at most {worst:.1} units beyond the bound; {} healed, served \
         then {min_served:.2} of the limit or more",
        results.len(),
        results.iter().map(|result| result.faults).sum::<usize>(),
        results.iter().map(|result| result.attempts).sum::<usize>(),
        healed.len()
    );
}
