//! Decodes JSON objects into types with named fields.
//!
//! Where a key repeats, its last value counts. Unlike the implementations that serde derives, the
//! functions here reject an array in place of the outermost object.

use serde::de::DeserializeOwned;
use simd_json::prelude::*;
use simd_json::{ErrorType, OwnedValue as Value};

/// The path that serde reports for an error of the outermost object itself.
const ROOT_PATH: &str = ".";

/// Why a JSON object cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum JsonObjectError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Syntax(#[from] simd_json::Error),
    /// The text is a JSON value of another kind.
    #[error("not a JSON object")]
    NotAnObject,
    /// A required key is missing.
    #[error("{0}")]
    MissingKey(String),
    /// A value is invalid.
    #[error("'{path}': {reason}")]
    InvalidValue {
        /// The path of the value, such as `fronts[2].name`.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
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
        return Err(JsonObjectError::NotAnObject);
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let reason = message(error.inner());
        if path == ROOT_PATH {
            JsonObjectError::MissingKey(reason)
        } else {
            JsonObjectError::InvalidValue { path, reason }
        }
    })
}

/// The message of an error of a value, without a position: a decoded value has none.
fn message(error: &simd_json::Error) -> String {
    match error.error() {
        ErrorType::Serde(message) => message.clone(),
        other => format!("{other:?}"),
    }
}
