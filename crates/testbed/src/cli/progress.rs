//! Progress of long experiments.

use std::fmt::Display;
use std::io::IsTerminal;

/// Prints a line of progress to the standard error, if that is a terminal.
pub fn report(line: &impl Display) {
    if std::io::stderr().is_terminal() {
        eprintln!("{line}");
    }
}
