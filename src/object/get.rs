//! Operations that read objects: GetObject with byte ranges, and HeadObject.

use std::ops::Range;
use std::rc::Rc;

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE};
use hyper::StatusCode;

use super::error::ApiError;
use super::object_read::ObjectRead;
use super::range::ByteRange;
use super::replies::{copy_header, empty_reply, VERSION_ID};
use super::request::{select_headers, ObjectRequest};
use super::server_client::ServerClient;
use crate::frontend::replies::Reply;
use crate::upstream::Answer;

/// Headers of a chunk server's answer that describe an object, besides those with user-defined
/// metadata.
const OBJECT_HEADERS: [&str; 8] = [
    "content-type",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "expires",
    "etag",
    "last-modified",
];

/// Executes HeadObject.
pub(super) async fn head(
    client: &Rc<ServerClient>,
    request: ObjectRequest,
) -> Result<Reply, ApiError> {
    let read = ObjectRead::start(client, request).await?;
    let answer = read.head().await?;
    let mut reply = empty_reply(StatusCode::OK);
    insert_object_headers(&answer, read.requested_version(), reply.headers_mut())?;
    copy_header(&answer.headers, &CONTENT_LENGTH, reply.headers_mut());
    Ok(reply)
}

/// Executes GetObject. A selected range larger than one piece is streamed.
pub(super) async fn get(
    client: &Rc<ServerClient>,
    request: ObjectRequest,
) -> Result<Reply, ApiError> {
    let read = ObjectRead::start(client, request).await?;
    let requested = read.requested_range();
    let piece = read.first_piece(requested).await?;
    let size = piece.range.size;
    let selected = selected_bytes(requested, size)?;
    // An answer with another range than the requested one cannot be used.
    let received = &piece.range.bytes;
    if received.start != selected.start || received.end > selected.end {
        return Err(ApiError::OutcomeUnknown);
    }
    let status = if requested.is_some() {
        StatusCode::PARTIAL_CONTENT
    } else {
        StatusCode::OK
    };
    let mut reply = empty_reply(status);
    let headers = reply.headers_mut();
    insert_object_headers(&piece.answer, read.requested_version(), headers)?;
    let length = selected.end - selected.start;
    headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    if requested.is_some() {
        headers.insert(CONTENT_RANGE, content_range(&selected, size)?);
    }
    *reply.body_mut() = if received.end == selected.end {
        Either::Left(Full::new(piece.answer.body))
    } else {
        Either::Right(Either::Left(read.stream(piece, selected.end)))
    };
    Ok(reply)
}

/// Returns the positions that a request selects in an object of `size` bytes.
fn selected_bytes(requested: Option<ByteRange>, size: u64) -> Result<Range<u64>, ApiError> {
    match requested {
        Some(range) => range.within(size).ok_or(ApiError::InvalidRange(Some(size))),
        None => Ok(0..size),
    }
}

/// Returns the value of `Content-Range` for `bytes` of an object of `size` bytes.
fn content_range(bytes: &Range<u64>, size: u64) -> Result<HeaderValue, ApiError> {
    let range = format!("bytes {}-{}/{size}", bytes.start, bytes.end - 1);
    HeaderValue::try_from(range).map_err(|_| ApiError::OutcomeUnknown)
}

/// Adds the headers that describe an object. If the answer does not name the version, it is the one
/// that the client requested, if any.
fn insert_object_headers(
    answer: &Answer,
    requested: Option<HeaderValue>,
    to: &mut HeaderMap,
) -> Result<(), ApiError> {
    to.extend(select_headers(&answer.headers, &OBJECT_HEADERS));
    to.insert(ACCEPT_RANGES, HeaderValue::from_static("bytes"));
    let version_id = match requested.filter(|_| !answer.headers.contains_key(VERSION_ID)) {
        Some(requested) => requested,
        None => answer.version_id()?,
    };
    to.insert(VERSION_ID, version_id);
    Ok(())
}
