//! URL queries of the object API: decoding those of clients, encoding those for chunk servers.

use std::borrow::Cow;
use std::collections::HashMap;

use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};

use super::error::ApiError;

/// Names of the query fields of the API.
pub(super) mod query_names {
    /// Marks a POST request that creates an upload.
    pub const UPLOADS: &str = "uploads";
    /// Id of an upload.
    pub const UPLOAD_ID: &str = "uploadId";
    /// Number of the part to upload.
    pub const PART_NUMBER: &str = "partNumber";
    /// Id of a version of an object.
    pub const VERSION_ID: &str = "versionId";
    /// Maximum number of parts in a page of a list of parts.
    pub const MAX_PARTS: &str = "max-parts";
    /// Part number after which a page of a list of parts starts.
    pub const PART_NUMBER_MARKER: &str = "part-number-marker";
    /// Name of the operation, added by some clients; ignored.
    pub const OPERATION: &str = "x-id";
    /// Encoding of keys in lists; ignored.
    pub const ENCODING_TYPE: &str = "encoding-type";
}

/// Query fields that a request may contain; some of them are ignored.
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
/// Prefix of the query fields of a request signature, which are ignored.
const SIGNATURE_PREFIX: &str = "X-Amz-";

/// The percent-decoded query of a request.
#[derive(Clone, Debug)]
pub(super) struct Query {
    values: HashMap<String, String>,
}

impl Query {
    /// Decodes the fields of a query. A field without `=` has an empty value; of several fields
    /// with the same name the last one applies.
    ///
    /// # Errors
    /// `NotImplemented` for a field that is not supported.
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

    /// Returns the value of a field if it is present.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    /// Returns whether a field is present, whatever its value.
    pub fn contains(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }
}

/// Returns whether a query field with this name is supported or ignored.
fn is_known(name: &str) -> bool {
    KNOWN_FIELDS.contains(&name) || name.starts_with(SIGNATURE_PREFIX)
}

/// Decodes percent-encoded text, replacing invalid UTF-8.
pub(super) fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Formats a query field for a chunk server, with its value percent-encoded.
pub(super) fn query_field(name: &str, value: &str) -> String {
    let value = Cow::from(utf8_percent_encode(value, NON_ALPHANUMERIC));
    format!("{name}={value}")
}
