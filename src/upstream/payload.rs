//! Requests to chunk servers and their responses.

use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, StatusCode, Uri};
use tulipbridge_core::ShardId;

use crate::body_budget::BodyReservation;
use crate::telemetry::metrics::ClassMetrics;

/// A request to a chunk server.
pub struct Payload {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Transaction id.
    pub transaction_id: HeaderValue,
    /// Further headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Which responses count as answers to the client.
    pub accepted_responses: AcceptedResponses,
    /// Counts an attempt once its last byte is written.
    pub metrics: Option<ClassMetrics>,
    /// Keeps the memory of the body reserved for as long as the payload lives.
    pub reservation: Option<Arc<BodyReservation>>,
}

/// Which responses of a chunk server are answers to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptedResponses {
    /// 200 alone; anything else is an error of the server.
    OkOnly,
    /// Those of the object API: any success, and any error in the request itself.
    ObjectApi,
}

/// A response of a chunk server.
#[derive(Debug)]
pub struct Answer {
    /// The shard of the server.
    pub shard: ShardId,
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, empty where it is streamed.
    pub body: Bytes,
    /// A long body that is still arriving and is streamed to the client.
    pub streamed: Option<StreamedBody>,
}

/// A long body that is still arriving, with its connection. It is read only as fast as the client
/// reads, so that a few parts of it are buffered at most. Dropping it closes the connection.
pub struct StreamedBody {
    /// The part of the body that has arrived already.
    pub buffered: Bytes,
    /// The rest of the body.
    pub body: Incoming,
    /// The length of the whole body in bytes, where the server announced it.
    pub length: Option<u64>,
    /// Returns the connection to its pool; dropping this closes the connection.
    release_connection: Option<Box<dyn FnOnce()>>,
}

impl StreamedBody {
    /// A body that does not own its connection yet.
    pub(super) fn new(buffered: Bytes, body: Incoming, length: Option<u64>) -> StreamedBody {
        StreamedBody {
            buffered,
            body,
            length,
            release_connection: None,
        }
    }

    /// Keeps the connection that the body arrives on, as the closure that returns it to its pool.
    pub(super) fn keep_connection(&mut self, release: impl FnOnce() + 'static) {
        self.release_connection = Some(Box::new(release));
    }

    /// The body is complete: returns its connection to the pool for another request.
    pub fn release_connection(mut self) {
        if let Some(release) = self.release_connection.take() {
            release();
        }
    }
}

impl std::fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StreamedBody")
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}
