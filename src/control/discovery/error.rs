//! Why a watch on discovery cannot be opened or read.

use hyper::StatusCode;

use crate::control::http_client::HttpError;
use crate::control::json_object::JsonObjectError;

/// Why a watch cannot be opened or read.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Discovery answered the call with an error.
    #[error("it answered {0}")]
    Status(StatusCode),
    /// A message is not JSON.
    #[error(transparent)]
    Syntax(simd_json::Error),
    /// A message is not an endpoint list.
    #[error(transparent)]
    EndpointList(#[from] JsonObjectError),
}

impl DiscoveryError {
    /// Whether nothing came from discovery at all.
    pub fn is_silence(&self) -> bool {
        matches!(
            self,
            DiscoveryError::Http(HttpError::ConnectTimeout | HttpError::ResponseTimeout)
        )
    }
}
