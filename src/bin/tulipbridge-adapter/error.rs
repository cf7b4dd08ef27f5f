//! Errors of the adapter. Their messages are part of its interface.

use std::error::Error;
use std::fmt::{Display, Formatter};
use std::io;

use tulipbridge::SettingsError;

/// Why the adapter ends before its input does.
#[derive(Debug)]
pub enum AdapterError {
    /// Standard input cannot be read.
    Read {
        /// Number of the line, from 1.
        line: u64,
        source: io::Error,
    },
    /// A line is not a valid batch.
    Line {
        /// Number of the line, from 1.
        line: u64,
        source: WireError,
    },
    /// Standard output cannot be written.
    Write(io::Error),
}

impl Display for AdapterError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            AdapterError::Read { line, source } => write!(f, "line {line}: cannot read: {source}"),
            AdapterError::Line { line, source } => write!(f, "line {line}: {source}"),
            AdapterError::Write(source) => write!(f, "cannot write: {source}"),
        }
    }
}

impl Error for AdapterError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            AdapterError::Read { source, .. } | AdapterError::Write(source) => Some(source),
            AdapterError::Line { source, .. } => Some(source),
        }
    }
}

/// What is wrong with a batch.
#[derive(Debug)]
pub enum WireError {
    /// The line is not JSON.
    Syntax(simd_json::Error),
    /// A value is not of the expected kind.
    WrongKind {
        /// The value, as the message names it.
        what: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// A required value is missing.
    Missing { key: &'static str },
    /// An integer does not fit its type.
    OutOfRange { key: &'static str },
    /// A word is not in the vocabulary of its key.
    UnknownWord { key: &'static str, word: String },
    /// A class or plan is not among those of the settings.
    NotInSettings { key: &'static str, name: String },
    /// The instance has not been started.
    UnknownInstance { index: i64 },
    /// A value was rejected by the readers of the settings.
    Value(String),
    /// The settings contradict each other.
    Settings(SettingsError),
    /// An event is invalid.
    Event {
        /// Name of the event on the wire.
        name: String,
        source: Box<WireError>,
    },
}

impl Display for WireError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            WireError::Syntax(source) => write!(f, "not JSON: {source}"),
            WireError::WrongKind { what, expected } => write!(f, "{what} must be {expected}"),
            WireError::Missing { key } => write!(f, "'{key}' is missing"),
            WireError::OutOfRange { key } => write!(f, "'{key}' is out of range"),
            WireError::UnknownWord { key, word } => write!(f, "'{key}' {word} is not known"),
            WireError::NotInSettings { key, name } => write!(f, "'{key}' {name} is not in the settings"),
            WireError::UnknownInstance { index } => write!(f, "instance {index} is not known"),
            WireError::Value(message) => f.write_str(message),
            WireError::Settings(source) => write!(f, "{source}"),
            WireError::Event { name, source } => write!(f, "{name}: {source}"),
        }
    }
}

impl Error for WireError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            WireError::Syntax(source) => Some(source),
            WireError::Settings(source) => Some(source),
            WireError::Event { source, .. } => Some(source),
            _ => None,
        }
    }
}

impl From<String> for WireError {
    fn from(message: String) -> WireError {
        WireError::Value(message)
    }
}
