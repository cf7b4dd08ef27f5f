//! The program `tulipbridge-lab`.

use std::process::ExitCode;

fn main() -> ExitCode {
    tulipbridge_testbed::cli::main()
}
