//! Errors of the object API and their responses.

use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_RANGE, ETAG, RETRY_AFTER};
use hyper::StatusCode;

use super::replies::{copy_header, document, empty};
use super::xml;
use crate::frontend::replies::Reply;

/// Why a request is not answered with a success.
#[derive(Debug)]
pub(super) enum ApiError {
    /// The request is at fault, by the front's check or the chunk server's answer.
    Request {
        status: StatusCode,
        /// Code of the API, such as `NoSuchKey`.
        code: String,
        message: &'static str,
    },
    /// The range lies past the end of an object of this size, where it is known.
    InvalidRange(Option<u64>),
    /// The object is not modified; the headers are those of the chunk server's answer.
    NotModified(HeaderMap),
    /// The request was not executed; the client may retry after this time.
    SlowDown(Duration),
    /// The request may have been executed.
    OutcomeUnknown,
}

impl ApiError {
    /// An error in the request.
    pub fn request(status: StatusCode, code: &str, message: &'static str) -> ApiError {
        ApiError::Request { status, code: code.to_owned(), message }
    }

    /// 400 `InvalidArgument`.
    pub fn invalid_argument(message: &'static str) -> ApiError {
        ApiError::request(StatusCode::BAD_REQUEST, "InvalidArgument", message)
    }

    /// 501 `NotImplemented`.
    pub fn not_implemented(message: &'static str) -> ApiError {
        ApiError::request(StatusCode::NOT_IMPLEMENTED, "NotImplemented", message)
    }

    /// 404 `NoSuchUpload`.
    pub fn no_such_upload() -> ApiError {
        ApiError::request(StatusCode::NOT_FOUND, "NoSuchUpload", "The upload does not exist, or has ended.")
    }

    /// The error for a request body that the listener refused with `status`.
    pub fn refused_body(status: StatusCode) -> ApiError {
        let (code, message) = match status {
            StatusCode::PAYLOAD_TOO_LARGE => ("EntityTooLarge", "A body holds at most 64 KiB; send parts."),
            StatusCode::REQUEST_TIMEOUT => ("RequestTimeout", "The body does not come."),
            _ => ("IncompleteBody", "The body breaks off, or does not fit."),
        };
        ApiError::request(StatusCode::BAD_REQUEST, code, message)
    }

    /// Whether the error says that the object or upload does not exist.
    pub fn is_not_found(&self) -> bool {
        matches!(self, ApiError::Request { status: StatusCode::NOT_FOUND, .. })
    }

    /// The same error for a request that changes nothing: one whose outcome is unknown may simply be repeated, here
    /// after `retry_after`.
    pub fn of_read(self, retry_after: Duration) -> ApiError {
        match self {
            ApiError::OutcomeUnknown => ApiError::SlowDown(retry_after),
            other => other,
        }
    }

    /// The response to a request for `resource` with the id `request_id`. A response to HEAD has no body.
    pub fn into_reply(self, resource: &str, request_id: &str, is_head: bool) -> Reply {
        let mut headers = HeaderMap::new();
        let (status, code, message) = match self {
            ApiError::Request { status, code, message } => (status, code, message),
            ApiError::NotModified(answer_headers) => return not_modified(&answer_headers),
            ApiError::InvalidRange(size) => {
                let range = size.and_then(|size| HeaderValue::try_from(format!("bytes */{size}")).ok());
                headers.extend(range.map(|range| (CONTENT_RANGE, range)));
                let message = "The range lies past the end of the object.";
                (StatusCode::RANGE_NOT_SATISFIABLE, "InvalidRange".to_owned(), message)
            }
            ApiError::SlowDown(retry_after) => {
                // Clients of this API read whole seconds, and 0 would be no delay.
                let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
                headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
                (StatusCode::SERVICE_UNAVAILABLE, "SlowDown".to_owned(), "It has not run; try again later.")
            }
            ApiError::OutcomeUnknown => {
                let message = "No answer came in time; it may have run.";
                (StatusCode::INTERNAL_SERVER_ERROR, "InternalError".to_owned(), message)
            }
        };
        let error = xml::Error { code: &code, message, resource, request_id };
        let mut reply = document(status, "Error", &error);
        reply.headers_mut().extend(headers);
        if is_head {
            *reply.body_mut() = Either::Left(Full::default());
        }
        reply
    }
}

fn not_modified(answer_headers: &HeaderMap) -> Reply {
    let mut reply = empty(StatusCode::NOT_MODIFIED);
    copy_header(answer_headers, &ETAG, reply.headers_mut());
    reply
}
