//! Requests to chunk servers on behalf of an API request, which may need several of them.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::Method;
use tulipbridge_core::ShardId;

/// A request to a chunk server. Its path is that of the API request.
pub(super) struct ServerRequest {
    /// Index of the class by which the decision module schedules it.
    pub class: usize,
    /// The shard that must serve it; `None` leaves the choice to the decision module.
    pub shard: Option<ShardId>,
    pub method: Method,
    /// Percent-encoded query without the question mark; empty for none.
    pub query: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Size of the request, in units of work of the bucket.
    pub units: f64,
}

impl ServerRequest {
    /// Creates a request of one unit to any shard, without query, headers or body.
    pub fn new(class: usize, method: Method) -> ServerRequest {
        ServerRequest {
            class,
            shard: None,
            method,
            query: String::new(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            units: 1.0,
        }
    }
}
