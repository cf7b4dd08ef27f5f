//! The lab's command line.

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use clap::{Parser, Subcommand};
use serde::Serialize;

use crate::schedule::Schedule;
use crate::simulate::{self, Verdict};

/// Shows what many fronts do together when parts of the system fail.
#[derive(Parser)]
#[command(name = "tulipbridge-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Names what can be simulated.
    List,
    /// Plays schedules of faults against the machines, in one process.
    Simulate {
        /// Which, such as limits.
        name: String,
        /// The seeds that schedules are drawn from, FROM..TO.
        #[arg(long, default_value = "0..2000", value_parser = seeds)]
        seeds: Range<u64>,
        /// Where what was seen goes, as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Where schedules that failed are kept, shrunk to what the failure needs.
        #[arg(long, default_value = "target/lab")]
        keep: PathBuf,
    },
    /// Puts bugs into the machines, one at a time, and tells by which seed each is found (feature `seeded`).
    Bugs {
        /// Most schedules for each.
        #[arg(long, default_value_t = 4000)]
        most: u64,
    },
    /// Plays a schedule that was kept.
    Replay {
        /// Its file.
        file: PathBuf,
    },
}

/// Why a command ends with 2.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("there is no simulation {0}; `list` names them")]
    Unknown(String),
    #[error("{0} cannot be read: {1}")]
    Read(PathBuf, String),
    #[error("{0} cannot be written: {1}")]
    Write(PathBuf, String),
    #[cfg(not(feature = "seeded"))]
    #[error("bugs are put in only in a build with the feature `seeded`")]
    NotSeeded,
}

/// What many schedules showed.
#[derive(Debug, Default, Serialize)]
struct Summary {
    schedules: u64,
    messages: u64,
    /// Largest sum of rights, in millionths of the limit, with no second process of a name.
    most: u32,
    /// The least that was in use after all was healed, in millionths of the limit.
    least_healed: Option<u32>,
    healed: u64,
    failed: Vec<u64>,
}

/// Runs the program: 1 where a bound was broken, 2 where a command cannot be carried out.
pub fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::List => {
            println!("limits    rights of many fronts in limits that hold for the whole fleet");
            Ok(true)
        }
        Command::Simulate { name, seeds, json, keep } => simulate(&name, &seeds, json.as_deref(), &keep),
        Command::Bugs { most } => bugs(most),
        Command::Replay { file } => replay(&file),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("tulipbridge-lab: {why}");
            ExitCode::from(2)
        }
    }
}

fn seeds(told: &str) -> Result<Range<u64>, String> {
    let range = told.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    range.filter(|r: &Range<u64>| !r.is_empty()).ok_or_else(|| format!("{told} is no range such as 0..2000"))
}

/// Runs every seed on as many threads as there are cores.
fn each(seeds: &Range<u64>, take: impl Fn(u64, Schedule, Verdict) + Sync) {
    let next = AtomicU64::new(seeds.start);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let schedule = Schedule::draw(seed);
                let verdict = simulate::run(&schedule);
                take(seed, schedule, verdict);
            });
        }
    });
}

fn simulate(name: &str, seeds: &Range<u64>, json: Option<&Path>, keep: &Path) -> Result<bool, Failure> {
    if name != "limits" {
        return Err(Failure::Unknown(name.to_owned()));
    }
    let (summary, broken) = (Mutex::new(Summary::default()), Mutex::new(Vec::new()));
    each(seeds, |seed, schedule, verdict| {
        let mut summary = summary.lock().expect("no thread panics");
        summary.schedules += 1;
        summary.messages += verdict.messages;
        if verdict.allowed <= tulipbridge_quota::WHOLE {
            summary.most = summary.most.max(verdict.most);
        }
        if let Some(healed) = verdict.healed {
            summary.healed += 1;
            summary.least_healed = Some(summary.least_healed.map_or(healed, |least| least.min(healed)));
        }
        if !verdict.holds() {
            summary.failed.push(seed);
            broken.lock().expect("no thread panics").push(schedule);
        }
    });
    let summary = summary.into_inner().expect("no thread panics");
    for schedule in broken.into_inner().expect("no thread panics") {
        let (seed, shrunk) = (schedule.seed, schedule.shrunk(|s| !simulate::run(s).holds()));
        let file = keep.join(format!("limits-{seed}.json"));
        write(&file, &shrunk)?;
        println!("seed {seed} broke a bound: {:?}; kept as {}", simulate::run(&shrunk), file.display());
    }
    let share = |millionths: u32| f64::from(millionths) / 1e6;
    println!(
        "{} schedules, {} messages: rights at most {:.6} of the limit; {} healed, in use then {:.3} or more; {} failed",
        summary.schedules,
        summary.messages,
        share(summary.most),
        summary.healed,
        share(summary.least_healed.unwrap_or(0)),
        summary.failed.len()
    );
    if let Some(file) = json {
        write(file, &summary)?;
    }
    Ok(summary.failed.is_empty())
}

fn write(file: &Path, value: &impl Serialize) -> Result<(), Failure> {
    let wrong = |why: String| Failure::Write(file.to_owned(), why);
    let bytes = simd_json::serde::to_vec_pretty(value).map_err(|e| wrong(e.to_string()))?;
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder).map_err(|e| wrong(e.to_string()))?;
    }
    std::fs::write(file, bytes).map_err(|e| wrong(e.to_string()))
}

fn replay(file: &Path) -> Result<bool, Failure> {
    let wrong = |why: String| Failure::Read(file.to_owned(), why);
    let mut bytes = std::fs::read(file).map_err(|e| wrong(e.to_string()))?;
    let schedule: Schedule = simd_json::serde::from_slice(&mut bytes).map_err(|e| wrong(e.to_string()))?;
    let verdict = simulate::run(&schedule);
    println!("{}: {verdict:?}", if verdict.holds() { "holds" } else { "broken" });
    Ok(verdict.holds())
}

#[cfg(not(feature = "seeded"))]
fn bugs(_: u64) -> Result<bool, Failure> {
    Err(Failure::NotSeeded)
}

#[cfg(feature = "seeded")]
fn bugs(most: u64) -> Result<bool, Failure> {
    use tulipbridge_quota::seeded::{plant, ALL};
    let next = AtomicU64::new(0);
    let found = Mutex::new(vec![None; ALL.len()]);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, Ordering::Relaxed) as usize;
                let Some(bug) = ALL.get(at) else { return };
                plant(Some(*bug));
                let seed = (0..most).find(|seed| !simulate::run(&Schedule::draw(*seed)).holds());
                found.lock().expect("no thread panics")[at] = seed;
            });
        }
    });
    let found = found.into_inner().expect("no thread panics");
    for (bug, seed) in ALL.iter().zip(&found) {
        match seed {
            Some(seed) => println!("{bug:?}: found by seed {seed}"),
            None => println!("{bug:?}: NOT FOUND in {most} schedules"),
        }
    }
    let count = found.iter().flatten().count();
    println!("{count} of {} seeded bugs found", ALL.len());
    Ok(count == ALL.len())
}
