//! Errors of the adapter. Their messages are part of its interface.

use std::io;

use tulipbridge::control::json_object::JsonObjectError;
use tulipbridge::SettingsError;

use crate::json::WrongKind;

/// Why the adapter ends before its input does.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("line {line}: cannot read: {source}")]
    Read {
        /// Number of the line, from 1.
        line: u64,
        source: io::Error,
    },
    /// A line is not a valid batch.
    #[error("line {line}: {source}")]
    Line {
        /// Number of the line, from 1.
        line: u64,
        source: WireError,
    },
    /// Standard output cannot be written.
    #[error("cannot write: {0}")]
    Write(#[source] io::Error),
}

/// What is wrong with a batch.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    Syntax(#[source] simd_json::Error),
    /// A value is not of the expected kind.
    #[error("{what} must be {expected}")]
    WrongKind {
        /// The value, as the message names it.
        what: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// A required value is missing.
    #[error("'{key}' is missing")]
    Missing { key: &'static str },
    /// An integer does not fit its type.
    #[error("'{key}' is out of range")]
    OutOfRange { key: &'static str },
    /// A word is not in the vocabulary of its key.
    #[error("'{key}' {word} is not known")]
    UnknownWord { key: &'static str, word: String },
    /// A class or plan is not among those of the settings.
    #[error("'{key}' {name} is not in the settings")]
    NotInSettings { key: &'static str, name: String },
    /// The instance has not been started.
    #[error("instance {index} is not known")]
    UnknownInstance { index: i64 },
    /// A value is missing or of the wrong kind.
    #[error(transparent)]
    Value(#[from] WrongKind),
    /// The description of the site is invalid.
    #[error(transparent)]
    Site(#[from] JsonObjectError),
    /// The settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An event is invalid.
    #[error("{name}: {source}")]
    Event {
        /// Name of the event on the wire.
        name: String,
        source: Box<WireError>,
    },
}
