//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::config::Config;
use crate::{front, object};

/// Runs storage fronts. Without a command: one front of the platform, as BALANCER_CONFIG and its companions
/// tell.
#[derive(Parser)]
#[command(name = "tulipbridge", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs an object front.
    Object {
        /// Its configuration, such as deploy/object.json.
        file: PathBuf,
    },
}

/// Runs the program. Bad usage and bad configuration end it with 2 and a plain message.
pub fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        None => Config::from_env().and_then(front::run),
        Some(Command::Object { file }) => object::run(&file),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("tulipbridge: {why}");
            ExitCode::from(2)
        }
    }
}
