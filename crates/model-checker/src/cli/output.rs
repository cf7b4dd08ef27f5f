//! Output of the commands: lines on the standard streams, and files.

use std::fmt;
use std::io::Write;
use std::path::Path;

use serde::Serialize;

use super::error::CommandError;
use crate::history::History;

/// Prints a line on standard output. A closed pipe is not an error: the exit code still holds the
/// result.
pub(super) fn print(text: fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Formats and prints a line with [`print`].
macro_rules! print_line {
    ($($text:tt)*) => { $crate::cli::output::print(format_args!($($text)*)) };
}
pub(super) use print_line;

/// Prints the error of a command. Where standard error is closed, the exit code alone reports it.
pub(super) fn print_error(error: &CommandError) {
    let _ = writeln!(std::io::stderr(), "tulipbridge-check: {error}");
}

/// Writes a text file.
pub(super) fn write_text(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(|source| CommandError::Write {
        path: path.to_owned(),
        source,
    })
}

/// Writes a history to a file, or prints it where no file is given.
pub(super) fn write_or_print(path: Option<&Path>, history: &History) -> Result<(), CommandError> {
    match path {
        Some(path) => write_text(path, &history.to_string())?,
        None => print_line!("{history}"),
    }
    Ok(())
}

/// Writes a value as JSON.
pub(super) fn write_json<T: Serialize>(path: &Path, value: &T) -> Result<(), CommandError> {
    let text = simd_json::to_string_pretty(value).map_err(|source| CommandError::Serialize {
        path: path.to_owned(),
        source,
    })?;
    write_text(path, &text)
}
