//! Output of the commands: lines on the standard streams, and files.

use std::fmt;
use std::io::{self, IsTerminal, Write};
use std::path::Path;

use serde::Serialize;

use super::error::CommandError;
use crate::explore::Progress;
use crate::history::History;

/// Control sequence that returns to the start of the line and erases it.
const ERASE_LINE: &str = "\r\x1b[K";

/// Prints a line on standard output.
pub(super) fn print(text: fmt::Arguments<'_>) {
    ignore_closed_stream(writeln!(io::stdout(), "{text}"));
}

/// Formats and prints a line with [`print`].
macro_rules! print_line {
    ($($text:tt)*) => { $crate::cli::output::print(format_args!($($text)*)) };
}
pub(super) use print_line;

/// Prints the error of a command.
pub(super) fn print_error(error: &CommandError) {
    ignore_closed_stream(writeln!(io::stderr(), "tulipbridge-check: {error}"));
}

/// A line on standard error that shows the progress of a search, if that is a terminal.
pub(super) struct ProgressLine {
    config: &'static str,
    is_terminal: bool,
}

impl ProgressLine {
    /// A line for the search of a configuration.
    pub(super) fn new(config: &'static str) -> ProgressLine {
        ProgressLine {
            config,
            is_terminal: io::stderr().is_terminal(),
        }
    }

    /// Overwrites the line with the present progress.
    pub(super) fn show(&self, progress: Progress) {
        if self.is_terminal {
            let Progress { states, depth } = progress;
            let config = self.config;
            let mut stderr = io::stderr();
            ignore_closed_stream(write!(
                stderr,
                "\r{config}: {states} states, depth {depth}   "
            ));
        }
    }

    /// Erases the line.
    pub(super) fn erase(self) {
        if self.is_terminal {
            ignore_closed_stream(write!(io::stderr(), "{ERASE_LINE}"));
        }
    }
}

/// Ignores that a standard stream cannot be written, as where a pipe is closed: the exit code still
/// holds the result.
fn ignore_closed_stream(result: io::Result<()>) {
    drop(result);
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
