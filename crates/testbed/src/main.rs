//! The program `tulipbridge-testbed`.

use std::process::ExitCode;

fn main() -> ExitCode {
    tulipbridge_testbed::cli::main()
}
