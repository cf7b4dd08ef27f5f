//! Errors of the object API and the responses that report them.

use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderValue, CONTENT_RANGE, ETAG, RETRY_AFTER};
use hyper::StatusCode;

use super::replies::{copy_header, document_reply, empty_reply};
use super::xml;
use crate::frontend::replies::Reply;

/// An outcome of a request other than success.
#[derive(Debug, thiserror::Error)]
pub(super) enum ApiError {
    /// The request was rejected as incorrect, by the front or by the chunk server.
    #[error("{message}")]
    Request {
        status: StatusCode,
        /// Error code of the API, such as `NoSuchKey`.
        code: String,
        message: &'static str,
    },
    /// The range lies past the end of the object, whose size in bytes is given if it is known.
    #[error("The range lies past the end of the object.")]
    InvalidRange(Option<u64>),
    /// The object is not modified. Contains the headers of the chunk server's answer.
    #[error("The object is not modified.")]
    NotModified(HeaderMap),
    /// The request was not executed; the client may retry after this time.
    #[error("It has not run; try again later.")]
    SlowDown(Duration),
    /// The request may or may not have been executed.
    #[error("No answer came in time; it may have run.")]
    OutcomeUnknown,
}

impl ApiError {
    /// Creates an error in the request.
    pub fn request(status: StatusCode, code: &str, message: &'static str) -> ApiError {
        ApiError::Request {
            status,
            code: code.to_owned(),
            message,
        }
    }

    /// Creates a 400 `InvalidArgument`.
    pub fn invalid_argument(message: &'static str) -> ApiError {
        ApiError::request(StatusCode::BAD_REQUEST, "InvalidArgument", message)
    }

    /// Creates a 501 `NotImplemented`.
    pub fn not_implemented(message: &'static str) -> ApiError {
        ApiError::request(StatusCode::NOT_IMPLEMENTED, "NotImplemented", message)
    }

    /// Creates a 404 `NoSuchUpload`.
    pub fn no_such_upload() -> ApiError {
        ApiError::request(
            StatusCode::NOT_FOUND,
            "NoSuchUpload",
            "The upload does not exist, or has ended.",
        )
    }

    /// Creates the error for a request body that the listener rejected with `status`.
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

    /// Returns whether the error means that the object or upload does not exist.
    pub fn is_not_found(&self) -> bool {
        matches!(
            self,
            ApiError::Request {
                status: StatusCode::NOT_FOUND,
                ..
            }
        )
    }

    /// Converts the error of a request that changes nothing: one whose outcome is unknown can
    /// safely be retried, after `retry_after`.
    pub fn for_read(self, retry_after: Duration) -> ApiError {
        match self {
            ApiError::OutcomeUnknown => ApiError::SlowDown(retry_after),
            other => other,
        }
    }

    /// Returns the status of the response.
    fn status(&self) -> StatusCode {
        match self {
            ApiError::Request { status, .. } => *status,
            ApiError::InvalidRange(_) => StatusCode::RANGE_NOT_SATISFIABLE,
            ApiError::NotModified(_) => StatusCode::NOT_MODIFIED,
            ApiError::SlowDown(_) => StatusCode::SERVICE_UNAVAILABLE,
            ApiError::OutcomeUnknown => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }

    /// Returns the error code of the API.
    fn code(&self) -> &str {
        match self {
            ApiError::Request { code, .. } => code,
            ApiError::InvalidRange(_) => "InvalidRange",
            ApiError::NotModified(_) => "NotModified",
            ApiError::SlowDown(_) => "SlowDown",
            ApiError::OutcomeUnknown => "InternalError",
        }
    }

    /// Adds the size of the object or the delay before a retry, if the error contains one.
    fn add_header(&self, headers: &mut HeaderMap) {
        match self {
            ApiError::InvalidRange(Some(size)) => {
                if let Ok(range) = HeaderValue::try_from(format!("bytes */{size}")) {
                    headers.insert(CONTENT_RANGE, range);
                }
            }
            ApiError::SlowDown(retry_after) => {
                // Clients of this API expect whole seconds, and 0 would mean no delay.
                let seconds = retry_after.as_secs_f64().ceil().max(1.0) as u64;
                headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
            }
            _ => {}
        }
    }

    /// Converts the error into the response to the request `request_id` for the path `resource`. A
    /// response to HEAD has no body.
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
        let mut reply = document_reply(self.status(), "Error", &error);
        self.add_header(reply.headers_mut());
        if is_head {
            *reply.body_mut() = Either::Left(Full::default());
        }
        reply
    }
}

/// Creates a 304 response with the entity tag of the chunk server's answer.
fn not_modified(answer_headers: &HeaderMap) -> Reply {
    let mut reply = empty_reply(StatusCode::NOT_MODIFIED);
    copy_header(answer_headers, &ETAG, reply.headers_mut());
    reply
}
