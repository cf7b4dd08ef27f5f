//! Parsing of object API requests, and selection of the operation that each one asks for.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING, IF_MATCH, IF_MODIFIED_SINCE,
    IF_NONE_MATCH, IF_UNMODIFIED_SINCE,
};
use hyper::{Method, StatusCode, Uri};
use tulipbridge_core::ShardId;

use super::error::ApiError;
use super::query::{decode, query_field, query_names, Query};
use super::server_client::ServerClient;
use super::Bucket;

/// Prefix of the headers with user-defined metadata.
pub(super) const METADATA_PREFIX: &str = "x-amz-meta-";
/// Content encoding of bodies that contain a signature for each chunk.
const SIGNED_CHUNKS: &[u8] = b"aws-chunked";
/// Header with the hash of the body, or with a marker for the way the body is signed.
const CONTENT_HASH: HeaderName = HeaderName::from_static("x-amz-content-sha256");
/// Prefix of the [`CONTENT_HASH`] value for bodies that contain a signature for each chunk.
const SIGNED_CHUNKS_HASH: &[u8] = b"STREAMING-";
/// Header that names the object to copy.
const COPY_SOURCE: HeaderName = HeaderName::from_static("x-amz-copy-source");
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
const CONDITION_HEADERS: [HeaderName; 4] = [
    IF_MATCH,
    IF_NONE_MATCH,
    IF_MODIFIED_SINCE,
    IF_UNMODIFIED_SINCE,
];

/// An operation of the object API.
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

/// A parsed request of the object API.
#[derive(Clone)]
pub(super) struct ObjectRequest {
    pub bucket: Bucket,
    pub bucket_name: String,
    /// Name of the object in its bucket, percent-decoded.
    pub key: String,
    /// The path as it was received, percent-encoded.
    pub path: String,
    pub query: Query,
    pub headers: HeaderMap,
    /// Time by which the request must be answered. Streaming an object renews it for every piece.
    pub deadline: Instant,
    /// Whether the response has begun, so that the request reads the rest of its body.
    pub continues_response: bool,
}

/// A version id, as clients see it: the shard that stores the version, and the chunk server's id
/// for it.
pub(super) struct VersionId {
    pub shard: ShardId,
    /// Id that the chunk server assigned; empty where it keeps no versions.
    pub server_version_id: String,
}

impl VersionId {
    /// Returns the query that names the version to its chunk server, or `None` where the server
    /// keeps no versions.
    pub fn query(&self) -> Option<String> {
        let has_versions = !self.server_version_id.is_empty();
        has_versions.then(|| query_field(query_names::VERSION_ID, &self.server_version_id))
    }
}

/// Parses requests for the buckets of one front.
pub(super) struct RequestParser {
    /// Buckets by name.
    buckets: HashMap<String, Bucket>,
    /// Provides the deadlines of the classes.
    client: Rc<ServerClient>,
}

impl RequestParser {
    /// Creates a parser for `buckets`, keyed by name, with the deadlines of `client`.
    pub(super) fn new(buckets: HashMap<String, Bucket>, client: Rc<ServerClient>) -> RequestParser {
        RequestParser { buckets, client }
    }

    /// Parses a request head.
    ///
    /// # Errors
    /// The path names no object in a declared bucket, or the request uses a feature of the API that
    /// is not supported.
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
        let bucket = self.find_bucket(&bucket_name)?;
        let query = Query::parse(uri.query().unwrap_or_default())?;
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
            deadline: Instant::now() + self.client.deadline(class),
            continues_response: false,
        })
    }

    /// Returns the bucket with this name, or the error `NoSuchBucket`.
    fn find_bucket(&self, name: &str) -> Result<&Bucket, ApiError> {
        self.buckets.get(name).ok_or_else(|| {
            ApiError::request(
                StatusCode::NOT_FOUND,
                "NoSuchBucket",
                "The bucket is not declared at this front.",
            )
        })
    }
}

/// Rejects copies and bodies that are signed chunk by chunk, which are not supported.
fn reject_unsupported(headers: &HeaderMap) -> Result<(), ApiError> {
    if has_signed_chunks(headers) {
        return Err(ApiError::not_implemented(
            "Bodies signed chunk by chunk are not served.",
        ));
    }
    if headers.contains_key(COPY_SOURCE) {
        return Err(ApiError::not_implemented("Copies are not served."));
    }
    Ok(())
}

/// Returns whether the body contains signatures between its chunks. They must not be stored as
/// data.
fn has_signed_chunks(headers: &HeaderMap) -> bool {
    let hash = header_bytes(headers, &CONTENT_HASH);
    let encoding = header_bytes(headers, &CONTENT_ENCODING);
    let mut encodings = encoding.windows(SIGNED_CHUNKS.len());
    hash.starts_with(SIGNED_CHUNKS_HASH) || encodings.any(|window| window == SIGNED_CHUNKS)
}

/// Returns the value of a header, empty if it is absent.
fn header_bytes<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a [u8] {
    headers.get(name).map_or(&[], HeaderValue::as_bytes)
}

impl ObjectRequest {
    /// Returns the operation that the method and the query select.
    ///
    /// # Errors
    /// `MethodNotAllowed` if they select none.
    pub fn operation(&self, method: &Method) -> Result<Operation, ApiError> {
        let has_upload_id = self.query.contains(query_names::UPLOAD_ID);
        let has_uploads = self.query.contains(query_names::UPLOADS);
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

    /// Returns the headers that are stored with the object.
    pub fn stored_headers(&self) -> HeaderMap {
        select_headers(&self.headers, &STORED_HEADERS)
    }

    /// Returns the headers that make a read conditional.
    pub fn conditions(&self) -> HeaderMap {
        let present = CONDITION_HEADERS
            .iter()
            .filter_map(|name| Some((name.clone(), self.headers.get(name)?.clone())));
        present.collect()
    }

    /// Returns the version that the request names, if any.
    ///
    /// # Errors
    /// `InvalidArgument` if the id does not have the form `SHARD.VERSION`.
    pub fn version(&self) -> Result<Option<VersionId>, ApiError> {
        let Some(id) = self.query.get(query_names::VERSION_ID) else {
            return Ok(None);
        };
        let version = id.split_once('.').and_then(|(shard, server_version_id)| {
            let shard = shard.parse().ok().map(ShardId)?;
            Some(VersionId {
                shard,
                server_version_id: server_version_id.to_owned(),
            })
        });
        let invalid = || ApiError::invalid_argument("The version id is none of this deployment's.");
        version.map(Some).ok_or_else(invalid)
    }
}

/// Returns the headers with one of the `names` or with the prefix [`METADATA_PREFIX`].
pub(super) fn select_headers(headers: &HeaderMap, names: &[&str]) -> HeaderMap {
    let is_selected = |name: &HeaderName| {
        names.contains(&name.as_str()) || name.as_str().starts_with(METADATA_PREFIX)
    };
    let selected = headers.iter().filter(|(name, _)| is_selected(name));
    selected
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
