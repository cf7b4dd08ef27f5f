//! The commands of `tulipbridge-check`, one module each.

mod chart;
mod error;
mod explore;
mod list;
mod mutations;
mod output;
mod replay;
mod search;
mod walk;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use output::print_error;

// The doc comments of arguments and commands are the text of `--help`.

/// Explores every reachable state of a front's state machines, and checks properties in each.
#[derive(Parser)]
#[command(
    name = "tulipbridge-check",
    version,
    after_help = "Exit codes: 0 every property holds, 1 a property is violated, \
    2 invalid usage or input, 3 search not exhausted."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Lists configurations, properties and mutations
    List,
    /// Explores every reachable state of configurations
    Explore(explore::ExploreArgs),
    /// Activates mutations of the state machines one at a time, and searches for a history that
    /// detects each (needs a build with `--features mutations`)
    #[command(alias = "seeded")]
    Mutations(mutations::MutationArgs),
    /// Takes random walks, which are the same every time for a seed
    Walk(walk::WalkArgs),
    /// Draws the reports that `explore --json` wrote as an SVG picture
    Chart(chart::ChartArgs),
    /// Replays a history from a file, step by step
    Replay(replay::ReplayArgs),
}

/// The result of a command, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    /// Every property holds in what was explored.
    Holds = 0,
    /// A property is violated.
    Violated = 1,
    /// The command could not be carried out.
    Failed = 2,
    /// No violation was found, but not every state was visited.
    NotExhausted = 3,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Runs the command that the arguments of the process name.
pub fn run() -> ExitCode {
    // A panic of a state machine is a violation that the history reports; its message would only
    // clutter the output.
    std::panic::set_hook(Box::new(|_| {}));
    let result = match Cli::parse().command {
        Command::List => Ok(list::run()),
        Command::Explore(args) => explore::run(&args),
        Command::Mutations(args) => mutations::run(&args),
        Command::Walk(args) => walk::run(&args),
        Command::Chart(args) => chart::run(&args),
        Command::Replay(args) => replay::run(&args),
    };
    let status = result.unwrap_or_else(|error| {
        print_error(&error);
        Status::Failed
    });
    status.into()
}
