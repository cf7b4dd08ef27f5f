//! Typed access to JSON values. Every error names the key that is missing or has a value of the
//! wrong kind.

use std::net::SocketAddr;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;

/// The required type of a JSON value, as error messages name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Kind {
    /// An object.
    #[error("an object")]
    Object,
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
    /// A boolean.
    #[error("true or false")]
    Boolean,
}

/// Why a JSON document or one of its values was rejected.
#[derive(Debug, thiserror::Error)]
pub enum JsonError {
    /// The document does not parse.
    #[error("not JSON: {0}")]
    Syntax(#[source] simd_json::Error),
    /// The value is missing where it is required, or has another kind.
    #[error("'{key}' must be {expected}")]
    WrongKind {
        /// The key of the value.
        key: String,
        /// What it must be.
        expected: Kind,
    },
    /// A required value is missing.
    #[error("'{key}' is missing")]
    Missing {
        /// The key of the value.
        key: String,
    },
    /// The string is not an IP address with a port.
    #[error("'{key}' {value} is no address")]
    InvalidAddress {
        /// The key of the value.
        key: String,
        /// The string found there.
        value: String,
    },
    /// The string is not a hexadecimal number.
    #[error("'{key}' {value} is not in hex digits")]
    InvalidHex {
        /// The key of the value.
        key: String,
        /// The string found there.
        value: String,
    },
    /// The string is none of the values that the key allows.
    #[error("'{key}' {value} is not known")]
    UnknownValue {
        /// The key of the value.
        key: String,
        /// The string found there.
        value: String,
    },
}

impl JsonError {
    /// The value of `key` is missing or is not of the expected kind.
    pub fn wrong_kind(key: &str, expected: Kind) -> JsonError {
        JsonError::WrongKind {
            key: key.to_owned(),
            expected,
        }
    }

    /// The value of `key` is missing.
    pub fn missing(key: &str) -> JsonError {
        JsonError::Missing {
            key: key.to_owned(),
        }
    }

    /// The string under `key` is none of those allowed.
    pub fn unknown_value(key: &str, value: &str) -> JsonError {
        JsonError::UnknownValue {
            key: key.to_owned(),
            value: value.to_owned(),
        }
    }
}

/// Parses a document.
///
/// # Errors
/// [`JsonError::Syntax`], where the bytes are not JSON.
pub fn parse(bytes: &[u8]) -> Result<Value, JsonError> {
    // The parser decodes strings in place, so it needs a copy to write to.
    simd_json::to_owned_value(&mut bytes.to_vec()).map_err(JsonError::Syntax)
}

/// The object under `key`.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is missing or not an object.
pub fn object<'a>(parent: &'a Value, key: &str) -> Result<&'a Value, JsonError> {
    let value = parent.get(key).filter(|value| value.is_object());
    value.ok_or_else(|| JsonError::wrong_kind(key, Kind::Object))
}

/// The array under `key`.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is missing or not an array.
pub fn array<'a>(parent: &'a Value, key: &str) -> Result<&'a Vec<Value>, JsonError> {
    let value = parent.get(key).and_then(Value::as_array);
    value.ok_or_else(|| JsonError::wrong_kind(key, Kind::Array))
}

/// The `Name` of each object in the array under `key`.
///
/// # Errors
/// [`JsonError::WrongKind`], where the array or one of the names is missing or of another kind.
pub fn names(parent: &Value, key: &str) -> Result<Vec<String>, JsonError> {
    let entries = array(parent, key)?.iter();
    entries
        .map(|entry| string(entry.get("Name"), "Name").map(str::to_owned))
        .collect()
}

/// A required string; `key` names it in the error.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is missing or not a string.
pub fn string<'a>(value: Option<&'a Value>, key: &str) -> Result<&'a str, JsonError> {
    value
        .and_then(Value::as_str)
        .ok_or_else(|| JsonError::wrong_kind(key, Kind::String))
}

/// A required integer; `key` names it in the error.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is missing or not an integer.
pub fn integer(value: Option<&Value>, key: &str) -> Result<i64, JsonError> {
    value
        .and_then(Value::as_i64)
        .ok_or_else(|| JsonError::wrong_kind(key, Kind::Integer))
}

/// An optional number, 0 where it is missing or null; `key` names it in the error.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is present and not a number.
pub fn optional_number(value: Option<&Value>, key: &str) -> Result<f64, JsonError> {
    match value {
        None => Ok(0.0),
        Some(value) if value.is_null() => Ok(0.0),
        Some(value) => value
            .cast_f64()
            .ok_or_else(|| JsonError::wrong_kind(key, Kind::Number)),
    }
}

/// The number under `key`, 0 where it is missing or null.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is present and not a number.
pub fn number(parent: &Value, key: &str) -> Result<f64, JsonError> {
    optional_number(parent.get(key), key)
}

/// The number under `key`, or `default` where it is missing, null, 0 or negative.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is present and not a number.
pub fn positive_number_or(parent: &Value, key: &str, default: f64) -> Result<f64, JsonError> {
    let configured = number(parent, key)?;
    Ok(if configured > 0.0 {
        configured
    } else {
        default
    })
}

/// The boolean under `key`, false where it is missing or null.
///
/// # Errors
/// [`JsonError::WrongKind`], where it is present and not a boolean.
pub fn boolean(parent: &Value, key: &str) -> Result<bool, JsonError> {
    match parent.get(key) {
        None => Ok(false),
        Some(value) if value.is_null() => Ok(false),
        Some(value) => value
            .as_bool()
            .ok_or_else(|| JsonError::wrong_kind(key, Kind::Boolean)),
    }
}

/// Parses the IP address with port that was found under `key`.
///
/// # Errors
/// [`JsonError::InvalidAddress`], where the text is no such address.
pub fn parse_address(key: &str, value: &str) -> Result<SocketAddr, JsonError> {
    let invalid = |_| JsonError::InvalidAddress {
        key: key.to_owned(),
        value: value.to_owned(),
    };
    value.parse().map_err(invalid)
}

/// Parses the hexadecimal number that was found under `key`.
///
/// # Errors
/// [`JsonError::InvalidHex`], where the text is no such number.
pub fn parse_hex(key: &str, value: &str) -> Result<u64, JsonError> {
    let invalid = |_| JsonError::InvalidHex {
        key: key.to_owned(),
        value: value.to_owned(),
    };
    u64::from_str_radix(value, 16).map_err(invalid)
}
