//! Requests of the object API: parsing, and the operation that each requests.

use std::collections::HashMap;
use std::time::Instant;

use hyper::header::{
    HeaderMap, HeaderName, CONTENT_ENCODING, IF_MATCH, IF_MODIFIED_SINCE, IF_NONE_MATCH,
    IF_UNMODIFIED_SINCE,
};
use hyper::{Method, StatusCode, Uri};
use percent_encoding::percent_decode_str;
use tulipbridge_core::ShardId;

use super::error::ApiError;
use super::front_state::FrontState;
use super::Bucket;

/// Prefix of the headers with metadata of the user.
pub(super) const METADATA_PREFIX: &str = "x-amz-meta-";
/// Query fields that may be present; only some of them have an effect.
const KNOWN_QUERY_FIELDS: [&str; 8] = [
    "uploads",
    "uploadId",
    "partNumber",
    "versionId",
    "max-parts",
    "part-number-marker",
    "x-id",
    "encoding-type",
];
/// Prefix of the query fields of signatures, which are ignored.
const SIGNATURE_QUERY_PREFIX: &str = "X-Amz-";
/// Content encoding of bodies that hold a signature between the chunks.
const SIGNED_CHUNKS: &[u8] = b"aws-chunked";
/// Headers that are stored with an object, besides those with [`METADATA_PREFIX`].
const STORED_HEADERS: [&str; 8] = [
    "content-type",
    "content-md5",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "expires",
    "if-none-match",
];
/// Headers that make a read conditional.
const CONDITIONS: [HeaderName; 4] = [
    IF_MATCH,
    IF_NONE_MATCH,
    IF_MODIFIED_SINCE,
    IF_UNMODIFIED_SINCE,
];

/// An operation of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Operation {
    GetObject,
    HeadObject,
    PutObject,
    DeleteObject,
    CreateUpload,
    UploadPart,
    CompleteUpload,
    AbortUpload,
    ListParts,
}

/// A request of the object API.
#[derive(Clone)]
pub(super) struct ObjectRequest {
    pub bucket: Bucket,
    pub bucket_name: String,
    pub key: String,
    /// The path as it was received, percent-encoded.
    pub path: String,
    /// The query, decoded.
    pub query: HashMap<String, String>,
    pub headers: HeaderMap,
    /// When the client stops waiting.
    pub deadline: Instant,
}

/// A version id: the shard that stores the version, and the chunk server's own id for it.
pub(super) struct VersionId {
    pub shard: ShardId,
    /// Empty where the chunk server keeps no versions.
    pub own: String,
}

impl FrontState {
    /// Parses a request head.
    pub(super) fn parse(
        &self,
        method: &Method,
        uri: &Uri,
        headers: HeaderMap,
    ) -> Result<ObjectRequest, ApiError> {
        let (bucket_name, key) = uri
            .path()
            .trim_start_matches('/')
            .split_once('/')
            .unwrap_or_default();
        if key.is_empty() {
            return Err(ApiError::not_implemented(
                "Buckets are declared in the front's file; only objects are served.",
            ));
        }
        let bucket_name = decode(bucket_name);
        let bucket = self.buckets.get(&bucket_name).ok_or_else(|| {
            ApiError::request(
                StatusCode::NOT_FOUND,
                "NoSuchBucket",
                "The bucket is not declared at this front.",
            )
        })?;
        let query = parse_query(uri.query().unwrap_or_default())?;
        reject_unsupported(&headers)?;
        let is_write = matches!(*method, Method::PUT | Method::POST);
        let class = if is_write {
            bucket.write_class
        } else {
            bucket.read_class
        };
        Ok(ObjectRequest {
            bucket: bucket.clone(),
            bucket_name,
            key: decode(key),
            path: uri.path().to_owned(),
            query,
            headers,
            deadline: Instant::now() + self.deadlines[class],
        })
    }
}

