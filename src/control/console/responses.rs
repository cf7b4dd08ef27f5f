//! Builds the HTTP responses of the console.

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::{Response, StatusCode};

/// The content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
/// The content type of the status of peers and ejections.
const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");

/// The type of all responses of the console, whose bodies are in memory.
pub(super) type ConsoleResponse = Response<Full<Bytes>>;

/// Returns a response with a plain text body and without a content type.
pub(super) fn plain(status: StatusCode, body: impl Into<Bytes>) -> ConsoleResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Returns the 404 response to a request for something that does not exist.
pub(super) fn not_found(body: impl Into<Bytes>) -> ConsoleResponse {
    plain(StatusCode::NOT_FOUND, body)
}

/// Returns the 405 response to a request with a method that its path does not support.
pub(super) fn method_not_allowed(body: &'static str) -> ConsoleResponse {
    plain(StatusCode::METHOD_NOT_ALLOWED, body)
}

/// Returns a response with metrics in the Prometheus text format.
pub(super) fn metrics(body: Vec<u8>) -> ConsoleResponse {
    with_content_type(METRICS_CONTENT_TYPE, body)
}

/// Returns a successful response with a JSON text.
pub(super) fn json(body: String) -> ConsoleResponse {
    with_content_type(JSON_CONTENT_TYPE, body)
}

/// Returns a successful response with a content type.
fn with_content_type(content_type: HeaderValue, body: impl Into<Bytes>) -> ConsoleResponse {
    let mut response = plain(StatusCode::OK, body);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
