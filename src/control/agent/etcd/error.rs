//! Errors of following the declarations in etcd.

use hyper::StatusCode;

use crate::control::http_client::HttpError;
use crate::control::json_object::JsonObjectError;

/// Why the declarations in etcd cannot be followed.
#[derive(Debug, thiserror::Error)]
pub enum EtcdError {
    /// A call of the gateway failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A request cannot be encoded.
    #[error("the request cannot be encoded: {0}")]
    Encode(#[source] simd_json::Error),
    /// A response is not JSON, or lacks a required field.
    #[error("invalid response: {0}")]
    Decode(#[from] JsonObjectError),
    /// Etcd answered the list request with another status than 200.
    #[error("list failed: status {status}: {body}")]
    ListStatus {
        /// The status of etcd's response.
        status: StatusCode,
        /// The body of etcd's response, as text.
        body: String,
    },
    /// Etcd answered the watch request with another status than 200.
    #[error("watch failed to open: status {0}")]
    WatchStatus(StatusCode),
    /// The response to the list request does not say at which revision it was made.
    #[error("list response has no revision")]
    MissingRevision,
    /// A message of the watch reports an error.
    #[error("watch failed: {0}")]
    WatchFailed(String),
    /// A message of the watch has neither an error nor a result.
    #[error("watch message has no result")]
    MissingResult,
    /// The watch was cancelled, for example because its revision has been compacted.
    #[error("watch cancelled, listing the keys again")]
    WatchCancelled,
    /// An event of the watch does not say which key changed.
    #[error("watch event has no key")]
    MissingKey,
    /// The receiver of the declarations has been closed.
    #[error("the receiver of the declarations is closed")]
    ReceiverClosed,
}
