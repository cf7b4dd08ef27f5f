//! Responses that are common to all fronts: plain text, health checks, and rejections with a retry
//! time.

use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::Body;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};

use crate::control::readiness::Readiness;
use crate::frontend::forwarded_body::ForwardedBody;

/// Path of the readiness check: whether new requests may be sent to this front.
const READY_PATH: &str = "/health/ready";
/// Path of the liveness check: whether the process answers at all.
const LIVE_PATH: &str = "/health/live";
/// `Retry-After` of a rejection by the listener, before a request reaches the handler.
const REJECTION_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A body whose parts are made as its client reads them.
pub type StreamedReplyBody = Pin<Box<dyn Body<Data = Bytes, Error = io::Error>>>;

/// A body that is either complete or streamed: in pieces that several requests read, or from one
/// chunk server as it arrives.
pub type ReplyBody = Either<Full<Bytes>, Either<StreamedReplyBody, ForwardedBody>>;

/// A response to a client.
pub type Reply = Response<ReplyBody>;

/// Returns a response with a short plain-text body.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(text.into())));
    *reply.status_mut() = status;
    reply
}

/// Returns the response to a health check, or `None` for any other request. A front that starts or
/// shuts down is alive but not ready.
pub(crate) fn health_check(
    method: &Method,
    path: &str,
    readiness: &Readiness,
    shutting_down: bool,
) -> Option<Reply> {
    if method != Method::GET {
        return None;
    }
    match path {
        READY_PATH if shutting_down => Some(plain(StatusCode::SERVICE_UNAVAILABLE, "leaving")),
        READY_PATH if !readiness.is_ready() => {
            Some(plain(StatusCode::SERVICE_UNAVAILABLE, "starting"))
        }
        READY_PATH | LIVE_PATH => Some(plain(StatusCode::OK, "ok")),
        _ => None,
    }
}

/// Returns a 503 for a request that was not executed; the client may retry after `retry_after`.
pub fn rejected(retry_after: Duration) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after.as_secs_f64())) {
        reply.headers_mut().insert(RETRY_AFTER, seconds);
    }
    reply
}

/// Returns a rejection that closes the connection, for a request that the listener has no capacity
/// for.
pub(super) fn listener_overloaded() -> Reply {
    with_connection_close(rejected(REJECTION_RETRY_AFTER))
}

/// Adds `Connection: close`, which closes the connection after this response.
pub(super) fn with_connection_close(mut reply: Reply) -> Reply {
    reply
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}
