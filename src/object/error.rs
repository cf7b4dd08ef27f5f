//! Errors of the object API and their responses.

use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_RANGE, ETAG, RETRY_AFTER};
use hyper::StatusCode;

use super::replies::{copy_header, document, empty};
use super::xml;
use crate::frontend::replies::Reply;

/// Why a request is not answered with a success.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    /// The request is at fault, by the front's check or the chunk server's answer.
    #[error("{message}")]
    Request {
        status: StatusCode,
        /// Code of the API, such as `NoSuchKey`.
        code: String,
        message: &'static str,
    },
    /// The range lies past the end of an object of this size, where it is known.
    #[error("The range lies past the end of the object.")]
    InvalidRange(Option<u64>),
    /// The object is not modified; the headers are those of the chunk server's answer.
    #[error("The object is not modified.")]
    NotModified(HeaderMap),
    /// The request was not executed; the client may retry after this time.
    #[error("It has not run; try again later.")]
    SlowDown(Duration),
    /// The request may have been executed.
    #[error("No answer came in time; it may have run.")]
    OutcomeUnknown,
}

impl ApiError {
    /// An error in the request.
    pub fn request(status: StatusCode, code: &str, message: &'static str) -> ApiError {
        ApiError::Request {
            status,
            code: code.to_owned(),
            message,
        }
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
        ApiError::request(
            StatusCode::NOT_FOUND,
            "NoSuchUpload",
            "The upload does not exist, or has ended.",
        )
    }

    /// The error for a request body that the listener rejected with `status`.
    pub fn rejected_body(status: StatusCode) -> ApiError {
        let (code, message) = match status {
            StatusCode::PAYLOAD_TOO_LARGE => {
                ("EntityTooLarge", "A body holds at most 64 KiB; send parts.")
            }
            StatusCode::REQUEST_TIMEOUT => ("RequestTimeout", "The body does not come."),
            _ => ("IncompleteBody", "The body breaks off, or does not fit."),
        };
        ApiError::request(StatusCode::BAD_REQUEST, code, message)
    }

    /// Whether the error means that the object or upload does not exist.
    pub fn is_not_found(&self) -> bool {
        matches!(
            self,
            ApiError::Request {
                status: StatusCode::NOT_FOUND,
                ..
            }
        )
    }

    /// The same error for a request that changes nothing: one whose outcome is unknown may simply
    /// be retried, here after `retry_after`.
    pub fn of_read(self, retry_after: Duration) -> ApiError {
        match self {
            ApiError::OutcomeUnknown => ApiError::SlowDown(retry_after),
            other => other,
        }
    }

    /// The status of the response.
    fn status(&self) -> StatusCode {
        match self {
            ApiError::Request { status, .. } => *status,
            ApiError::InvalidRange(_) => StatusCode::RANGE_NOT_SATISFIABLE,
            ApiError::NotModified(_) => StatusCode::NOT_MODIFIED,
            ApiError::SlowDown(_) => StatusCode::SERVICE_UNAVAILABLE,
            ApiError::OutcomeUnknown => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// The code of the API.
    fn code(&self) -> &str {
        match self {
            ApiError::Request { code, .. } => code,
            ApiError::InvalidRange(_) => "InvalidRange",
            ApiError::NotModified(_) => "NotModified",
            ApiError::SlowDown(_) => "SlowDown",
            ApiError::OutcomeUnknown => "InternalError",
        }
    }

    /// Adds the header that belongs to the error, if any.
    fn add_header(&self, headers: &mut HeaderMap) {
        match self {
            ApiError::InvalidRange(Some(size)) => {
                if let Ok(range) = HeaderValue::try_from(format!("bytes */{size}")) {
                    headers.insert(CONTENT_RANGE, range);
                }
            }
            ApiError::SlowDown(retry_after) => {
                // Clients of this API read integral seconds, and 0 would be no delay.
                let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
                headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
            }
            _ => {}
        }
    }

    /// The response to a request for `resource` with the id `request_id`. A response to HEAD has no
    /// body.
    pub fn into_reply(self, resource: &str, request_id: &str, is_head: bool) -> Reply {
        if let ApiError::NotModified(answer_headers) = &self {
            return not_modified(answer_headers);
        }
        let message = self.to_string();
        let error = xml::Error {
            code: self.code(),
            message: &message,
            resource,
            request_id,
        };
        let mut reply = document(self.status(), "Error", &error);
        self.add_header(reply.headers_mut());
        if is_head {
            *reply.body_mut() = Either::Left(Full::default());
        }
        reply
    }
}

/// 304 with the entity tag of the chunk server's answer.
fn not_modified(answer_headers: &HeaderMap) -> Reply {
    let mut reply = empty(StatusCode::NOT_MODIFIED);
    copy_header(answer_headers, &ETAG, reply.headers_mut());
    reply
}
