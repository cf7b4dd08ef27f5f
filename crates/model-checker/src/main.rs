//! The program `tulipbridge-check`: see [`tulipbridge_model_checker`].

fn main() -> std::process::ExitCode {
    tulipbridge_model_checker::cli::run()
}
