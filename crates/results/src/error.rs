//! The error type of this crate.

use std::path::{Path, PathBuf};

use parquet::errors::ParquetError;

/// An error from building, reading, writing or drawing a table, or from comparing two.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// A row could not be serialized.
    #[error(transparent)]
    Serialize(#[from] simd_json::Error),
    /// A file could not be read or written.
    #[error("{file}: {source}")]
    File {
        /// The path of the file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A file does not hold valid JSON.
    #[error("{file}: {source}")]
    Json {
        /// The path of the file.
        file: PathBuf,
        /// The error of the JSON parser.
        source: simd_json::Error,
    },
    /// The top-level value of a JSON file is not an array.
    #[error("{file}: expected an array of rows")]
    NotRows {
        /// The path of the file.
        file: PathBuf,
    },
    /// The table has no metric with this name.
    #[error("unknown metric {0}")]
    UnknownMetric(String),
    /// No row has a value for this metric.
    #[error("metric {0} has no values")]
    EmptyMetric(String),
    /// Two tables have no metric in common under the same conditions.
    #[error("the two tables have no metric in common under the same conditions")]
    NothingInCommon,
    /// A table could not be written as Parquet.
    #[error("cannot write Parquet: {0}")]
    Parquet(#[from] ParquetError),
    /// A chart could not be drawn.
    #[error("cannot draw chart: {0}")]
    Chart(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl TableError {
    /// Returns a function that adds the path of the file to an I/O error.
    pub(crate) fn file(file: &Path) -> impl FnOnce(std::io::Error) -> TableError + '_ {
        move |source| TableError::File {
            file: file.to_owned(),
            source,
        }
    }
}
