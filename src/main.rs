//! The program; all of it is in the library.

fn main() -> std::process::ExitCode {
    tulipbridge::cli::main()
}
