//! The `tulipbridge` program. All of its code is in the library.

fn main() -> std::process::ExitCode {
    tulipbridge::cli::main()
}
