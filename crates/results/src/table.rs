//! Tables whose columns are built from serializable rows.

use std::path::Path;

use serde::Serialize;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::error::TableError;

/// The columns of numbers that count as conditions of a row, not as metrics.
pub const CONDITION_COLUMNS: [&str; 2] = ["fronts", "volumes"];
/// The column that distinguishes rows with the same conditions; neither condition nor metric.
pub const SEED_COLUMN: &str = "seed";

/// The values of a column by row; `None` if the row has no value.
#[derive(Clone, Debug, PartialEq)]
pub enum Values {
    /// Text; booleans are stored as `true` and `false`.
    Text(Vec<Option<String>>),
    /// Numbers of any JSON type, as floating point.
    Number(Vec<Option<f64>>),
}

impl Values {
    /// Pads the column with absent values up to the given number of rows.
    fn fill(&mut self, rows: usize) {
        match self {
            Values::Text(values) => values.resize(rows, None),
            Values::Number(values) => values.resize(rows, None),
        }
    }

    /// Appends a value. A number in a column of text becomes text; text in a column of numbers
    /// becomes absent.
    fn push(&mut self, cell: Cell) {
        match (self, cell) {
            (Values::Text(values), Cell::Text(text)) => values.push(Some(text)),
            (Values::Text(values), Cell::Number(number)) => values.push(Some(number.to_string())),
            (Values::Number(values), Cell::Number(number)) => values.push(Some(number)),
            (Values::Number(values), Cell::Text(_)) => values.push(None),
        }
    }
}

/// A column of a table.
#[derive(Clone, Debug, PartialEq)]
pub struct Column {
    /// The name; for nested values the path of keys and indexes, joined by dots.
    pub name: String,
    /// The values by row.
    pub values: Values,
}

impl Column {
    /// Returns whether the column belongs to the conditions of a row.
    fn is_condition(&self) -> bool {
        match self.values {
            Values::Text(_) => true,
            Values::Number(_) => CONDITION_COLUMNS.contains(&self.name.as_str()),
        }
    }
}

/// A column of numbers that is neither a condition nor the seed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Metric<'a> {
    /// The name of the column.
    pub name: &'a str,
    /// The values by row.
    pub values: &'a [Option<f64>],
}

/// A table stored by column. The columns are in the order in which their names first occurred.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The columns, each with as many values as there are rows.
    pub columns: Vec<Column>,
    rows: usize,
}

/// A value of one row and column.
enum Cell {
    Text(String),
    Number(f64),
}

impl Table {
    /// Builds a table from rows. Each nested value gets a column of its own.
    ///
    /// # Errors
    /// Fails if a row cannot be serialized.
    pub fn of<R: Serialize>(rows: &[R]) -> Result<Table, TableError> {
        let mut table = Table::default();
        for row in rows {
            let value = simd_json::serde::to_owned_value(row)?;
            table.add_value("", &value);
            table.rows += 1;
            for column in &mut table.columns {
                column.values.fill(table.rows);
            }
        }
        Ok(table)
    }

    /// Reads a table from a JSON file that holds an array of rows.
    ///
    /// # Errors
    /// Fails if the file cannot be read, is not JSON, or does not hold an array.
    pub fn read(file: &Path) -> Result<Table, TableError> {
        let mut bytes = std::fs::read(file).map_err(TableError::file(file))?;
        let value = simd_json::to_owned_value(&mut bytes).map_err(|source| TableError::Json {
            file: file.to_owned(),
            source,
        })?;
        let rows = value.as_array().ok_or_else(|| TableError::NotRows {
            file: file.to_owned(),
        })?;
        Table::of(rows)
    }

    /// Returns the number of rows.
    pub fn rows(&self) -> usize {
        self.rows
    }

    /// Returns the conditions of a row as text: names and values, separated by commas.
    pub fn conditions(&self, row: usize) -> String {
        let conditions = self.columns.iter().filter(|column| column.is_condition());
        let texts = conditions.filter_map(|Column { name, values }| match values {
            Values::Text(values) => values[row].as_ref().map(|text| format!("{name} {text}")),
            Values::Number(values) => values[row].map(|number| format!("{name} {number}")),
        });
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Returns the metrics in the order of their columns.
    pub fn metrics(&self) -> impl Iterator<Item = Metric<'_>> {
        let columns = self.columns.iter().filter(|column| !column.is_condition());
        columns.filter_map(|Column { name, values }| match values {
            Values::Number(values) if name != SEED_COLUMN => Some(Metric { name, values }),
            _ => None,
        })
    }

    /// Adds a value of the current row, with nested values under their paths. Values other than
    /// objects, arrays, numbers, text and booleans are treated as absent.
    fn add_value(&mut self, path: &str, value: &Value) {
        let child = |key: &str| {
            if path.is_empty() {
                key.to_owned()
            } else {
                format!("{path}.{key}")
            }
        };
        if let Some(object) = value.as_object() {
            for (key, value) in object {
                self.add_value(&child(key), value);
            }
        } else if let Some(array) = value.as_array() {
            for (index, value) in array.iter().enumerate() {
                self.add_value(&child(&index.to_string()), value);
            }
        } else if let Some(number) = value.cast_f64() {
            self.add_cell(path, Cell::Number(number));
        } else if let Some(text) = value.as_str() {
            self.add_cell(path, Cell::Text(text.to_owned()));
        } else if let Some(boolean) = value.as_bool() {
            self.add_cell(path, Cell::Text(boolean.to_string()));
        }
    }

    /// Adds a value of the current row to its column, and creates the column if it does not exist.
    fn add_cell(&mut self, name: &str, cell: Cell) {
        let known = self.columns.iter().position(|column| column.name == name);
        let position = known.unwrap_or_else(|| {
            let values = match &cell {
                Cell::Text(_) => Values::Text(vec![None; self.rows]),
                Cell::Number(_) => Values::Number(vec![None; self.rows]),
            };
            self.columns.push(Column {
                name: name.to_owned(),
                values,
            });
            self.columns.len() - 1
        });
        self.columns[position].values.push(cell);
    }
}
