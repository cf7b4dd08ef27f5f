//! The front's program; it does not serve yet.

fn main() {
    eprintln!("tulipbridge: this build does not serve yet");
    std::process::exit(2);
}
