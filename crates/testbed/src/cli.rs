//! The command line of `tulipbridge-lab`.
//!
//! Help texts, printed lines, exit codes and error sentences are those of earlier versions: scripts
//! and stored reports depend on them.

mod arguments;
mod compare;
mod cost;
mod error;
mod files;
mod list;
mod mutations;
mod progress;
mod replay;
mod results;
mod run;
mod simulate;
mod sweep;
mod up;

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
            eprintln!("tulipbridge-lab: {error}");
            ExitCode::from(CANNOT_RUN)
        }
    }
}

fn run_command(command: Command) -> Result<Outcome, CliError> {
    match command {
        Command::List => Ok(list::print()),
        Command::Run(arguments) => run::run(&arguments),
        Command::Up(arguments) => up::run(&arguments),
        Command::Simulate(arguments) => simulate::run(&arguments),
        Command::Cost(arguments) => cost::run(&arguments),
        Command::Mutations(arguments) => mutations::run(&arguments),
        Command::Replay(arguments) => replay::run(&arguments),
        Command::Compare(arguments) => compare::run(&arguments),
    }
}
