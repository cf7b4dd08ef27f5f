//! The commands of `tulipbridge-check`.

use std::io::{IsTerminal, Write};
use std::num::NonZeroUsize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use serde::Serialize;

use crate::configs::Config;
use crate::explore::{explore, walk, Bounds, Explored, Report};
use crate::trace::{shrink, Trace, TraceError};
use crate::{chart, configs, properties, with_config};

/// Explores the states of a front's machines, and holds each against the rules.
#[derive(Parser)]
#[command(
    name = "tulipbridge-check",
    version,
    after_help = "Exit: 0 all holds, 1 a property is broken, \
    2 bad usage or input, 3 not exhausted."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Shows configurations, properties and seeded bugs
    List,
    /// Explores every state of configurations
    Explore {
        /// This one alone
        #[arg(long)]
        config: Option<String>,
        /// The quick ones alone
        #[arg(long)]
        quick: bool,
        /// Writes the reports here
        #[arg(long)]
        json: Option<PathBuf>,
        /// Writes a history that breaks a property here
        #[arg(long)]
        trace: Option<PathBuf>,
        #[command(flatten)]
        bounds: Limits,
    },
    /// Seeds bugs one at a time, and looks whether each is found (needs a build with `--features seeded`)
    Seeded {
        /// This one alone
        #[arg(long)]
        name: Option<String>,
        /// Those of the machine of shared limits instead, in the configurations of that name
        #[arg(long)]
        rights: bool,
        /// Writes the reports here
        #[arg(long)]
        json: Option<PathBuf>,
        /// Writes each history into this directory
        #[arg(long)]
        traces: Option<PathBuf>,
        #[command(flatten)]
        bounds: Limits,
    },
    /// Plays one long random history, the same every time for a seed
    Walk {
        /// The configuration
        #[arg(long, default_value = "large")]
        config: String,
        /// The seed of the first history
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Steps of each history
        #[arg(long, default_value_t = 2000)]
        steps: usize,
        /// How many histories, each with the next seed
        #[arg(long, default_value_t = 1)]
        histories: u64,
        /// Writes a history that breaks a property here, shrunk
        #[arg(long)]
        trace: Option<PathBuf>,
    },
    /// Draws the reports that `explore --json` wrote, as an SVG picture
    Chart {
        /// The reports
        reports: PathBuf,
        /// The picture
        picture: PathBuf,
    },
    /// Plays a history from a file, step by step
    Replay {
        /// The file
        file: PathBuf,
    },
}

#[derive(Args, Clone, Copy)]
struct Limits {
    /// Threads; by default as many as there are cores, four at the most
    #[arg(long)]
    threads: Option<NonZeroUsize>,
    /// Resident memory at the most
    #[arg(long, default_value_t = 12_000)]
    memory_mb: u64,
    /// Seconds for each configuration at the most
    #[arg(long, default_value_t = 3600)]
    seconds: u64,
}

impl Limits {
    fn bounds(self) -> Bounds {
        let cores = std::thread::available_parallelism().map_or(1, NonZeroUsize::get).min(4);
        let cores = NonZeroUsize::new(cores).unwrap_or(NonZeroUsize::MIN);
        Bounds {
            threads: self.threads.unwrap_or(cores),
            memory_mb: self.memory_mb,
            time: Duration::from_secs(self.seconds),
        }
    }
}

/// Why a command could not do its work.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("no configuration is called '{0}'; 'tulipbridge-check list' shows them")]
    Config(String),
    #[error(transparent)]
    Chart(#[from] chart::ChartError),
    #[error(transparent)]
    Trace(#[from] TraceError),
    #[error("cannot write {}: {source}", path.display())]
    Write { path: PathBuf, source: std::io::Error },
    #[error("cannot write {}: {source}", path.display())]
    Json { path: PathBuf, source: simd_json::Error },
    #[cfg(feature = "mutations")]
    #[error("cannot start itself again: {0}")]
    Itself(std::io::Error),
    #[cfg(feature = "mutations")]
    #[error("no seeded bug is called '{0}'; 'tulipbridge-check list' shows them")]
    Bug(String),
    #[cfg(not(feature = "mutations"))]
    #[error(
        "bugs can be seeded only in a build of their own: cargo run --release -p tulipbridge-model-checker \
        --features seeded -- seeded"
    )]
    NotSeeded,
}

