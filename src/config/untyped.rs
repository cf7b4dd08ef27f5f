//! The readers of [`crate::config::json`] with their errors as text, for callers without an error type of their own.

use simd_json::OwnedValue as Value;

use crate::config::json::{self, JsonError};

/// A value, or a message on what is wrong with the JSON.
pub type Res<T> = Result<T, String>;

fn untyped<T>(result: Result<T, JsonError>) -> Res<T> {
    result.map_err(|error| error.to_string())
}

/// [`json::array`].
///
/// # Errors
/// The message of its error.
pub fn list<'a>(parent: &'a Value, key: &str) -> Res<&'a Vec<Value>> {
    untyped(json::array(parent, key))
}

/// [`json::names`].
///
/// # Errors
/// The message of its error.
pub fn names(parent: &Value, key: &str) -> Res<Vec<String>> {
    untyped(json::names(parent, key))
}

/// [`json::string`].
///
/// # Errors
/// The message of its error.
pub fn text<'a>(value: Option<&'a Value>, key: &str) -> Res<&'a str> {
    untyped(json::string(value, key))
}

/// [`json::integer`].
///
/// # Errors
/// The message of its error.
pub fn int(value: Option<&Value>, key: &str) -> Res<i64> {
    untyped(json::integer(value, key))
}

/// [`json::optional_number`].
///
/// # Errors
/// The message of its error.
pub fn opt_num(value: Option<&Value>, key: &str) -> Res<f64> {
    untyped(json::optional_number(value, key))
}

/// [`json::number`].
///
/// # Errors
/// The message of its error.
pub fn num(parent: &Value, key: &str) -> Res<f64> {
    untyped(json::number(parent, key))
}
