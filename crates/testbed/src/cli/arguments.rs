//! The arguments of the program and of each subcommand.

use std::ops::Range;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

use super::sweep::parse_seeds;

/// Where a release build leaves the program.
const DEFAULT_PROGRAM: &str = "target/release/tulipbridge";
/// Where schedules that failed are stored.
const DEFAULT_SCHEDULES: &str = "target/lab";

/// The arguments of the program.
#[derive(Parser)]
#[command(
    name = "tulipbridge-lab",
    version,
    about = "Shows what many fronts do together when parts of the system fail"
)]
pub struct Arguments {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Lists the experiments and simulations.
    #[command(about = "Names what can be simulated")]
    List,
    /// Runs an experiment with real processes.
    #[command(
        about = "Runs processes of the program: `cases` (loads, before and with peers), `hard` (each fault by name), `others` (limits that are no volume's), `sick` (a server that is bad), `verdicts` (schedules with bad servers), `soak` and `calm` (platform fronts under troubles that overlap, or none) or `faults` (schedules from seeds)"
    )]
    Run(RunArguments),
    /// Starts a testbed and keeps it until interrupted.
    #[command(
        about = "Starts fronts that share a limit, with a chunk server, and keeps them until it is interrupted: to look round"
    )]
    Up(UpArguments),
    /// Runs a simulation for many seeds.
    #[command(about = "Plays schedules of faults against the machines, in one process")]
    Simulate(SimulateArguments),
    /// Measures the cost of sharing limits.
    #[command(
        about = "Measures what sharing limits costs a front, by the size of the fleet, in one process"
    )]
    Cost(CostArguments),
    /// Finds the seed by which the simulations detect each mutation.
    #[command(
        name = "bugs",
        about = "Puts bugs into the machines, one at a time, and tells by which seed each is found (feature `seeded`)"
    )]
    Mutations(MutationsArguments),
    /// Runs a stored schedule.
    #[command(about = "Plays a schedule that was kept")]
    Replay(ReplayArguments),
    /// Compares two stored results.
    #[command(
        about = "Compares what two runs kept as JSON, figure by figure; 1 where one differs beyond chance"
    )]
    Compare(CompareArguments),
}

/// The arguments of `run`.
#[derive(Args)]
pub struct RunArguments {
    /// The name of the experiment.
    #[arg(help = "Which")]
    pub name: String,
    /// The program under test.
    #[arg(long, default_value = DEFAULT_PROGRAM, help = "The built program")]
    pub program: PathBuf,
    /// The seeds.
    #[arg(long, default_value = "0..5", value_parser = parse_seeds, help = "The seeds, FROM..TO")]
    pub seeds: Range<u64>,
    /// How many testbeds run at the same time.
    #[arg(
        long = "side-by-side",
        value_name = "SIDE_BY_SIDE",
        default_value_t = 4,
        help = "Labs at once"
    )]
    pub parallel: usize,
    /// The numbers of fronts, for the experiment `sick`.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "4,8,24",
        help = "How many fronts, of `sick` alone"
    )]
    pub fronts: Vec<usize>,
    /// Where the results go.
    #[command(flatten)]
    pub results: ResultArguments,
}

/// Where the results of an experiment are stored.
#[derive(Args)]
pub struct ResultArguments {
    /// A JSON file for the rows.
    #[arg(long, help = "As JSON, an array of rows")]
    pub json: Option<PathBuf>,
    /// A Parquet file for the rows.
    #[arg(
        long,
        help = "As Parquet, with the commit, the seeds and the program's version"
    )]
    pub parquet: Option<PathBuf>,
    /// An SVG file for a chart.
    #[arg(long, help = "A picture of one figure")]
    pub svg: Option<PathBuf>,
    /// The column that the chart shows.
    #[arg(
        long,
        default_value = "beyond",
        help = "Which figure the picture is of"
    )]
    pub figure: String,
    /// A directory for schedules that failed.
    #[arg(
        long = "keep",
        value_name = "KEEP",
        default_value = DEFAULT_SCHEDULES,
        help = "Where schedules that failed go"
    )]
    pub schedules: PathBuf,
}

/// The arguments of `up`.
#[derive(Args)]
pub struct UpArguments {
    /// How many fronts there are.
    #[arg(long, default_value_t = 4, help = "How many fronts")]
    pub fronts: usize,
    /// The load of the first front, in reads a second.
    #[arg(
        long,
        default_value_t = 160,
        help = "Reads a second that come to the first of them"
    )]
    pub load: u32,
    /// The program under test.
    #[arg(long, default_value = DEFAULT_PROGRAM, help = "The built program")]
    pub program: PathBuf,
}

/// The arguments of `simulate`.
#[derive(Args)]
pub struct SimulateArguments {
    /// The name of the simulation.
    #[arg(help = "Which, such as limits")]
    pub name: String,
    /// The seeds of the schedules.
    #[arg(
        long,
        default_value = "0..2000",
        value_parser = parse_seeds,
        help = "The seeds that schedules are drawn from, FROM..TO"
    )]
    pub seeds: Range<u64>,
    /// A JSON file for the reports.
    #[arg(long, help = "Where what was seen goes, as JSON")]
    pub json: Option<PathBuf>,
    /// A directory for schedules that failed.
    #[arg(
        long = "keep",
        value_name = "KEEP",
        default_value = DEFAULT_SCHEDULES,
        help = "Where schedules that failed are kept, shrunk to what the failure needs"
    )]
    pub schedules: PathBuf,
}

/// The arguments of `cost`.
#[derive(Args)]
pub struct CostArguments {
    /// The numbers of fronts.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "4,30,300",
        help = "Fronts"
    )]
    pub fronts: Vec<u16>,
    /// The numbers of volumes.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "1,300",
        help = "Volumes that each front is asked for"
    )]
    pub volumes: Vec<u64>,
    /// How many rounds are measured.
    #[arg(
        long = "beats",
        value_name = "BEATS",
        default_value_t = 10,
        help = "Beats that are measured"
    )]
    pub rounds: u32,
}

/// The arguments of `bugs`.
#[derive(Args)]
pub struct MutationsArguments {
    /// The most schedules for each mutation.
    #[arg(
        long = "most",
        value_name = "MOST",
        default_value_t = 4000,
        help = "Most schedules for each"
    )]
    pub max_schedules: u64,
    /// Whether outlier detection is mutated.
    #[arg(
        long = "verdicts",
        help = "Into the machine of verdicts, instead of that of limits"
    )]
    pub outlier_detection: bool,
}

/// The arguments of `replay`.
#[derive(Args)]
pub struct ReplayArguments {
    /// The file with the schedule.
    #[arg(help = "Its file")]
    pub file: PathBuf,
    /// Whether real processes run the schedule.
    #[arg(
        long,
        help = "With processes of the program, instead of the machines in one"
    )]
    pub processes: bool,
    /// The program under test.
    #[arg(long, default_value = DEFAULT_PROGRAM, help = "The built program")]
    pub program: PathBuf,
}

/// The arguments of `compare`.
#[derive(Args)]
pub struct CompareArguments {
    /// The earlier results.
    #[arg(help = "The earlier one")]
    pub first: PathBuf,
    /// The later results.
    #[arg(help = "The later one")]
    pub second: PathBuf,
    /// The level of significance.
    #[arg(
        long = "chance",
        value_name = "CHANCE",
        default_value_t = 0.01,
        help = "Reorderings of which fewer than this part differ as much are beyond chance"
    )]
    pub significance: f64,
}
