//! The command `mutations`: finds the seed by which the simulations detect each mutation of the state
//! machines.

use super::arguments::MutationsArguments;
use super::error::CliError;
use super::Outcome;

/// Runs the command.
#[cfg(not(feature = "mutations"))]
pub fn run(_: &MutationsArguments) -> Result<Outcome, CliError> {
    Err(CliError::WithoutMutations)
}

/// Runs the command.
#[cfg(feature = "mutations")]
pub fn run(arguments: &MutationsArguments) -> Result<Outcome, CliError> {
    use tulipbridge_fleet_limits::mutations as limits;
    use tulipbridge_outlier_detection::mutations as outliers;

    use self::search::find_all;
    use super::simulate::{LIMITS, OUTLIERS};

    let max_schedules = arguments.max_schedules;
    Ok(if arguments.outlier_detection {
        find_all(&outliers::ALL, outliers::activate, max_schedules, &OUTLIERS)
    } else {
        find_all(&limits::ALL, limits::activate, max_schedules, &LIMITS)
    })
}

/// The search for schedules that detect mutations.
#[cfg(feature = "mutations")]
mod search {
    use std::fmt::Display;
    use std::sync::atomic::{AtomicU64, Ordering};

    use crate::cli::sweep::{for_each_schedule, ScheduleSimulation};
    use crate::cli::Outcome;

    /// How many schedules are simulated before it is checked whether a mutation is detected.
    const BATCH: u64 = 500;

    /// Activates each mutation in turn and prints by which seed it is detected. Valid if all are.
    pub fn find_all<M: Copy + Display, R>(
        mutations: &[M],
        activate: impl Fn(Option<M>),
        max_schedules: u64,
        simulation: &ScheduleSimulation<R>,
    ) -> Outcome {
        let mut seeds = Vec::new();
        for mutation in mutations {
            activate(Some(*mutation));
            seeds.push(find(max_schedules, simulation));
            activate(None);
        }
        for (mutation, seed) in mutations.iter().zip(&seeds) {
            match seed {
                Some(seed) => println!("{mutation}: found by seed {seed}"),
                None => println!("{mutation}: NOT FOUND in {max_schedules} schedules"),
            }
        }
        let found = seeds.iter().flatten().count();
        println!("{found} of {} seeded bugs found", mutations.len());
        Outcome::of(found == mutations.len())
    }

    /// The first seed of the first batch in which a schedule breaks a bound.
    fn find<R>(max_schedules: u64, simulation: &ScheduleSimulation<R>) -> Option<u64> {
        /// The value that stands for no seed.
        const NONE: u64 = u64::MAX;
        for from in (0..max_schedules).step_by(BATCH as usize) {
            let first = AtomicU64::new(NONE);
            for_each_schedule(&(from..max_schedules.min(from + BATCH)), |schedule| {
                if !(simulation.is_valid)(&(simulation.run)(&schedule)) {
                    first.fetch_min(schedule.seed, Ordering::Relaxed);
                }
            });
            let first = first.into_inner();
            if first != NONE {
                return Some(first);
            }
        }
        None
    }
}
