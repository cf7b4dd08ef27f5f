//! Simulations for many seeds, on as many threads as there are cores.

use std::fmt::Display;
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use super::error::CliError;
use super::files::write_json;
use crate::schedule::Schedule;

/// A simulation of schedules.
pub struct ScheduleSimulation<R> {
    /// How the names of its files of failed schedules begin; they are those of earlier versions.
    pub file_prefix: &'static str,
    /// Simulates one schedule.
    pub run: fn(&Schedule) -> R,
    /// Whether a run violated no bound.
    pub is_valid: fn(&R) -> bool,
}

/// What the simulation of many schedules observed.
pub struct Sweep<R> {
    /// The report of each schedule.
    pub reports: Vec<R>,
    /// The schedules that broke a bound.
    pub failed: Vec<Schedule>,
}

/// A text is no range of seeds, or an empty one.
#[derive(Debug, thiserror::Error)]
#[error("{0} is no range such as 0..2000")]
pub struct SeedRangeError(String);

/// Parses a range of seeds such as `0..2000`.
///
/// # Errors
/// If it is no range, or an empty one.
pub fn parse_seeds(text: &str) -> Result<Range<u64>, SeedRangeError> {
    let range = text
        .split_once("..")
        .and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    let range = range.filter(|range: &Range<u64>| !range.is_empty());
    range.ok_or_else(|| SeedRangeError(text.to_owned()))
}

/// Samples the schedule of every seed and gives it to `visit`.
pub fn for_each_schedule(seeds: &Range<u64>, visit: impl Fn(Schedule) + Sync) {
    let next = AtomicU64::new(seeds.start);
    let threads = std::thread::available_parallelism().map_or(1, |count| count.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                visit(Schedule::sample(seed));
            });
        }
    });
}

impl<R: Display + Send> ScheduleSimulation<R> {
    /// Simulates the schedule of every seed.
    pub fn sweep(&self, seeds: &Range<u64>) -> Sweep<R> {
        let sweep = Mutex::new(Sweep {
            reports: Vec::new(),
            failed: Vec::new(),
        });
        for_each_schedule(seeds, |schedule| {
            let report = (self.run)(&schedule);
            let is_valid = (self.is_valid)(&report);
            let mut sweep = sweep.lock().expect("no thread panics");
            sweep.reports.push(report);
            if !is_valid {
                sweep.failed.push(schedule);
            }
        });
        sweep.into_inner().expect("no thread panics")
    }

    /// Reduces failed schedules to what the failure needs, stores them in a directory and prints
    /// where.
    pub fn store_failed(&self, failed: &[Schedule], directory: &Path) -> Result<(), CliError> {
        for schedule in failed {
            let seed = schedule.seed;
            let shrunk = schedule
                .clone()
                .shrunk(|shorter| !(self.is_valid)(&(self.run)(shorter)));
            let file = directory.join(format!("{}-{seed}.json", self.file_prefix));
            write_json(&file, &shrunk)?;
            let report = (self.run)(&shrunk);
            println!(
                "seed {seed} broke a bound: {report}; kept as {}",
                file.display()
            );
        }
        Ok(())
    }
}
