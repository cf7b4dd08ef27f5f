//! Errors of the adapter. Their messages are part of the adapter's interface.

use std::io;

use tulipbridge::control::json_object::JsonObjectError;
use tulipbridge::SettingsError;

use crate::json::WrongKind;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("line {line}: cannot read: {source}")]
    Read {
        /// The number of the input line, starting at 1.
        line: u64,
        source: io::Error,
    },
    /// A line is not a valid batch.
    #[error("line {line}: {source}")]
    Line {
        /// The number of the input line, starting at 1.
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
        /// The value, as named in the message.
        what: &'static str,
        /// The kind that the value must be of.
        expected: &'static str,
    },
    /// A required value is missing.
    #[error("'{key}' is missing")]
    Missing { key: &'static str },
    /// An integer does not fit its type.
    #[error("'{key}' is out of range")]
    OutOfRange { key: &'static str },
    /// A word is not among the known values of its key.
    #[error("'{key}' {word} is not known")]
    UnknownWord { key: &'static str, word: String },
    /// A class or plan is not in the settings.
    #[error("'{key}' {name} is not in the settings")]
    NotInSettings { key: &'static str, name: String },
    /// No instance with this index is running.
    #[error("instance {index} is not known")]
    UnknownInstance { index: i64 },
    /// A value is missing or of the wrong kind.
    #[error(transparent)]
    Value(#[from] WrongKind),
    /// The settings of the site are invalid.
    #[error(transparent)]
    Site(#[from] JsonObjectError),
    /// The settings contradict each other.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An event is invalid.
    #[error("{name}: {source}")]
    Event {
        /// The name of the event on the wire.
        name: String,
        source: Box<WireError>,
    },
}
