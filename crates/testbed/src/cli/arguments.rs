//! The arguments of the program and of each subcommand.
//!
//! Doc comments of arguments are their help texts. Names of earlier versions stay as hidden aliases.

use std::ops::Range;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

use super::sweep::parse_seeds;

/// Where a release build leaves the program under test.
const DEFAULT_PROGRAM: &str = "target/release/tulipbridge";
/// Where schedules that failed are stored.
const DEFAULT_SCHEDULES: &str = "target/lab";

/// Runs many fronts, simulated or as processes, injects faults and checks the limits of the fleet.
#[derive(Parser)]
#[command(name = "tulipbridge-testbed", version, about)]
pub struct Arguments {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands. Their help texts are set explicitly, as the doc comments of their arguments would
/// replace the doc comments here.
#[derive(Subcommand)]
pub enum Command {
    /// Lists the experiments and simulations.
    List,
    /// Runs an experiment with real processes.
    #[command(about = "Runs an experiment with processes of the program; `list` shows the names")]
    Run(RunArguments),
    /// Starts a testbed and keeps it until interrupted.
    #[command(
        alias = "up",
        about = "Starts fronts that share a limit, with a chunk server, and keeps them until interrupted"
    )]
    LocalFleet(LocalFleetArguments),
    /// Runs a simulation for many seeds.
    #[command(
        about = "Runs a simulation of the state machines under random fault schedules; `list` shows the names"
    )]
    Simulate(SimulateArguments),
    /// Measures the cost of sharing limits.
    #[command(
        about = "Measures what sharing limits costs a front, by the size of the fleet, in one process"
    )]
    Cost(CostArguments),
    /// Finds the seed by which the simulations detect each mutation.
    #[command(
        alias = "bugs",
        about = "Prints by which seed the simulations detect each mutation (feature `mutations`)"
    )]
    Mutations(MutationsArguments),
    /// Runs a stored schedule.
    #[command(about = "Runs a stored schedule")]
    Replay(ReplayArguments),
    /// Compares two stored results.
    #[command(
        about = "Compares the JSON results of two runs by metric; exits with 1 if one differs significantly"
    )]
    Compare(CompareArguments),
}

/// The arguments of `run`.
#[derive(Args)]
pub struct RunArguments {
    /// The experiment; `list` shows the names.
    pub name: String,
    /// The program under test.
    #[arg(long, default_value = DEFAULT_PROGRAM)]
    pub program: PathBuf,
    /// The seeds, FROM..TO.
    #[arg(long, default_value = "0..5", value_parser = parse_seeds)]
    pub seeds: Range<u64>,
    /// How many testbeds run at the same time.
    #[arg(long, alias = "side-by-side", default_value_t = 4)]
    pub parallel: usize,
    /// The numbers of fronts, for `server-faults` only.
    #[arg(long, value_delimiter = ',', default_value = "4,8,24")]
    pub fronts: Vec<usize>,
    /// Where the results go.
    #[command(flatten)]
    pub results: ResultArguments,
}

/// Where the results of an experiment are stored.
#[derive(Args)]
pub struct ResultArguments {
    /// A file for the results as JSON, an array of rows.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// A file for the results as Parquet, with the commit, the seeds and the program's version.
    #[arg(long)]
    pub parquet: Option<PathBuf>,
    /// A file for a chart of one metric, as SVG.
    #[arg(long)]
    pub svg: Option<PathBuf>,
    /// The metric that the chart shows.
    #[arg(long, alias = "figure", default_value = "beyond")]
    pub metric: String,
    /// A directory for schedules that failed.
    #[arg(long = "failed-schedules", alias = "keep", value_name = "DIRECTORY", default_value = DEFAULT_SCHEDULES)]
    pub schedules: PathBuf,
}

/// The arguments of `local-fleet`.
#[derive(Args)]
pub struct LocalFleetArguments {
    /// How many fronts there are.
    #[arg(long, default_value_t = 4)]
    pub fronts: usize,
    /// The load of the first front, in reads a second.
    #[arg(long, default_value_t = 160)]
    pub load: u32,
    /// The program under test.
    #[arg(long, default_value = DEFAULT_PROGRAM)]
    pub program: PathBuf,
}

/// The arguments of `simulate`.
#[derive(Args)]
pub struct SimulateArguments {
    /// The simulation; `list` shows the names.
    pub name: String,
    /// The seeds of the schedules, FROM..TO.
    #[arg(long, default_value = "0..2000", value_parser = parse_seeds)]
    pub seeds: Range<u64>,
    /// A file for the reports, as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// A directory for schedules that failed, reduced to the steps that the failure needs.
    #[arg(long = "failed-schedules", alias = "keep", value_name = "DIRECTORY", default_value = DEFAULT_SCHEDULES)]
    pub schedules: PathBuf,
}

/// The arguments of `cost`.
#[derive(Args)]
pub struct CostArguments {
    /// The numbers of fronts.
    #[arg(long, value_delimiter = ',', default_value = "4,30,300")]
    pub fronts: Vec<u16>,
    /// The numbers of volumes for which each front has demand.
    #[arg(long, value_delimiter = ',', default_value = "1,300")]
    pub volumes: Vec<u64>,
    /// How many heartbeat rounds are measured.
    #[arg(long, alias = "beats", default_value_t = 10)]
    pub rounds: u32,
}

/// The arguments of `mutations`.
#[derive(Args)]
pub struct MutationsArguments {
    /// The maximum number of schedules for each mutation.
    #[arg(long, alias = "most", default_value_t = 4000)]
    pub max_schedules: u64,
    /// Mutates outlier detection instead of fleet limits.
    #[arg(long, alias = "verdicts")]
    pub outlier_detection: bool,
}

/// The arguments of `replay`.
#[derive(Args)]
pub struct ReplayArguments {
    /// The file with the schedule.
    pub file: PathBuf,
    /// Runs processes of the program instead of the simulation.
    #[arg(long)]
    pub processes: bool,
    /// The program under test.
    #[arg(long, default_value = DEFAULT_PROGRAM)]
    pub program: PathBuf,
}

/// The arguments of `compare`.
#[derive(Args)]
pub struct CompareArguments {
    /// The file with the earlier results.
    pub first: PathBuf,
    /// The file with the later results.
    pub second: PathBuf,
    /// The level of significance: p-values below it are significant.
    #[arg(long, alias = "chance", default_value_t = 0.01)]
    pub significance: f64,
}
