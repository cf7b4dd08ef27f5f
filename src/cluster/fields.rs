//! Reads typed values from the JSON under `peers` in a front's configuration file.
//!
//! Each error message starts with the path of the offending key in single quotes: the reader of the
//! whole file looks up the line of the error from that path.

use std::net::SocketAddr;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

use crate::config::json::number as read_number;

/// Why a value under `peers` cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// The value at this path is not an object.
    #[error("'{0}' must be an object")]
    NotAnObject(String),
    /// The value at this path is not an array.
    #[error("'{0}' must be an array")]
    NotAnArray(String),
    /// The value at this path is not a string, or is missing.
    #[error("'{0}' must be a text")]
    NotAText(String),
    /// The configuration has no key of this path.
    #[error("'{0}' is not known")]
    UnknownKey(String),
    /// The value is not an IP address with a port.
    #[error("'{path}' {value} is no address")]
    NotAnAddress {
        /// Path of the key.
        path: String,
        /// The text found there.
        value: String,
    },
    /// The value at this path is not a number greater than 0.
    #[error("'{0}' must be a number above 0")]
    NotPositive(String),
    /// The value at this path is not a number, or is negative.
    #[error("'{0}' must be a number of 0 or more")]
    Negative(String),
    /// The value at this path is not a number in `0.0..1.0`.
    #[error("'{0}' must be a part from 0 to under 1")]
    NotAFraction(String),
    /// The value at this path is not an integer of at least 2, or is far too large.
    #[error("'{0}' must be a whole number of 2 or more")]
    CountTooSmall(String),
}

/// Checks that a value is an object with no keys but the known ones.
///
/// # Errors
/// [`FieldError::NotAnObject`] or [`FieldError::UnknownKey`].
pub(super) fn check_object(
    value: &Value,
    path: &str,
    known_keys: &[&str],
) -> Result<(), FieldError> {
    let object = value
        .as_object()
        .ok_or_else(|| FieldError::NotAnObject(path.to_owned()))?;
    match object
        .keys()
        .find(|key| !known_keys.contains(&key.as_str()))
    {
        Some(unknown) => Err(FieldError::UnknownKey(format!("{path}.{unknown}"))),
        None => Ok(()),
    }
}

/// The array at a path.
///
/// # Errors
/// [`FieldError::NotAnArray`], also where there is no value.
pub(super) fn array<'a>(value: Option<&'a Value>, path: &str) -> Result<&'a [Value], FieldError> {
    let array = value
        .and_then(Value::as_array)
        .ok_or_else(|| FieldError::NotAnArray(path.to_owned()))?;
    Ok(array.as_slice())
}

/// The string at a path.
///
/// # Errors
/// [`FieldError::NotAText`], also where there is no value.
pub(super) fn text<'a>(value: Option<&'a Value>, path: &str) -> Result<&'a str, FieldError> {
    value
        .and_then(Value::as_str)
        .ok_or_else(|| FieldError::NotAText(path.to_owned()))
}

/// The IP address and port at a path.
///
/// # Errors
/// [`FieldError::NotAText`] or [`FieldError::NotAnAddress`].
pub(super) fn address(value: Option<&Value>, path: &str) -> Result<SocketAddr, FieldError> {
    let text = text(value, path)?;
    text.parse().map_err(|_| FieldError::NotAnAddress {
        path: path.to_owned(),
        value: text.to_owned(),
    })
}

/// The number under a key of `object`, 0 where it is missing or null; `None` where the value is of
/// another type.
pub(super) fn number(object: &Value, key: &str) -> Option<f64> {
    read_number(object, key).ok()
}

/// The number under a key of `object`, which must be greater than 0.
///
/// # Errors
/// [`FieldError::NotPositive`] with `path`.
pub(super) fn positive_number(object: &Value, key: &str, path: &str) -> Result<f64, FieldError> {
    number(object, key)
        .filter(|number| *number > 0.0)
        .ok_or_else(|| FieldError::NotPositive(path.to_owned()))
}
