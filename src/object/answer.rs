//! Interpreting chunk servers' answers.

use hyper::header::{HeaderValue, CONTENT_RANGE};
use hyper::StatusCode;

use super::error::ApiError;
use super::replies::VERSION_ID;
use super::xml;
use crate::upstream::Answer;

/// What does not exist where a chunk server answers 404 without a code of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotFound {
    Key,
    Upload,
}

impl NotFound {
    /// The code of the API.
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
    /// The answer where it is a success.
    ///
    /// # Errors
    /// The error that the chunk server found. `not_found` is what a 404 without a code means.
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

    /// An error in the request. The code is that of the chunk server's error document, or else
    /// `default_code`.
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

    /// The size of the object in `Content-Range: bytes */SIZE`.
    fn unsatisfied_size(&self) -> Option<u64> {
        let range = self.headers.get(CONTENT_RANGE)?.to_str().ok()?;
        range.trim().strip_prefix("bytes */")?.parse().ok()
    }

    /// The version id for clients: the shard and the chunk server's own id.
    pub(super) fn version_id(&self) -> Result<HeaderValue, ApiError> {
        let own = self
            .headers
            .get(VERSION_ID)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        HeaderValue::try_from(format!("{}.{own}", self.shard)).map_err(|_| ApiError::OutcomeUnknown)
    }
}
