//! Errors of the commands.

use std::path::PathBuf;

use crate::chart::ChartError;
use crate::history::HistoryError;

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    /// No configuration has the given name.
    #[error("no configuration is called '{name}'; 'tulipbridge-check list' shows them")]
    UnknownConfig { name: String },
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// A history cannot be read or replayed.
    #[error(transparent)]
    History(#[from] HistoryError),
    /// A file cannot be written.
    #[error("cannot write {}: {source}", path.display())]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    /// Reports cannot be written as JSON.
    #[error("cannot write {}: {source}", path.display())]
    Serialize {
        path: PathBuf,
        source: simd_json::Error,
    },
    /// The process for one mutation cannot be started.
    #[cfg(feature = "mutations")]
    #[error("cannot start itself again: {source}")]
    Restart { source: std::io::Error },
    /// No mutation has the given name.
    #[cfg(feature = "mutations")]
    #[error("no mutation is called '{name}'; 'tulipbridge-check list' shows them")]
    UnknownMutation { name: String },
    /// This build has no mutations.
    #[cfg(not(feature = "mutations"))]
    #[error(
        "this build has no mutations; run: cargo run --release -p tulipbridge-model-checker \
        --features mutations --target-dir target/mutations -- mutations"
    )]
    NoMutations,
}