const BROKEN: u8 = 1;
const BAD: u8 = 2;
const NOT_EXHAUSTED: u8 = 3;

/// Runs the command that the arguments tell.
pub fn run() -> ExitCode {
    // A panic of the front is a property broken, told in the history; its text would only stand in the way.
    std::panic::set_hook(Box::new(|_| {}));
    let done = match Cli::parse().command {
        Command::List => list(),
        Command::Explore { config, quick, json, trace, bounds } => {
            explore_all(config.as_deref(), quick, json.as_deref(), trace.as_deref(), bounds.bounds())
        }
        Command::Seeded { rights: true, name, bounds, .. } => rights(name.as_deref(), bounds.bounds()),
        Command::Seeded { name, json, traces, bounds, .. } => {
            seeded(name.as_deref(), json.as_deref(), traces.as_deref(), bounds.bounds())
        }
        Command::Walk { config, seed, steps, histories, trace } => {
            walks(&config, seed, steps, histories, trace.as_deref())
        }
        Command::Chart { reports, picture } => chart::read(&reports)
            .and_then(|bars| chart::draw(&bars, &picture))
            .map(|()| 0)
            .map_err(Failure::from),
        Command::Replay { file } => replay(&file),
    };
    match done {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            let _ = writeln!(std::io::stderr(), "tulipbridge-check: {why}");
            ExitCode::from(BAD)
        }
    }
}

/// A line for whoever reads; a pipe that is closed ends nothing.
fn say(text: std::fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

macro_rules! say {
    ($($text:tt)*) => { say(format_args!($($text)*)) };
}

fn list() -> Result<u8, Failure> {
    say!("configurations:");
    for world in configs::all().into_iter().chain([Config::Front(configs::large())]) {
        let card = world.card();
        say!("  {:<14} {}{}", card.name, card.about, if card.quick { " (quick)" } else { "" });
    }
    say!("configurations that are known not to hold (see docs/ROADMAP.md):");
    for world in configs::open() {
        say!("  {:<14} {}", world.name, world.about);
    }
    say!("properties:");
    for property in properties::ALL {
        say!("  {:<26} {} [{}]", property.name, property.sentence, property.rule);
    }
    say!("seeded bugs:");
    for (_, name, _) in tulipbridge_core::mutations::ALL {
        say!("  {name}");
    }
    Ok(0)
}

fn one(name: &str) -> Result<Config, Failure> {
    configs::named(name).ok_or_else(|| Failure::Config(name.to_owned()))
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|source| Failure::Write { path: path.to_owned(), source })
}

fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), Failure> {
    let text = simd_json::to_string_pretty(value)
        .map_err(|source| Failure::Json { path: path.to_owned(), source })?;
    write(path, &text)
}

/// Searches, with a line of progress where somebody looks.
fn search(config: Config, bounds: Bounds) -> Report {
    let (terminal, name) = (std::io::stderr().is_terminal(), config.card().name);
    let progress = |states: usize, depth: usize| {
        if terminal {
            let _ = write!(std::io::stderr(), "\r{name}: {states} states, depth {depth}   ");
        }
    };
    let report = with_config!(config, world => explore(world, bounds, progress));
    if terminal {
        let _ = write!(std::io::stderr(), "\r\x1b[K");
    }
    report
}

