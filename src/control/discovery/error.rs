//! Errors of a watch on discovery.

use hyper::StatusCode;

use crate::control::http_client::HttpError;
use crate::control::json_object::JsonObjectError;

/// Why a watch cannot be opened, or a message of it cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The call failed, or the connection of the open watch did.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Discovery responded to the call with another status than 200.
    #[error("response status {0}")]
    Status(StatusCode),
    /// A message is not JSON.
    #[error(transparent)]
    Syntax(simd_json::Error),
    /// A message is not an endpoint list.
    #[error(transparent)]
    EndpointList(#[from] JsonObjectError),
}

impl DiscoveryError {
    /// Returns whether a call ended without any response from discovery, because the connection or
    /// the response timed out.
    pub fn is_timeout(&self) -> bool {
        matches!(
            self,
            DiscoveryError::Http(HttpError::ConnectTimeout | HttpError::ResponseTimeout)
        )
    }
}
