//! Tables of experiment results. A table is built from serializable rows or read from a JSON file,
//! written as Parquet, drawn as an SVG chart, and compared with another table.
//!
//! A column of numbers is a metric, unless it is one of [`CONDITION_COLUMNS`] or [`SEED_COLUMN`].
//! Columns of text and [`CONDITION_COLUMNS`] are the conditions of a row; rows with the same
//! conditions are grouped.

mod chart;
mod comparison;
mod error;
mod parquet_file;
mod table;

pub use chart::chart;
pub use comparison::{compare, Comparison, Sample};
pub use error::TableError;
pub use parquet_file::MetadataEntry;
pub use table::{Column, Metric, Table, Values, CONDITION_COLUMNS, SEED_COLUMN};
