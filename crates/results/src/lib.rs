//! Results of experiments as tables: made of any rows that can be serialized, stored as JSON or
//! Parquet, drawn as SVG, and compared with earlier ones.
//!
//! A column of numbers is a metric, unless it is one of [`CONDITION_COLUMNS`] or [`SEED_COLUMN`].
//! All other columns, and [`CONDITION_COLUMNS`], are the conditions of a row; rows of the same
//! conditions belong together.

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
