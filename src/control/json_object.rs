//! Decodes JSON objects into types with named fields.
//!
//! Where a key repeats, its last value counts. Unlike the implementations that serde derives, the
//! functions here reject an array in place of the outermost object.

use serde::de::DeserializeOwned;
use simd_json::prelude::*;
use simd_json::{ErrorType, OwnedValue as Value};

/// The path that serde reports for an error of the outermost object itself.
const ROOT_PATH: &str = ".";

/// What serde's message for a missing key says before the key.
const MISSING_KEY_PREFIX: &str = "missing field `";
/// What serde's message for a missing key says after the key.
const MISSING_KEY_SUFFIX: &str = "`";
/// What the error of a missing value says.
pub const MISSING: &str = "is missing";

/// Why a JSON object cannot be decoded.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum JsonObjectError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Syntax(#[from] simd_json::Error),
    /// The text is no JSON object.
    #[error("{0}")]
    InvalidObject(String),
    /// A value in it is missing or invalid.
    #[error("'{path}': {reason}")]
    InvalidValue {
        /// The path of the value, such as `fronts[2].name`.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl JsonObjectError {
    /// The value at `path` is missing or invalid.
    pub fn invalid(path: &str, reason: impl Into<String>) -> JsonObjectError {
        JsonObjectError::InvalidValue {
            path: path.to_owned(),
            reason: reason.into(),
        }
    }

    /// The same error of an object that is itself the value at `outer_path`.
    pub fn at(self, outer_path: &str) -> JsonObjectError {
        match self {
            JsonObjectError::Syntax(error) => JsonObjectError::Syntax(error),
            JsonObjectError::InvalidObject(reason) => JsonObjectError::invalid(outer_path, reason),
            JsonObjectError::InvalidValue { path, reason } => {
                JsonObjectError::invalid(&format!("{outer_path}.{path}"), reason)
            }
        }
    }
}

/// Parses a JSON text in place and decodes the object in it.
///
/// # Errors
/// The text is not JSON, or not an object with the fields of `T`.
pub fn parse<T: DeserializeOwned>(json: &mut [u8]) -> Result<T, JsonObjectError> {
    decode(simd_json::to_owned_value(json)?)
}

/// Decodes an object.
///
/// # Errors
/// The value is not an object with the fields of `T`.
pub fn decode<T: DeserializeOwned>(value: Value) -> Result<T, JsonObjectError> {
    if !value.is_object() {
        return Err(JsonObjectError::InvalidObject(
            "must be an object".to_owned(),
        ));
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        located(&path, error_message(error.inner()))
    })
}

/// The error that serde reports at `path` for a reason. For a missing key, serde reports the path of
/// the object that lacks it.
fn located(path: &str, reason: String) -> JsonObjectError {
    let is_root = path == ROOT_PATH;
    match missing_key(&reason) {
        Some(key) if is_root => JsonObjectError::invalid(key, MISSING),
        Some(key) => JsonObjectError::invalid(&format!("{path}.{key}"), MISSING),
        None if is_root => JsonObjectError::InvalidObject(reason),
        None => JsonObjectError::invalid(path, reason),
    }
}

/// The key that is missing, where this is serde's message for that.
fn missing_key(message: &str) -> Option<&str> {
    message
        .strip_prefix(MISSING_KEY_PREFIX)?
        .strip_suffix(MISSING_KEY_SUFFIX)
}

/// The message of an error of a value, without a position: a decoded value has none.
pub fn error_message(error: &simd_json::Error) -> String {
    match error.error() {
        ErrorType::Serde(message) => message.clone(),
        other => format!("{other:?}"),
    }
}
