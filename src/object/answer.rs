//! Conversion of chunk servers' answers into successes and errors of the object API.

use hyper::header::{HeaderValue, CONTENT_RANGE};
use hyper::StatusCode;

use super::error::ApiError;
use super::replies::VERSION_ID;
use super::xml;
use crate::upstream::Answer;

/// What a chunk server's 404 without an error code refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotFound {
    Key,
    Upload,
}

impl NotFound {
    /// Returns the error code of the API.
    fn code(self) -> &'static str {
        match self {
            NotFound::Key => "NoSuchKey",
            NotFound::Upload => "NoSuchUpload",
        }
    }
}

/// The error document of a chunk server.
#[derive(serde::Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ErrorDocument {
    code: String,
}

impl Answer {
    /// Returns the answer if its status is a success.
    ///
    /// # Errors
    /// The error that the chunk server reports. `not_found` selects the code for a 404 without one.
    pub(super) fn into_success(self, not_found: NotFound) -> Result<Answer, ApiError> {
        if self.status.is_success() {
            return Ok(self);
        }
        Err(match self.status {
            StatusCode::NOT_MODIFIED => ApiError::NotModified(self.headers),
            StatusCode::RANGE_NOT_SATISFIABLE => ApiError::InvalidRange(self.unsatisfied_size()),
            StatusCode::NOT_FOUND => {
                self.request_error(self.status, not_found.code(), "It is not there.")
            }
            StatusCode::PRECONDITION_FAILED => self.request_error(
                self.status,
                "PreconditionFailed",
                "A condition of the request does not hold.",
            ),
            StatusCode::CONFLICT => self.request_error(
                self.status,
                "OperationAborted",
                "Another operation is in its way.",
            ),
            _ => self.request_error(
                StatusCode::BAD_REQUEST,
                "InvalidRequest",
                "The node does not accept it.",
            ),
        })
    }

    /// Creates an error in the request, with the code of the chunk server's error document, or with
    /// `default_code` if the answer contains no such document.
    fn request_error(
        &self,
        status: StatusCode,
        default_code: &str,
        message: &'static str,
    ) -> ApiError {
        let document: Option<ErrorDocument> = xml::read(&self.body);
        let code = document.map_or_else(|| default_code.to_owned(), |document| document.code);
        ApiError::Request {
            status,
            code,
            message,
        }
    }

    /// Returns the size of the object from `Content-Range: bytes */SIZE`, if the answer has it.
    fn unsatisfied_size(&self) -> Option<u64> {
        let range = self.headers.get(CONTENT_RANGE)?.to_str().ok()?;
        range.trim().strip_prefix("bytes */")?.parse().ok()
    }

    /// Returns the version id for clients: the shard, and the id that the chunk server assigned.
    pub(super) fn version_id(&self) -> Result<HeaderValue, ApiError> {
        let server_version_id = self
            .headers
            .get(VERSION_ID)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        HeaderValue::try_from(format!("{}.{server_version_id}", self.shard))
            .map_err(|_| ApiError::OutcomeUnknown)
    }
}
