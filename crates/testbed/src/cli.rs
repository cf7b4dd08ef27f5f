//! The lab's command line.

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use clap::{Parser, Subcommand};
use serde::Serialize;
use tulipbridge_results::{chart, Table, TableError};

use crate::schedule::Schedule;
use crate::simulate;

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
    /// Runs processes of the program: `cases` (loads, before and with peers), `hard` (each fault by name), `others` (limits that are no volume's), `sick` (a server that is bad), `verdicts` (schedules with bad servers) or `faults` (schedules from seeds).
    Run {
        /// Which.
        name: String,
        /// The built program.
        #[arg(long, default_value = "target/release/tulipbridge")]
        program: PathBuf,
        /// The seeds, FROM..TO.
        #[arg(long, default_value = "0..5", value_parser = seeds)]
        seeds: Range<u64>,
        /// Labs at once.
        #[arg(long, default_value_t = 4)]
        side_by_side: usize,
        /// How many fronts, of `sick` alone.
        #[arg(long, value_delimiter = ',', default_value = "4,8,24")]
        fronts: Vec<usize>,
        #[command(flatten)]
        output: Output,
    },
    /// Starts fronts that share a limit, with a chunk server, and keeps them until it is interrupted: to look round.
    Up {
        /// How many fronts.
        #[arg(long, default_value_t = 4)]
        fronts: usize,
        /// Reads a second that come to the first of them.
        #[arg(long, default_value_t = 160)]
        load: u32,
        /// The built program.
        #[arg(long, default_value = "target/release/tulipbridge")]
        program: PathBuf,
    },
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
    /// Measures what sharing limits costs a front, by the size of the fleet, in one process.
    Cost {
        /// Fronts.
        #[arg(long, value_delimiter = ',', default_value = "4,30,300")]
        fronts: Vec<u16>,
        /// Volumes that each front is asked for.
        #[arg(long, value_delimiter = ',', default_value = "1,300")]
        volumes: Vec<u64>,
        /// Beats that are measured.
        #[arg(long, default_value_t = 10)]
        beats: u32,
    },
    /// Puts bugs into the machines, one at a time, and tells by which seed each is found (feature `seeded`).
    Bugs {
        /// Most schedules for each.
        #[arg(long, default_value_t = 4000)]
        most: u64,
        /// Into the machine of verdicts, instead of that of limits.
        #[arg(long)]
        verdicts: bool,
    },
    /// Plays a schedule that was kept.
    Replay {
        /// Its file.
        file: PathBuf,
        /// With processes of the program, instead of the machines in one.
        #[arg(long)]
        processes: bool,
        /// The built program.
        #[arg(long, default_value = "target/release/tulipbridge")]
        program: PathBuf,
    },
    /// Compares what two runs kept as JSON, figure by figure; 1 where one differs beyond chance.
    Compare {
        /// The earlier one.
        first: PathBuf,
        /// The later one.
        second: PathBuf,
        /// Reorderings of which fewer than this part differ as much are beyond chance.
        #[arg(long, default_value_t = 0.01)]
        chance: f64,
    },
}

/// Where what a run showed is kept.
#[derive(clap::Args)]
struct Output {
    /// As JSON, an array of rows.
    #[arg(long)]
    json: Option<PathBuf>,
    /// As Parquet, with the commit, the seeds and the program's version.
    #[arg(long)]
    parquet: Option<PathBuf>,
    /// A picture of one figure.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Which figure the picture is of.
    #[arg(long, default_value = "beyond")]
    figure: String,
    /// Where schedules that failed go.
    #[arg(long, default_value = "target/lab")]
    keep: PathBuf,
}

impl Output {
    fn keep<R: Serialize>(&self, rows: &[R], seeds: &Range<u64>) -> Result<(), Failure> {
        self.json.as_deref().map_or(Ok(()), |file| write(file, rows))?;
        if self.parquet.is_none() && self.svg.is_none() {
            return Ok(());
        }
        let table = Table::of(rows)?;
        if let Some(file) = &self.parquet {
            let commit = std::process::Command::new("git").args(["rev-parse", "HEAD"]).output();
            let commit = commit.map(|o| String::from_utf8_lossy(&o.stdout).trim().to_owned());
            let about = [
                ("commit", commit.unwrap_or_default()),
                ("version", env!("CARGO_PKG_VERSION").to_owned()),
                ("seeds", format!("{}..{}", seeds.start, seeds.end)),
            ];
            table.write_parquet(file, &about)?;
        }
        if let Some(file) = &self.svg {
            chart(&table, &self.figure, file)?;
        }
        Ok(())
    }
}