fn explore_all(
    config: Option<&str>,
    quick: bool,
    json: Option<&Path>,
    trace: Option<&Path>,
    bounds: Bounds,
) -> Result<u8, Failure> {
    let worlds = match config {
        Some(name) => vec![one(name)?],
        None => configs::all().into_iter().filter(|c| c.card().quick || !quick).collect(),
    };
    say!(
        "{:<14} {:>10} {:>11} {:>6} {:>8} {:>8} {:>10}  result",
        "config",
        "states",
        "steps",
        "depth",
        "seconds",
        "MB",
        "states/s"
    );
    let (mut code, mut reports) = (0, Vec::new());
    for world in worlds {
        let report = search(world, bounds);
        let result = match (&report.broken, report.exhausted) {
            (Some(trace), _) => format!("BROKEN: {}", trace.breaks.join(", ")),
            (None, true) => "holds, nothing left".to_owned(),
            (None, false) => "NOT EXHAUSTED".to_owned(),
        };
        let speed = report.states as f64 / report.seconds.max(1e-3);
        say!(
            "{:<14} {:>10} {:>11} {:>6} {:>8.1} {:>8} {:>10.0}  {result}",
            report.config,
            report.states,
            report.steps,
            report.depth,
            report.seconds,
            report.memory_mb,
            speed
        );
        if let Some(found) = &report.broken {
            code = BROKEN;
            match trace {
                Some(path) => write(path, &found.to_string())?,
                None => say!("{found}"),
            }
        } else if !report.exhausted && code == 0 {
            code = NOT_EXHAUSTED;
        }
        let out_of_memory = report.memory_mb > bounds.memory_mb;
        reports.push(report);
        if out_of_memory {
            break;
        }
    }
    if let Some(path) = json {
        write_json(path, &reports)?;
    }
    Ok(code)
}

#[cfg(not(feature = "mutations"))]
fn seeded(_: Option<&str>, _: Option<&Path>, _: Option<&Path>, _: Bounds) -> Result<u8, Failure> {
    Err(Failure::NotSeeded)
}

/// Which bugs in the machine of shared limits are found, and by how long a history. Each is looked for by a process of
/// its own, which gives all its memory back.
#[cfg(feature = "mutations")]
fn rights(name: Option<&str>, bounds: Bounds) -> Result<u8, Failure> {
    use tulipbridge_fleet_limits::mutations::{activate, ALL};
    let Some(name) = name else {
        let program = std::env::current_exe().map_err(Failure::Itself)?;
        let mut found = 0;
        for bug in ALL {
            let mut again = std::process::Command::new(&program);
            again.args(["seeded", "--rights", "--name", &format!("{bug:?}")]);
            again.args([
                "--threads",
                &bounds.threads.to_string(),
                "--memory-mb",
                &bounds.memory_mb.to_string(),
            ]);
            let ended = again.args(["--seconds", &bounds.time.as_secs().to_string()]).status();
            found += usize::from(ended.map_err(Failure::Itself)?.code() == Some(i32::from(BROKEN)));
        }
        say!("{found} of {} seeded bugs found", ALL.len());
        return Ok(0);
    };
    let bug = ALL.into_iter().find(|bug| format!("{bug:?}") == name);
    let bug = bug.ok_or_else(|| Failure::Bug(name.to_owned()))?;
    activate(Some(bug));
    let worlds = configs::all().into_iter().filter(|c| matches!(c, Config::Rights(_)));
    let found = worlds.map(|world| search(world, bounds)).find_map(|r| Some((r.config, r.broken?)));
    match &found {
        Some((config, trace)) => say!("{bug:?}: found in {config}, {} steps", trace.steps.len()),
        None => say!("{bug:?}: not found"),
    }
    Ok(if found.is_some() { BROKEN } else { 0 })
}

#[cfg(not(feature = "mutations"))]
fn rights(_: Option<&str>, _: Bounds) -> Result<u8, Failure> {
    Err(Failure::NotSeeded)
}

/// What became of one seeded bug.
#[cfg(feature = "mutations")]
#[derive(Serialize)]
struct Seeded {
    bug: &'static str,
    found: bool,
    config: &'static str,
    breaks: String,
    length: usize,
    seconds: f64,
    states: usize,
    /// Of a thousand random histories of that length, how many break a property.
    random_of_1000: usize,
}

