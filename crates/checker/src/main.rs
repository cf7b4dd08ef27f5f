//! `tulipbridge-check`: see `tulipbridge_checker`.

fn main() -> std::process::ExitCode {
    tulipbridge_checker::cli::run()
}
