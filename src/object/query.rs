//! Queries of the object API, as clients send them and as chunk servers get them.

use std::borrow::Cow;
use std::collections::HashMap;

use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};

use super::error::ApiError;

/// Names of the query fields of the API.
pub(super) mod query_names {
    /// Selects the operations on all uploads of an object.
    pub const UPLOADS: &str = "uploads";
    /// Names an upload.
    pub const UPLOAD_ID: &str = "uploadId";
    /// Number of the part that is uploaded.
    pub const PART_NUMBER: &str = "partNumber";
    /// Names a version of an object.
    pub const VERSION_ID: &str = "versionId";
    /// The largest number of parts in a page.
    pub const MAX_PARTS: &str = "max-parts";
    /// The part number after which a page starts.
    pub const PART_NUMBER_MARKER: &str = "part-number-marker";
    /// Name of the operation, which some clients add; ignored.
    pub const OPERATION: &str = "x-id";
    /// Encoding of keys in lists; ignored.
    pub const ENCODING_TYPE: &str = "encoding-type";
}

/// Query fields that may be present; only some of them have an effect.
const KNOWN_FIELDS: [&str; 8] = [
    query_names::UPLOADS,
    query_names::UPLOAD_ID,
    query_names::PART_NUMBER,
    query_names::VERSION_ID,
    query_names::MAX_PARTS,
    query_names::PART_NUMBER_MARKER,
    query_names::OPERATION,
    query_names::ENCODING_TYPE,
];
/// Prefix of the query fields of signatures, which are ignored.
const SIGNATURE_PREFIX: &str = "X-Amz-";

/// The query of a request, decoded.
#[derive(Clone, Debug)]
pub(super) struct Query {
    values: HashMap<String, String>,
}

impl Query {
    /// Decodes the fields of a query. One without `=` has an empty value; of several with one name
    /// the last counts.
    ///
    /// # Errors
    /// `NotImplemented` for a field that the API does not have.
    pub fn parse(text: &str) -> Result<Query, ApiError> {
        let fields = text.split('&').filter(|field| !field.is_empty());
        let fields = fields.map(|field| field.split_once('=').unwrap_or((field, "")));
        let values: HashMap<_, _> = fields
            .map(|(name, value)| (decode(name), decode(value)))
            .collect();
        if !values.keys().all(|name| is_known(name)) {
            return Err(ApiError::not_implemented(
                "A part of the query is not served.",
            ));
        }
        Ok(Query { values })
    }

    /// The value of a field, where it is present.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Whether a field is present, whatever its value.
    pub fn contains(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }
}

/// Whether the API has a query field with this name.
fn is_known(name: &str) -> bool {
    KNOWN_FIELDS.contains(&name) || name.starts_with(SIGNATURE_PREFIX)
}

/// Decodes percent-encoded text; bytes that are no UTF-8 are replaced.
pub(super) fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// A query field for a chunk server, with its value encoded.
pub(super) fn query_field(name: &str, value: &str) -> String {
    let value = Cow::from(utf8_percent_encode(value, NON_ALPHANUMERIC));
    format!("{name}={value}")
}
