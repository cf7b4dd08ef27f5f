//! Why the declarations in etcd cannot be followed.

use hyper::StatusCode;

use crate::control::http_client::HttpError;
use crate::control::json_object::JsonObjectError;

/// Why the declarations in etcd cannot be followed.
#[derive(Debug, thiserror::Error)]
pub enum EtcdError {
    /// A call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A request cannot be encoded.
    #[error("the request cannot be encoded: {0}")]
    Encode(#[source] simd_json::Error),
    /// A response is not JSON, or lacks a required field.
    #[error("invalid response: {0}")]
    Decode(#[from] JsonObjectError),
    /// Etcd rejected the request for the list.
    #[error("the list was answered {status}: {body}")]
    ListStatus {
        /// The status of its response.
        status: StatusCode,
        /// The body of its response.
        body: String,
    },
    /// Etcd rejected the request for the watch.
    #[error("the watch was answered {0}")]
    WatchStatus(StatusCode),
    /// The list has no revision.
    #[error("the list has no revision")]
    NoRevision,
    /// The watch reports an error.
    #[error("the watch failed: {0}")]
    WatchFailed(String),
    /// A message of the watch lacks its content.
    #[error("a message of the watch has no result")]
    NoResult,
    /// The watch was cancelled, for example because its revision has been compacted.
    #[error("the watch was cancelled; listing anew")]
    WatchCancelled,
    /// An event of the watch lacks the key that it is about.
    #[error("an event has no key")]
    NoKey,
    /// The receiver of the declarations is gone.
    #[error("the receiver of the declarations is gone")]
    ReceiverClosed,
}
