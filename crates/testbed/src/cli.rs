//! The command line of `tulipbridge-testbed`.
//!
//! Printed results, exit codes and the names of columns are those of earlier versions: scripts and
//! stored reports depend on them. Earlier names of commands, options and experiments are accepted.

mod arguments;
mod compare;
mod cost;
mod error;
mod files;
mod list;
mod local_fleet;
mod mutations;
mod progress;
mod replay;
mod results;
mod run;
mod simulate;
mod sweep;

use std::process::ExitCode;

use clap::Parser;

use self::arguments::{Arguments, Command};
use self::error::CliError;

/// The exit code of a command that cannot be carried out.
const CANNOT_RUN: u8 = 2;

/// Whether everything that a command checked was valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Valid,
    Invalid,
}

impl Outcome {
    /// The outcome of a check.
    fn of(is_valid: bool) -> Outcome {
        if is_valid {
            Outcome::Valid
        } else {
            Outcome::Invalid
        }
    }
}

/// Runs the program. The exit code is 1 if a bound was broken, and 2 if a command cannot be carried
/// out.
pub fn main() -> ExitCode {
    match run_command(Arguments::parse().command) {
        Ok(Outcome::Valid) => ExitCode::SUCCESS,
        Ok(Outcome::Invalid) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("tulipbridge-testbed: {error}");
            ExitCode::from(CANNOT_RUN)
        }
    }
}

/// Carries out a subcommand.
fn run_command(command: Command) -> Result<Outcome, CliError> {
    match command {
        Command::List => Ok(list::print()),
        Command::Run(arguments) => run::run(&arguments),
        Command::LocalFleet(arguments) => local_fleet::run(&arguments),
        Command::Simulate(arguments) => simulate::run(&arguments),
        Command::Cost(arguments) => cost::run(&arguments),
        Command::Mutations(arguments) => mutations::run(&arguments),
        Command::Replay(arguments) => replay::run(&arguments),
        Command::Compare(arguments) => compare::run(&arguments),
    }
}
