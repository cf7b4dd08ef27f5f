//! Decodes JSON objects into types with named fields.
//!
//! For a repeated key, the last value counts. Unlike the implementations that serde derives, the
//! functions here reject an array in place of the outermost object.

use serde::de::DeserializeOwned;
use simd_json::prelude::*;
use simd_json::{ErrorType, OwnedValue as Value};

/// The path that serde reports for an error of the outermost object itself.
const ROOT_PATH: &str = ".";

/// The text before the key in serde's message for a missing key.
const MISSING_KEY_PREFIX: &str = "missing field `";
/// The text after the key in serde's message for a missing key.
const MISSING_KEY_SUFFIX: &str = "`";
/// The reason in the error for a missing value.
pub const MISSING: &str = "is missing";

/// Why a JSON object cannot be decoded.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum JsonObjectError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Syntax(#[from] simd_json::Error),
    /// The outermost value is not a JSON object of the expected form.
    #[error("{0}")]
    InvalidObject(String),
    /// A value inside the object is missing or invalid.
    #[error("'{path}': {reason}")]
    InvalidValue {
        /// The path of the value, such as `fronts[2].name`.
        path: String,
        /// What is wrong with the value, phrased so that it can follow the path.
        reason: String,
    },
}

impl JsonObjectError {
    /// Creates an error for a missing or invalid value at `path`.
    pub fn invalid(path: &str, reason: impl Into<String>) -> JsonObjectError {
        JsonObjectError::InvalidValue {
            path: path.to_owned(),
            reason: reason.into(),
        }
    }

    /// Prefixes the path of the error with `outer_path`, for an object that is itself a value of
    /// another one.
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

/// Parses a JSON text and decodes the object in it. The parser overwrites `json`.
///
/// # Errors
/// Fails if the text is not JSON or not an object with the fields of `T`.
pub fn parse<T: DeserializeOwned>(json: &mut [u8]) -> Result<T, JsonObjectError> {
    decode(simd_json::to_owned_value(json)?)
}

/// Decodes a parsed JSON object.
///
/// # Errors
/// Fails if the value is not an object with the fields of `T`.
pub fn decode<T: DeserializeOwned>(value: Value) -> Result<T, JsonObjectError> {
    if !value.is_object() {
        return Err(JsonObjectError::InvalidObject(
            "must be an object".to_owned(),
        ));
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        error_at_path(&path, error_message(error.inner()))
    })
}

/// Builds the error for what serde reports at `path`. For a missing key, serde reports the path of
/// the object that lacks it; the key is appended here.
fn error_at_path(path: &str, reason: String) -> JsonObjectError {
    let is_root = path == ROOT_PATH;
    match missing_key(&reason) {
        Some(key) if is_root => JsonObjectError::invalid(key, MISSING),
        Some(key) => JsonObjectError::invalid(&format!("{path}.{key}"), MISSING),
        None if is_root => JsonObjectError::InvalidObject(reason),
        None => JsonObjectError::invalid(path, reason),
    }
}

/// Returns the key from serde's message for a missing key; `None` for any other message.
fn missing_key(message: &str) -> Option<&str> {
    message
        .strip_prefix(MISSING_KEY_PREFIX)?
        .strip_suffix(MISSING_KEY_SUFFIX)
}

/// Returns the message of an error without its position in the text: the values decoded here are
/// already parsed and have no position.
pub fn error_message(error: &simd_json::Error) -> String {
    match error.error() {
        ErrorType::Serde(message) => message.clone(),
        other => format!("{other:?}"),
    }
}
