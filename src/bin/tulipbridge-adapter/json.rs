//! Typed access to the values of a row. Every error names the value that is missing or of the wrong
//! kind.

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

/// The required type of a JSON value, as named in error messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Kind {
    /// An array.
    #[error("an array")]
    Array,
    /// A string.
    #[error("a text")]
    String,
    /// An integer.
    #[error("an integer")]
    Integer,
    /// A number, integer or not.
    #[error("a number")]
    Number,
}

/// A required value is missing, or a value is of the wrong kind.
#[derive(Debug, thiserror::Error)]
#[error("'{key}' must be {expected}")]
pub struct WrongKind {
    /// The key or name of the value.
    key: String,
    /// The kind that the value must be of.
    expected: Kind,
}

impl WrongKind {
    /// Creates the error for the value of `key`.
    fn new(key: &str, expected: Kind) -> WrongKind {
        WrongKind {
            key: key.to_owned(),
            expected,
        }
    }
}

/// Returns the array under `key`.
///
/// # Errors
/// It is missing or not an array.
pub fn array<'a>(parent: &'a Value, key: &str) -> Result<&'a Vec<Value>, WrongKind> {
    let value = parent.get(key).and_then(Value::as_array);
    value.ok_or_else(|| WrongKind::new(key, Kind::Array))
}

/// Returns the `Name` of each object in the array under `key`.
///
/// # Errors
/// The array or one of the names is missing or of another kind.
pub fn names(parent: &Value, key: &str) -> Result<Vec<String>, WrongKind> {
    let entries = array(parent, key)?.iter();
    entries
        .map(|entry| string(entry.get("Name"), "Name").map(str::to_owned))
        .collect()
}

/// Returns a required string; `key` names it in the error.
///
/// # Errors
/// It is missing or not a string.
pub fn string<'a>(value: Option<&'a Value>, key: &str) -> Result<&'a str, WrongKind> {
    value
        .and_then(Value::as_str)
        .ok_or_else(|| WrongKind::new(key, Kind::String))
}

/// Returns a required integer; `key` names it in the error.
///
/// # Errors
/// It is missing or not an integer.
pub fn integer(value: Option<&Value>, key: &str) -> Result<i64, WrongKind> {
    value
        .and_then(Value::as_i64)
        .ok_or_else(|| WrongKind::new(key, Kind::Integer))
}

/// Returns an optional number, or 0 if it is missing or null; `key` names it in the error.
///
/// # Errors
/// It is present and not a number.
pub fn optional_number(value: Option<&Value>, key: &str) -> Result<f64, WrongKind> {
    match value.filter(|value| !value.is_null()) {
        None => Ok(0.0),
        Some(value) => value
            .cast_f64()
            .ok_or_else(|| WrongKind::new(key, Kind::Number)),
    }
}
