//! Lines for the operators, on standard error.

use std::io::Write;

/// Writes a line. A log that nobody reads any more must not bring a front down, as `eprintln` would.
pub fn line(text: std::fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Writes a line for the operators, formatted as by `format`.
macro_rules! log {
    ($($text:tt)*) => { $crate::telemetry::log::line(format_args!($($text)*)) };
}
pub(crate) use log;
