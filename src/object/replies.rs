//! Helpers that build responses to clients of the object API.

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{Response, StatusCode};

use super::xml;
use crate::frontend::replies::Reply;

/// Header with a version id.
pub(super) const VERSION_ID: HeaderName = HeaderName::from_static("x-amz-version-id");

/// Creates a response without a body.
pub(super) fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Either::Left(Full::default()));
    *reply.status_mut() = status;
    reply
}

/// Creates a response with an XML document, whose root element is `root`.
pub(super) fn document_reply<T: serde::Serialize>(
    status: StatusCode,
    root: &str,
    value: &T,
) -> Reply {
    let text = xml::write(root, value).unwrap_or_default();
    let mut reply = empty_reply(status);
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/xml"));
    reply
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(text.len()));
    *reply.body_mut() = Either::Left(Full::from(text));
    reply
}

/// Copies a header if it is present.
pub(super) fn copy_header(from: &HeaderMap, name: &HeaderName, to: &mut HeaderMap) {
    if let Some(value) = from.get(name) {
        to.insert(name.clone(), value.clone());
    }
}
