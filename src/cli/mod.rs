//! The command line: parses the arguments and runs the command that they name.

mod agent;
mod arguments;
mod client;
mod ejections;
mod error;
mod peers;

use std::process::ExitCode;

use clap::Parser;

use crate::allocator::return_large_blocks_when_freed;
use crate::cli::agent::{drain, restart, resume, show_status};
use crate::cli::arguments::{Arguments, Command, DeclarationSource};
use crate::cli::error::CliError;
use crate::config::Config;
use crate::control::agent::etcd::EtcdPrefix;
use crate::control::agent::Source;
use crate::runtime::on_one_thread;
use crate::telemetry::log::log;
use crate::{control, front, object};

/// Exit code after an error; the same as for invalid arguments.
const EXIT_ERROR: u8 = 2;

/// Runs the program. Any error is logged as one line and ends the program with exit code 2.
pub fn main() -> ExitCode {
    return_large_blocks_when_freed();
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("tulipbridge: {error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}

/// Runs a command; without one, runs a front of the platform.
fn run(command: Option<Command>) -> Result<(), CliError> {
    match command {
        None => Ok(front::run(Config::from_env()?)?),
        Some(Command::Object { file }) => Ok(object::run(&file)?),
        Some(Command::Agent {
            source,
            prefix,
            control,
        }) => Ok(control::agent::run(
            declaration_source(source, prefix)?,
            control,
        )?),
        Some(Command::Status(api)) => on_one_thread(show_status(api.agent)),
        Some(Command::Peers { console, output }) => on_one_thread(peers::show(console, output)),
        Some(Command::Ejections { console, output }) => {
            on_one_thread(ejections::show(console, output))
        }
        Some(Command::Explain {
            server,
            console,
            output,
        }) => on_one_thread(ejections::explain(server, console, output)),
        Some(Command::Drain { name, api }) => on_one_thread(drain(api.agent, name)),
        Some(Command::Resume { name, api }) => on_one_thread(resume(api.agent, name)),
        Some(Command::Restart { names, api }) => on_one_thread(restart(api.agent, names)),
    }
}

/// Returns the source from which the agent reads the declarations of its fronts.
fn declaration_source(source: DeclarationSource, prefix: String) -> Result<Source, CliError> {
    match (source.file, source.etcd) {
        (Some(file), _) => Ok(Source::File(file)),
        (None, Some(address)) => Ok(Source::Etcd(EtcdPrefix { address, prefix })),
        (None, None) => Err(CliError::NoDeclarationSource),
    }
}
