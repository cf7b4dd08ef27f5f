//! Log lines for operators, on standard error.

use std::fmt::Arguments;
use std::io::Write;

/// Writes a log line.
pub fn line(text: Arguments<'_>) {
    // Unlike `eprintln`, ignores errors: a front must survive a closed log.
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Writes a log line, formatted as by `format`.
macro_rules! log {
    ($($text:tt)*) => { $crate::telemetry::log::line(format_args!($($text)*)) };
}
pub(crate) use log;
