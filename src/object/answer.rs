//! Interpreting chunk servers' answers.

use hyper::header::{HeaderValue, CONTENT_RANGE};
use hyper::StatusCode;

use super::error::ApiError;
use super::replies::VERSION_ID;
use super::xml;
use crate::upstream::Answer;

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
    /// The error that the chunk server found. `not_found_code` is the code for a 404 that has none
    /// of its own.
    pub(super) fn into_success(self, not_found_code: &'static str) -> Result<Answer, ApiError> {
        let (status, default_code, message) = match self.status {
            status if status.is_success() => return Ok(self),
            StatusCode::NOT_MODIFIED => return Err(ApiError::NotModified(self.headers)),
            StatusCode::RANGE_NOT_SATISFIABLE => {
                return Err(ApiError::InvalidRange(self.unsatisfied_size()))
            }
            StatusCode::NOT_FOUND => (self.status, not_found_code, "It is not there."),
            StatusCode::PRECONDITION_FAILED => (
                self.status,
                "PreconditionFailed",
                "A condition of the request does not hold.",
            ),
            StatusCode::CONFLICT => (
                self.status,
                "OperationAborted",
                "Another operation is in its way.",
            ),
            _ => (
                StatusCode::BAD_REQUEST,
                "InvalidRequest",
                "The node does not accept it.",
            ),
        };
        let document: Option<ErrorDocument> = xml::read(&self.body);
        let code = document.map_or_else(|| default_code.to_owned(), |document| document.code);
        Err(ApiError::Request {
            status,
            code,
            message,
        })
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
