//! The command line.

use std::process::ExitCode;

use clap::Parser;

use crate::config::Config;
use crate::front;

/// Runs a storage front as the environment tells it (BALANCER_CONFIG and its companions).
#[derive(Parser)]
#[command(name = "tulipbridge", version)]
struct Arguments {}

/// Runs the program. Bad usage and bad configuration end it with 2 and a plain message.
pub fn main() -> ExitCode {
    let Arguments {} = Arguments::parse();
    match Config::from_env().and_then(front::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("tulipbridge: {why}");
            ExitCode::from(2)
        }
    }
}
