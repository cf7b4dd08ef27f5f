//! Tables of rows that are serialized to JSON.

use std::path::Path;

use serde::Serialize;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::error::TableError;

/// Columns of numbers that are conditions of a row.
pub const CONDITION_COLUMNS: [&str; 2] = ["fronts", "volumes"];
/// The column that distinguishes rows of the same conditions.
pub const SEED_COLUMN: &str = "seed";

/// The values of a column by row; `None` if a row has none.
#[derive(Clone, Debug, PartialEq)]
pub enum Values {
    /// Text; also truth values.
    Text(Vec<Option<String>>),
    /// Numbers.
    Number(Vec<Option<f64>>),
}

impl Values {
    /// Appends absent values up to a number of rows.
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
    /// The name; that of a nested value is its path, with dots.
    pub name: String,
    /// The values.
    pub values: Values,
}

impl Column {
    /// Whether rows of different values in this column have different conditions.
    fn is_condition(&self) -> bool {
        match self.values {
            Values::Text(_) => true,
            Values::Number(_) => CONDITION_COLUMNS.contains(&self.name.as_str()),
        }
    }
}

/// A column of numbers that is no condition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Metric<'a> {
    /// The name.
    pub name: &'a str,
    /// The values by row.
    pub values: &'a [Option<f64>],
}

/// A table of rows. The columns are in the order in which their names first occurred.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The columns, each with as many values as there are rows.
    pub columns: Vec<Column>,
    rows: usize,
}

/// A value of a row.
enum Cell {
    Text(String),
    Number(f64),
}

impl Table {
    /// A table of rows. Nested values have columns of their own.
    ///
    /// # Errors
    /// If a row cannot be serialized.
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

    /// Reads rows from a JSON file, which holds an array of them.
    ///
    /// # Errors
    /// If the file cannot be read, or does not hold an array.
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

    /// The number of rows.
    pub fn rows(&self) -> usize {
        self.rows
    }

    /// The conditions of a row, as text.
    pub fn conditions(&self, row: usize) -> String {
        let conditions = self.columns.iter().filter(|column| column.is_condition());
        let texts = conditions.filter_map(|Column { name, values }| match values {
            Values::Text(values) => values[row].as_ref().map(|text| format!("{name} {text}")),
            Values::Number(values) => values[row].map(|number| format!("{name} {number}")),
        });
        texts.collect::<Vec<_>>().join(", ")
    }

    /// The metrics in the order of their columns.
    pub fn metrics(&self) -> impl Iterator<Item = Metric<'_>> {
        let columns = self.columns.iter().filter(|column| !column.is_condition());
        columns.filter_map(|Column { name, values }| match values {
            Values::Number(values) if name != SEED_COLUMN => Some(Metric { name, values }),
            _ => None,
        })
    }

    /// Adds a value of the current row. What is neither object, array, number, text nor truth value
    /// is absent.
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
        } else if let Some(truth) = value.as_bool() {
            self.add_cell(path, Cell::Text(truth.to_string()));
        }
    }

    /// Adds a value of the current row to its column, which is created at its first value.
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
