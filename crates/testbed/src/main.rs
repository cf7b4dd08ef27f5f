//! The lab's program.

use std::process::ExitCode;

fn main() -> ExitCode {
    tulipbridge_testbed::cli::main()
}
