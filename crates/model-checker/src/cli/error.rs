//! Errors of the commands.

use std::path::PathBuf;

use crate::chart::ChartError;
use crate::history::HistoryError;

/// Why a command could not be carried out.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandError {
    #[error("no configuration is called '{0}'; 'tulipbridge-check list' shows them")]
    UnknownConfig(String),
    #[error(transparent)]
    Chart(#[from] ChartError),
    #[error(transparent)]
    History(#[from] HistoryError),
    #[error("cannot write {}: {source}", path.display())]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    #[error("cannot write {}: {source}", path.display())]
    Serialize {
        path: PathBuf,
        source: simd_json::Error,
    },
    #[cfg(feature = "mutations")]
    #[error("cannot start itself again: {0}")]
    Restart(#[source] std::io::Error),
    #[cfg(feature = "mutations")]
    #[error("no seeded bug is called '{0}'; 'tulipbridge-check list' shows them")]
    UnknownMutation(String),
    #[cfg(not(feature = "mutations"))]
    #[error(
        "bugs can be seeded only in a build of their own: cargo run --release -p tulipbridge-model-checker \
        --features seeded -- seeded"
    )]
    NoMutations,
}
