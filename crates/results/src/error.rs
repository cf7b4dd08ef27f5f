//! Errors of tables.

use std::path::{Path, PathBuf};

use parquet::errors::ParquetError;

/// A table cannot be created, read, stored or shown as a chart.
#[derive(Debug, thiserror::Error)]
pub enum TableError {
    /// A row cannot be serialized.
    #[error(transparent)]
    Serialize(#[from] simd_json::Error),
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file is not JSON.
    #[error("{file}: {source}")]
    Json {
        /// The file.
        file: PathBuf,
        /// Why.
        source: simd_json::Error,
    },
    /// A JSON file has no array of rows.
    #[error("{file}: it is no array of rows")]
    NotRows {
        /// The file.
        file: PathBuf,
    },
    /// A table has no metric of this name.
    #[error("there is no figure {0}")]
    UnknownMetric(String),
    /// No row has a value of this metric.
    #[error("the figure {0} has no values")]
    EmptyMetric(String),
    /// Two tables have no metric under the same conditions.
    #[error("the two have no figure under the same conditions")]
    NothingInCommon,
    /// A table cannot be written as Parquet.
    #[error("as Parquet: {0}")]
    Parquet(#[from] ParquetError),
    /// A chart cannot be drawn.
    #[error("as a picture: {0}")]
    Chart(#[source] Box<dyn std::error::Error + Send + Sync>),
}

impl TableError {
    /// Adds the file to an error of the operating system.
    pub(crate) fn file(file: &Path) -> impl FnOnce(std::io::Error) -> TableError + '_ {
        move |source| TableError::File {
            file: file.to_owned(),
            source,
        }
    }
}