fn decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn parse_query(query: &str) -> Result<HashMap<String, String>, ApiError> {
    let fields = query.split('&').filter(|field| !field.is_empty());
    let fields = fields.map(|field| field.split_once('=').unwrap_or((field, "")));
    let query: HashMap<_, _> = fields
        .map(|(name, value)| (decode(name), decode(value)))
        .collect();
    let is_known = |name: &String| {
        KNOWN_QUERY_FIELDS.contains(&name.as_str()) || name.starts_with(SIGNATURE_QUERY_PREFIX)
    };
    if !query.keys().all(is_known) {
        return Err(ApiError::not_implemented(
            "A part of the query is not served.",
        ));
    }
    Ok(query)
}

fn reject_unsupported(headers: &HeaderMap) -> Result<(), ApiError> {
    // Such bodies hold signatures between the chunks, which must not be stored as data.
    let hash = headers
        .get("x-amz-content-sha256")
        .map_or(&b""[..], |value| value.as_bytes());
    let encoding = headers
        .get(CONTENT_ENCODING)
        .map_or(&b""[..], |value| value.as_bytes());
    let has_signed_chunks = encoding
        .windows(SIGNED_CHUNKS.len())
        .any(|window| window == SIGNED_CHUNKS);
    if hash.starts_with(b"STREAMING-") || has_signed_chunks {
        return Err(ApiError::not_implemented(
            "Bodies signed chunk by chunk are not served.",
        ));
    }
    if headers.contains_key("x-amz-copy-source") {
        return Err(ApiError::not_implemented("Copies are not served."));
    }
    Ok(())
}

impl ObjectRequest {
    /// The operation that the method and the query select.
    pub fn operation(&self, method: &Method) -> Result<Operation, ApiError> {
        let has_upload_id = self.query.contains_key("uploadId");
        let has_uploads = self.query.contains_key("uploads");
        match (method, has_upload_id, has_uploads) {
            (&Method::GET, false, false) => Ok(Operation::GetObject),
            (&Method::HEAD, false, false) => Ok(Operation::HeadObject),
            (&Method::PUT, false, false) => Ok(Operation::PutObject),
            (&Method::DELETE, false, false) => Ok(Operation::DeleteObject),
            (&Method::POST, false, true) => Ok(Operation::CreateUpload),
            (&Method::PUT, true, false) => Ok(Operation::UploadPart),
            (&Method::POST, true, false) => Ok(Operation::CompleteUpload),
            (&Method::DELETE, true, false) => Ok(Operation::AbortUpload),
            (&Method::GET, true, false) => Ok(Operation::ListParts),
            _ => Err(ApiError::request(
                StatusCode::METHOD_NOT_ALLOWED,
                "MethodNotAllowed",
                "Not allowed here.",
            )),
        }
    }

    /// The headers that are stored with the object.
    pub fn stored_headers(&self) -> HeaderMap {
        select_headers(&self.headers, &STORED_HEADERS)
    }

    /// The headers that make a read conditional.
    pub fn conditions(&self) -> HeaderMap {
        let present = CONDITIONS
            .iter()
            .filter_map(|name| Some((name.clone(), self.headers.get(name)?.clone())));
        present.collect()
    }

    /// The version that the request names, if any.
    pub fn version(&self) -> Result<Option<VersionId>, ApiError> {
        let Some(id) = self.query.get("versionId") else {
            return Ok(None);
        };
        let version = id.split_once('.').and_then(|(shard, own)| {
            let shard = shard.parse().ok().map(ShardId)?;
            Some(VersionId {
                shard,
                own: own.to_owned(),
            })
        });
        let invalid = || ApiError::invalid_argument("The version id is none of this deployment's.");
        version.map(Some).ok_or_else(invalid)
    }
}

/// The headers with one of the `names` or with [`METADATA_PREFIX`].
pub(super) fn select_headers(headers: &HeaderMap, names: &[&str]) -> HeaderMap {
    let is_selected = |name: &HeaderName| {
        names.contains(&name.as_str()) || name.as_str().starts_with(METADATA_PREFIX)
    };
    let selected = headers.iter().filter(|(name, _)| is_selected(name));
    selected
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
