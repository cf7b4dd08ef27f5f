//! The program `tulipbridge-check`: see [`tulipbridge_model_checker`].

/// Runs the command that the arguments name, and ends with its exit code.
fn main() -> std::process::ExitCode {
    tulipbridge_model_checker::cli::run()
}