/// Why a command ends with 2.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("there is no {0}; `list` names them")]
    Unknown(String),
    #[error("{0} cannot be read: {1}")]
    Read(PathBuf, String),
    #[error("{0} cannot be written: {1}")]
    Write(PathBuf, String),
    #[error(transparent)]
    Seal(#[from] tulipbridge_membership::EnvelopeError),
    #[error(transparent)]
    Lab(#[from] crate::process::LabError),
    #[error(transparent)]
    Table(#[from] TableError),
    #[cfg(not(feature = "mutations"))]
    #[error("bugs are put in only in a build with the feature `seeded`")]
    NotSeeded,
}

/// Most schedules of a run that are kept: shrinking each takes as many runs as it has steps.
const MOST_KEPT: usize = 5;

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
            println!("cases     (run) loads on four and eight processes, before and with peers");
            println!("hard      (run) cuts, splits, stops, kills, second processes, strangers, many volumes");
            println!(
                "others    (run) further attempts, units to a starting server, requests out at one server"
            );
            println!("sick      (run) a chunk server that is bad, at fronts that share verdicts and fronts that do not");
            println!("verdicts  (run) schedules of faults with servers that fall ill: who is held out, and who should not be");
            println!("faults    (run) schedules of faults against processes of the program");
            println!(
                "entries   (simulate) what fronts tell each other: newest, the same everywhere after a cut"
            );
            println!("verdicts  (simulate) which servers all fronts hold out, with bad servers, bad fronts and bad links");
            println!("limits    (simulate) rights of many fronts in limits that hold for the whole fleet");
            Ok(true)
        }
        Command::Simulate { name, seeds, json, keep } => simulate(&name, &seeds, json.as_deref(), &keep),
        Command::Run { name, program, seeds, side_by_side, fronts, output } => {
            run(&name, &program, (&seeds, &fronts), side_by_side, &output)
        }
        Command::Up { fronts, load, program } => up(fronts, load, &program),
        Command::Cost { fronts, volumes, beats } => cost(&fronts, &volumes, beats),
        Command::Bugs { most, verdicts } => bugs(most, verdicts),
        Command::Replay { file, processes, program } => replay(&file, processes.then_some(&program)),
        Command::Compare { first, second, chance } => compare(&first, &second, chance),
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
fn each(seeds: &Range<u64>, take: impl Fn(Schedule) + Sync) {
    let next = AtomicU64::new(seeds.start);
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                take(Schedule::draw(seed));
            });
        }
    });
}