#[cfg(feature = "mutations")]
fn seeded(
    name: Option<&str>,
    json: Option<&Path>,
    traces: Option<&Path>,
    bounds: Bounds,
) -> Result<u8, Failure> {
    use tulipbridge_core::mutations::{activate, Part, ALL};
    let chosen: Vec<_> = ALL.iter().filter(|(_, n, _)| name.is_none_or(|name| name == *n)).collect();
    if let Some(name) = name.filter(|_| chosen.is_empty()) {
        return Err(Failure::Bug(name.to_owned()));
    }
    say!(
        "{:<28} {:<14} {:<28} {:>6} {:>9} {:>8} {:>12}",
        "bug",
        "config",
        "breaks",
        "length",
        "states",
        "seconds",
        "random/1000"
    );
    let (mut code, mut rows) = (0, Vec::new());
    for (bug, name, part) in chosen {
        activate(Some(*bug));
        let (mut seconds, mut states) = (0.0, 0);
        let mut found = None;
        let mut worlds: Vec<Config> = configs::all().into_iter().filter(|c| c.card().quick).collect();
        // Bugs of the machines of limits are another list: `rights`.
        worlds.retain(|c| !matches!(c, Config::Rights(_)));
        // Where the bug is, it is found soonest.
        worlds.sort_by_key(|c| match c {
            Config::Entrance(_) => *part != Part::Door,
            Config::Register(_) => *part != Part::Watch,
            _ => *part != Part::Front,
        });
        for world in worlds {
            // One thread: the first history found is then a shortest one.
            let report = search(world.clone(), Bounds { threads: NonZeroUsize::MIN, ..bounds });
            seconds += report.seconds;
            states += report.states;
            if let Some(trace) = report.broken {
                found = Some((world, trace));
                break;
            }
        }
        let row = match found {
            Some((world, trace)) => {
                let length = trace.steps.len();
                let breaks = |s: &u64| with_config!(&world, w => !Trace::of(w, &walk(w, *s, length)).breaks.is_empty());
                if let Some(dir) = traces {
                    write(&dir.join(format!("{name}.trace")), &trace.to_string())?;
                }
                let random_of_1000 = (0..1000).filter(breaks).count();
                let breaks = trace.breaks.join(", ");
                Seeded {
                    bug: name,
                    found: true,
                    config: world.card().name,
                    breaks,
                    length,
                    seconds,
                    states,
                    random_of_1000,
                }
            }
            None => {
                code = BROKEN;
                let breaks = "NOT FOUND".to_owned();
                Seeded {
                    bug: name,
                    found: false,
                    config: "-",
                    breaks,
                    length: 0,
                    seconds,
                    states,
                    random_of_1000: 0,
                }
            }
        };
        say!(
            "{:<28} {:<14} {:<28} {:>6} {:>9} {:>8.2} {:>12}",
            row.bug,
            row.config,
            row.breaks,
            row.length,
            row.states,
            row.seconds,
            row.random_of_1000
        );
        rows.push(row);
    }
    activate(None);
    if let Some(path) = json {
        write_json(path, &rows)?;
    }
    Ok(code)
}

fn walks(config: &str, seed: u64, steps: usize, histories: u64, trace: Option<&Path>) -> Result<u8, Failure> {
    with_config!(one(config)?, world => walk_all(&world, seed, steps, histories, trace))
}

fn walk_all<W: Explored>(
    world: &W,
    seed: u64,
    steps: usize,
    histories: u64,
    trace: Option<&Path>,
) -> Result<u8, Failure> {
    let mut taken = 0;
    for seed in seed..seed.saturating_add(histories) {
        let history = walk(world, seed, steps);
        taken += history.len();
        let found = Trace::of(world, &history);
        if !found.breaks.is_empty() {
            let short = shrink(world, &history, |s| world.broken_names(s) == found.breaks);
            let (long, short) = (history.len(), Trace::of(world, &short));
            let broken = found.breaks.join(", ");
            say!("seed {seed}: {broken} broken after {long} steps, {} when shrunk", short.steps.len());
            match trace {
                Some(path) => write(path, &short.to_string())?,
                None => say!("{short}"),
            }
            return Ok(BROKEN);
        }
    }
    say!("{histories} histories of {}, {taken} steps: all holds", world.card().name);
    Ok(0)
}

fn replay(file: &Path) -> Result<u8, Failure> {
    let (config, trace) = Trace::read(file)?;
    let (mut number, mut broken) = (0, false);
    let each = |step: &str, names: &[&str]| {
        number += 1;
        broken = !names.is_empty();
        let breaks = if broken { format!("   BREAKS {}", names.join(", ")) } else { String::new() };
        say!("{number:>4}  {step}{breaks}");
    };
    with_config!(&config, world => trace.replay(world, each).map(|_| ()))?;
    Ok(if broken { BROKEN } else { 0 })
}
