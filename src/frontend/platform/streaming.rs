//! Streaming of long response bodies from a chunk server to a client.

use http_body_util::Either;
use hyper::header::{HeaderValue, CONTENT_LENGTH};
use hyper::Response;

use crate::frontend::forwarded_body::ForwardedBody;
use crate::frontend::replies::Reply;
use crate::upstream::StreamedBody;

/// Returns a response that streams a body from a chunk server. It has the length that the server
/// has declared, if any, so that a client can detect a truncated body. Where the server's
/// connection fails, the client's connection is aborted.
pub(super) fn stream_response(streamed: StreamedBody) -> Reply {
    let length = streamed.length;
    let body = ForwardedBody::new(streamed);
    let mut reply = Response::new(Either::Right(Either::Right(body)));
    if let Some(length) = length {
        reply
            .headers_mut()
            .insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    reply
}
