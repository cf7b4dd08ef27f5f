//! Soak runs of the platform front.

use std::collections::BTreeMap;

use crate::cli::arguments::RunArguments;
use crate::cli::error::CliError;
use crate::cli::Outcome;
use crate::soak::{run_seed, SoakSetup};

/// How many fronts a run has.
const FRONTS: usize = 3;
/// How many chunk servers a run has.
const SERVERS: usize = 5;

/// Runs every seed, with its faults or `calm`, and prints the seeds with violations.
pub fn run(arguments: &RunArguments, calm: bool) -> Result<Outcome, CliError> {
    let program = &arguments.program;
    let setup = |seed| SoakSetup {
        program: program.clone(),
        seed,
        calm,
        fronts: FRONTS,
        servers: SERVERS,
    };
    let jobs: Vec<SoakSetup> = arguments.seeds.clone().map(setup).collect();
    let results = arguments.run_jobs(&jobs, async |setup: &SoakSetup| run_seed(setup).await)?;
    let mut by_rule: BTreeMap<_, usize> = BTreeMap::new();
    for result in results
        .iter()
        .filter(|result| !result.violations.is_empty())
    {
        println!("{result}");
        for violation in &result.violations {
            *by_rule.entry(violation.rule).or_default() += 1;
        }
    }
    let requests: usize = results.iter().map(|result| result.requests).sum();
    let served: usize = results.iter().map(|result| result.served).sum();
    println!(
        "{} seeds, {requests} requests, {served} served; broken: {by_rule:?}",
        results.len()
    );
    arguments.results.store(&results, &arguments.seeds)?;
    Ok(Outcome::of(by_rule.is_empty()))
}
