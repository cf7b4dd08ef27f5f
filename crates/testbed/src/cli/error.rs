//! Why a command cannot be carried out.

use std::path::PathBuf;

use tulipbridge_membership::EnvelopeError;
use tulipbridge_results::TableError;

use crate::testbed::TestbedError;

/// Why a command cannot be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// There is no experiment or simulation of this name.
    #[error("there is no {0}; `list` names them")]
    UnknownName(String),
    /// A file cannot be read.
    #[error("{file} cannot be read: {source}")]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: FileError,
    },
    /// A file cannot be written.
    #[error("{file} cannot be written: {source}")]
    Write {
        /// The file.
        file: PathBuf,
        /// Why.
        source: FileError,
    },
    /// A message is too long.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// The testbed failed.
    #[error(transparent)]
    Testbed(#[from] TestbedError),
    /// Results cannot be stored or read.
    #[error(transparent)]
    Table(#[from] TableError),
    /// The program was built without mutations.
    #[cfg(not(feature = "mutations"))]
    #[error("mutations need a build with the feature `mutations`")]
    WithoutMutations,
}

/// Why a file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FileError {
    /// The operating system rejected it.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// Its text is not what it must be.
    #[error(transparent)]
    Json(#[from] simd_json::Error),
}