fn simulate(name: &str, seeds: &Range<u64>, json: Option<&Path>, keep: &Path) -> Result<bool, Failure> {
    match name {
        "limits" => {}
        "entries" => return entries(seeds, (json, keep)),
        "verdicts" => return verdicts(seeds, (json, keep)),
        _ => return Err(Failure::Unknown(name.to_owned())),
    }
    let (summary, broken) = (Mutex::new(Summary::default()), Mutex::new(Vec::new()));
    each(seeds, |schedule| {
        let (seed, verdict) = (schedule.seed, simulate::run(&schedule));
        let mut summary = summary.lock().expect("no thread panics");
        summary.schedules += 1;
        summary.messages += verdict.messages;
        if verdict.allowed <= tulipbridge_fleet_limits::FULL_SHARE {
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

/// Plays a schedule for each seed; keeps some of those that broke a bound, shrunk, and says how many did.
fn schedules<V: Serialize + std::fmt::Debug + Send>(
    name: &str,
    seeds: &Range<u64>,
    (json, keep): (Option<&Path>, &Path),
    play: impl Fn(&Schedule) -> V + Sync,
    holds: impl Fn(&V) -> bool + Sync,
) -> Result<(Vec<V>, usize), Failure> {
    let (all, broken) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    each(seeds, |schedule| {
        let verdict = play(&schedule);
        if !holds(&verdict) {
            broken.lock().expect("no thread panics").push(schedule);
        }
        all.lock().expect("no thread panics").push(verdict);
    });
    let all: Vec<V> = all.into_inner().expect("no thread panics");
    let broken: Vec<Schedule> = broken.into_inner().expect("no thread panics");
    let failed = broken.len();
    for schedule in broken.into_iter().take(MOST_KEPT) {
        let (seed, shrunk) = (schedule.seed, schedule.shrunk(|s| !holds(&play(s))));
        let file = keep.join(format!("{name}-{seed}.json"));
        write(&file, &shrunk)?;
        println!("seed {seed} broke a bound: {:?}; kept as {}", play(&shrunk), file.display());
    }
    json.map_or(Ok(()), |file| write(file, &all))?;
    Ok((all, failed))
}

fn entries(seeds: &Range<u64>, to: (Option<&Path>, &Path)) -> Result<bool, Failure> {
    use crate::entries::{run, Verdict};
    let (all, failed) = schedules("entries", seeds, to, run, Verdict::holds)?;
    println!(
        "{} schedules, {} messages, {} entries learnt: at most {} bytes in any second; {failed} failed",
        all.len(),
        all.iter().map(|v| v.messages).sum::<u64>(),
        all.iter().map(|v| v.learnt).sum::<u64>(),
        all.iter().map(|v| v.most_bytes).max().unwrap_or(0),
    );
    Ok(failed == 0)
}

fn verdicts(seeds: &Range<u64>, to: (Option<&Path>, &Path)) -> Result<bool, Failure> {
    use crate::verdicts::{run, Verdict, SERVERS};
    let (all, failed) = schedules("verdicts", seeds, to, run, Verdict::holds)?;
    println!(
        "{} schedules, {} messages: at most {} servers out of {SERVERS}, {} of the ill ones found, {} bad attempts at \
         them; {failed} failed",
        all.len(),
        all.iter().map(|v| v.messages).sum::<u64>(),
        all.iter().map(|v| v.most_out).max().unwrap_or(0),
        all.iter().map(|v| v.found).sum::<u64>(),
        all.iter().map(|v| v.paid).sum::<u64>(),
    );
    Ok(failed == 0)
}

/// A schedule that processes broke a bound with, without the faults it does not need. Processes are not the same
/// twice: a fault is left out only where the bound is broken without it in each of two runs.
fn shrunk(program: &Path, schedule: Schedule) -> Result<Schedule, Failure> {
    let failed = Mutex::new(None);
    let fails = |schedule: &Schedule| {
        (0..2).all(|_| match play_one(program, schedule) {
            Ok(played) => played.beyond > 0.0,
            Err(why) => {
                *failed.lock().expect("no thread panics") = Some(why);
                false
            }
        })
    };
    let shrunk = schedule.shrunk(fails);
    match failed.into_inner().expect("no thread panics") {
        Some(why) => Err(why),
        None => Ok(shrunk),
    }
}

fn play_one(program: &Path, schedule: &Schedule) -> Result<crate::runs::Played, Failure> {
    let run = async |schedule: &Schedule| crate::runs::play(program, schedule).await;
    let played = crate::runs::side_by_side(std::slice::from_ref(schedule), 1, run, |_| ())?;
    played.into_iter().next().ok_or_else(|| Failure::Unknown("such run".to_owned()))
}

fn compare(first: &Path, second: &Path, chance: f64) -> Result<bool, Failure> {
    let (first, second) = (Table::read(first)?, Table::read(second)?);
    let all = tulipbridge_results::compare(&first, &second);
    if all.is_empty() {
        return Err(TableError::Form("the two have no figure under the same conditions".to_owned()).into());
    }
    println!(
        "| conditions | figure | first | second | rows | chance |\n| --- | --- | --- | --- | --- | --- |"
    );
    let mut beyond = 0;
    for one in &all {
        let (differs, (a, b), (m, n)) = (one.chance < chance, one.medians, one.rows);
        beyond += usize::from(differs);
        let mark = if differs { " *" } else { "" };
        println!(
            "| {} | {} | {a:.3} | {b:.3} | {m}, {n} | {:.4}{mark} |",
            one.conditions, one.figure, one.chance
        );
    }
    println!("{beyond} of {} figures differ beyond chance", all.len());
    Ok(beyond == 0)
}

fn run(
    name: &str,
    program: &Path,
    (seeds, fronts): (&Range<u64>, &[usize]),
    threads: usize,
    output: &Output,
) -> Result<bool, Failure> {
    use crate::runs::{case, hard, play, schedule, side_by_side, table, CASES, HARD, WINDOWS};
    match name {
        "cases" => {
            let mut jobs = Vec::new();
            for seed in seeds.clone() {
                for which in CASES {
                    jobs.extend(
                        [4, 8].iter().flat_map(|n| [(which, *n, false, seed), (which, *n, true, seed)]),
                    );
                }
            }
            let run =
                async |(which, fronts, peers, seed): &_| case(program, *which, *fronts, *peers, *seed).await;
            let outcomes = side_by_side(&jobs, threads, run, |o| progress(&format!("{o:?}")))?;
            println!("{}", table(&outcomes));
            output.keep(&outcomes, seeds)?;
            Ok(outcomes.iter().filter(|o| o.peers).all(|o| o.beyond <= 0.0))
        }
        "hard" => {
            let jobs: Vec<_> =
                HARD.into_iter().flat_map(|h| seeds.clone().map(move |seed| (h, seed))).collect();
            let run = async |(which, seed): &_| hard(program, *which, *seed).await;
            let played = side_by_side(&jobs, threads, run, |h| progress(&format!("{h:?}")))?;
            println!(
                "| case | served during | served after | most beyond the bound | units in any 0.1 s / bound | 0.3 s | 1 s | 3 s | 10 s |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |"
            );
            for which in HARD {
                let of: Vec<_> = played.iter().filter(|h| h.case == which).collect();
                let least =
                    |f: fn(&&crate::runs::Hardship) -> f64| of.iter().map(f).fold(f64::INFINITY, f64::min);
                let beyond = of.iter().map(|h| h.beyond).fold(f64::NEG_INFINITY, f64::max);
                let (during, after) = (least(|h| h.during), least(|h| h.after));
                let unsaid = if of.iter().all(|h| h.said) { "" } else { ", NOT SAID" };
                let windows: Vec<String> = (0..WINDOWS.len())
                    .map(|w| {
                        let most = of.iter().map(|h| h.windows[w].0).fold(0.0, f64::max);
                        let bound = of.iter().map(|h| h.windows[w].1).fold(0.0, f64::max);
                        format!("{most:.0} / {bound:.0}")
                    })
                    .collect();
                let windows = windows.join(" | ");
                println!("| {which:?} | {during:.2} | {after:.2} | {beyond:.1} units{unsaid} | {windows} |");
            }
            output.keep(&played, seeds)?;
            Ok(played.iter().all(|h| h.beyond <= 0.0 && h.said))
        }
        "faults" => {
            let jobs: Vec<Schedule> = seeds.clone().map(schedule).collect();
            let run = async |schedule: &Schedule| play(program, schedule).await;
            let played = side_by_side(&jobs, threads, run, |p| progress(&format!("{p:?}")))?;
            let worst = played.iter().map(|p| p.beyond).fold(f64::NEG_INFINITY, f64::max);
            let healed: Vec<f64> = played.iter().filter_map(|p| p.healed).collect();
            let least = healed.iter().copied().fold(f64::INFINITY, f64::min);
            println!(
                "{} schedules, {} faults, {} reads sent: at most {worst:.1} units beyond the bound; {} healed, served \
                 then {least:.2} of the limit or more",
                played.len(),
                played.iter().map(|p| p.faults).sum::<usize>(),
                played.iter().map(|p| p.sent).sum::<usize>(),
                healed.len()
            );
            output.keep(&played, seeds)?;
            for bad in played.iter().filter(|p| p.beyond > 0.0) {
                let file = output.keep.join(format!("faults-{}.json", bad.seed));
                let shrunk = shrunk(program, schedule(bad.seed))?;
                write(&file, &shrunk)?;
                println!("seed {} broke the bound; kept as {}", bad.seed, file.display());
            }
            Ok(worst <= 0.0)
        }
        "others" => {
            use crate::others::{self, OTHERS};
            use crate::runs::SLACK;
            let jobs: Vec<_> = OTHERS.into_iter().flat_map(|o| seeds.clone().map(move |s| (o, s))).collect();
            let run = async |(limit, seed): &_| others::play(program, *limit, *seed, SLACK).await;
            let played = side_by_side(&jobs, threads, run, |k| progress(&format!("{k:?}")))?;
            println!("| limit | used, load at one | used after all | most | bound |\n| --- | --- | --- | --- | --- |");
            for which in OTHERS {
                let of: Vec<_> = played.iter().filter(|k| k.limit == which).collect();
                let least = |f: fn(&&others::Kept) -> f64| of.iter().map(f).fold(f64::INFINITY, f64::min);
                let most = |f: fn(&&others::Kept) -> f64| of.iter().map(f).fold(0.0, f64::max);
                let (used, after) = (least(|k| k.used), least(|k| k.after));
                println!(
                    "| {which:?} | {used:.2} | {after:.2} | {:.1} | {:.1} |",
                    most(|k| k.most),
                    most(|k| k.bound)
                );
            }
            output.keep(&played, seeds)?;
            Ok(played.iter().all(others::Kept::holds))
        }
        "verdicts" => {
            use crate::sick;
            let jobs: Vec<Schedule> = seeds.clone().map(Schedule::draw).collect();
            let run = async |schedule: &Schedule| sick::judged(program, schedule).await;
            let played = side_by_side(&jobs, threads, run, |p| progress(&format!("{p:?}")))?;
            let sum = |f: fn(&sick::Judged) -> usize| played.iter().map(f).sum::<usize>();
            println!(
                "{} schedules, {} faults of links and processes, {} ill servers of which {} were found, {} fronts with \
                 bad ways: at most {} servers out, {} verdicts on servers that were well, {} left out",
                played.len(),
                sum(|p| p.faults),
                sum(|p| p.ill),
                sum(|p| p.found),
                sum(|p| usize::from(p.bad_front)),
                played.iter().map(|p| p.most_out).max().unwrap_or(0),
                sum(|p| p.innocent),
                sum(|p| p.left_out)
            );
            let bad: Vec<u64> = played.iter().filter(|p| !p.holds()).map(|p| p.seed).collect();
            if !bad.is_empty() {
                println!("broken by the seeds {bad:?}");
            }
            output.keep(&played, seeds)?;
            Ok(bad.is_empty())
        }
        "sick" => {
            use crate::sick::{self, ILLNESSES};
            let mut jobs = Vec::new();
            for illness in ILLNESSES {
                let sizes = fronts.iter().flat_map(|n| [(*n, false), (*n, true)]);
                jobs.extend(sizes.flat_map(|(n, on)| seeds.clone().map(move |seed| (illness, n, on, seed))));
            }
            let run = async |(illness, n, on, seed): &_| sick::play(program, *illness, *n, *on, *seed).await;
            let played = side_by_side(&jobs, threads, run, |p| progress(&format!("{p:?}")))?;
            println!("{}", sick::table(&played));
            output.keep(&played, seeds)?;
            Ok(played.iter().all(|p| p.innocent == 0))
        }
        other => Err(Failure::Unknown(other.to_owned())),
    }
}

fn cost(fronts: &[u16], volumes: &[u64], beats: u32) -> Result<bool, Failure> {
    println!("| fronts | volumes | KB a second | datagrams a second | part of a core | memory, KB | death known after, ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for volumes in volumes {
        for fronts in fronts.iter().filter(|f| **f > 1) {
            let cost = crate::cost::measure(*fronts, *volumes, beats)?;
            println!(
                "| {fronts} | {volumes} | {:.1} | {:.0} | {:.4} | {:.0} | {:.0} |",
                cost.bytes / 1e3,
                cost.datagrams,
                cost.core,
                cost.memory_kb,
                cost.known_ms
            );
        }
    }
    Ok(true)
}

fn up(fronts: usize, load: u32, program: &Path) -> Result<bool, Failure> {
    use crate::process::{Lab, LabError, Make, Sharing, BURST, RATE};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| LabError::System { what: "a runtime", why })?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let lab = Lab::new(program, Make::new(fronts.max(1), Sharing::Peers, 1)).await?;
        println!("{} fronts share a limit of {RATE} units a second and a store of {BURST}", fronts.max(1));
        for front in 0..fronts.max(1) {
            if let (Some(clients), Some(console)) = (lab.clients(front), lab.console(front)) {
                println!("object-{front}: http://{clients}/b0/object?versionId=0.v    console {console}");
                println!("    {} peers --console {console}", program.display());
            }
        }
        lab.load(0, load);
        println!("{load} reads a second come to object-0; interrupt to end them all");
        let mut last = lab.now();
        loop {
            tokio::select! {
                _ = tokio::signal::ctrl_c() => return Ok(true),
                () = tokio::time::sleep(std::time::Duration::from_secs(5)) => {
                    println!("served of the limit in the last 5 s: {:.2}", lab.served(last, lab.now()));
                    last = lab.now();
                }
            }
        }
    })
}

/// A line of progress, on a terminal only.
fn progress(line: &str) {
    use std::io::IsTerminal;
    if std::io::stderr().is_terminal() {
        eprintln!("{line}");
    }
}

fn write(file: &Path, value: &(impl Serialize + ?Sized)) -> Result<(), Failure> {
    let wrong = |why: String| Failure::Write(file.to_owned(), why);
    let bytes = simd_json::serde::to_vec_pretty(value).map_err(|e| wrong(e.to_string()))?;
    if let Some(folder) = file.parent() {
        std::fs::create_dir_all(folder).map_err(|e| wrong(e.to_string()))?;
    }
    std::fs::write(file, bytes).map_err(|e| wrong(e.to_string()))
}

fn replay(file: &Path, program: Option<&PathBuf>) -> Result<bool, Failure> {
    let wrong = |why: String| Failure::Read(file.to_owned(), why);
    let mut bytes = std::fs::read(file).map_err(|e| wrong(e.to_string()))?;
    let schedule: Schedule = simd_json::serde::from_slice(&mut bytes).map_err(|e| wrong(e.to_string()))?;
    if let Some(program) = program {
        let played = play_one(program, &schedule)?;
        println!("{}: {played:?}", if played.beyond <= 0.0 { "holds" } else { "broken" });
        return Ok(played.beyond <= 0.0);
    }
    let verdict = simulate::run(&schedule);
    println!("{}: {verdict:?}", if verdict.holds() { "holds" } else { "broken" });
    Ok(verdict.holds())
}

#[cfg(not(feature = "mutations"))]
fn bugs(_: u64, _: bool) -> Result<bool, Failure> {
    Err(Failure::NotSeeded)
}

#[cfg(feature = "mutations")]
fn bugs(most: u64, of_verdicts: bool) -> Result<bool, Failure> {
    use tulipbridge_fleet_limits::mutations as limits;
    use tulipbridge_outlier_detection::mutations as verdicts;
    Ok(match of_verdicts {
        false => find(&limits::ALL, limits::activate, most, |s| simulate::run(s).holds()),
        true => find(&verdicts::ALL, verdicts::activate, most, |s| crate::verdicts::run(s).holds()),
    })
}

/// Puts each bug in, and looks for a schedule that shows it.
#[cfg(feature = "mutations")]
fn find<B: Copy + std::fmt::Debug>(
    all: &[B],
    activate: impl Fn(Option<B>),
    most: u64,
    holds: impl Fn(&Schedule) -> bool + Sync,
) -> bool {
    let mut found = Vec::new();
    for bug in all.iter().copied() {
        activate(Some(bug));
        let first = Mutex::new(None::<u64>);
        // A few hundred at a time, so that a bug that is found at once costs little.
        for from in (0..most).step_by(500) {
            each(&(from..most.min(from + 500)), |schedule| {
                if !holds(&schedule) {
                    let seed = schedule.seed;
                    let mut first = first.lock().expect("no thread panics");
                    *first = Some(first.map_or(seed, |f| f.min(seed)));
                }
            });
            if first.lock().expect("no thread panics").is_some() {
                break;
            }
        }
        activate(None);
        found.push(first.into_inner().expect("no thread panics"));
    }
    for (bug, seed) in all.iter().zip(&found) {
        match seed {
            Some(seed) => println!("{bug:?}: found by seed {seed}"),
            None => println!("{bug:?}: NOT FOUND in {most} schedules"),
        }
    }
    let count = found.iter().flatten().count();
    println!("{count} of {} seeded bugs found", all.len());
    count == all.len()
}
