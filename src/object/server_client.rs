//! Requests to chunk servers on behalf of an API request. One API request may take several of them.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use tokio::task::JoinSet;
use tulipbridge_core as core;
use tulipbridge_core::{KeyId, RequestId, ShardId, VolumeId};

use super::config::Bucket;
use super::error::ApiError;
use super::front_state::FrontState;
use super::request::ObjectRequest;
use crate::exchange::FinalResponse;
use crate::upstream::{Accepts, Answer, Payload};

/// A request to a chunk server, for the path of the API request.
pub(super) struct NodeRequest {
    pub class: usize,
    /// The shard that must serve it; `None` leaves the choice to the decision module.
    pub shard: Option<ShardId>,
    pub method: Method,
    /// Query without the question mark, encoded; empty for none.
    pub query: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Size of the request in units of the bucket.
    pub units: f64,
}

impl NodeRequest {
    /// A request of one unit to any shard, without query, headers and body.
    pub fn new(class: usize, method: Method) -> NodeRequest {
        NodeRequest {
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

/// The result of a request at one shard.
pub(super) struct ShardResult {
    pub shard: ShardId,
    pub result: Result<Answer, ApiError>,
}

impl FrontState {
    /// Sends a request to a chunk server through the exchange.
    pub(super) async fn send(
        &self,
        request: &ObjectRequest,
        node: NodeRequest,
    ) -> Result<Answer, ApiError> {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let patience = remaining.min(self.deadlines[node.class]);
        let core_request = core::Request {
            id: RequestId(0),
            class: node.class,
            plan: request.bucket.plan,
            volume: VolumeId(request.bucket.volume),
            key: Some(KeyId(key_hash(request))),
            patience: patience.as_nanos() as i64,
            units: node.units.clamp(1.0, self.max_units),
            shard: node.shard,
            front_count: request.bucket.front_count,
        };
        let payload = Payload {
            target: target(&request.path, &node.query)?,
            // Every request to a chunk server is a separate transaction, as the retry of a client
            // is.
            id: random_id()?,
            method: node.method,
            headers: node.headers,
            body: node.body,
            accepts: Accepts::Object,
            metrics: None,
            reservation: None,
        };
        match self.exchange.submit(core_request, payload).await {
            FinalResponse::Served(answer) => Ok(answer),
            FinalResponse::Rejected(retry_after) => Err(ApiError::SlowDown(retry_after)),
            FinalResponse::Failed => Err(ApiError::OutcomeUnknown),
        }
    }

    /// Sends the same request to every shard at once, with one unit and without headers.
    pub(super) async fn send_to_all_shards(
        self: &Rc<Self>,
        request: &ObjectRequest,
        method: Method,
    ) -> Vec<ShardResult> {
        let mut tasks = JoinSet::new();
        for shard in 0..self.shards {
            let front = Rc::clone(self);
            let request = request.clone();
            let node = NodeRequest {
                shard: Some(ShardId(shard)),
                ..NodeRequest::new(request.bucket.read_class, method.clone())
            };
            tasks.spawn_local(async move {
                let answer = front.send(&request, node).await;
                ShardResult {
                    shard: ShardId(shard),
                    result: answer.and_then(|answer| answer.into_success("NoSuchKey")),
                }
            });
        }
        let mut results = Vec::new();
        while let Some(result) = tasks.join_next().await {
            results.extend(result.ok());
        }
        results
    }

    /// Units that a body of `bytes` bytes counts.
    pub(super) fn units(&self, bucket: &Bucket, bytes: usize) -> f64 {
        (bytes as f64 / bucket.unit_bytes).ceil()
    }
}

/// A stable hash of the object's name, by which the decision module recognises it.
fn key_hash(request: &ObjectRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&request.bucket_name, &request.key).hash(&mut hasher);
    hasher.finish()
}

fn target(path: &str, query: &str) -> Result<Uri, ApiError> {
    let target = if query.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{query}")
    };
    target
        .parse()
        .map_err(|_| ApiError::invalid_argument("The path is malformed."))
}

fn random_id() -> Result<HeaderValue, ApiError> {
    let id = format!("{:016x}", fastrand::u64(..));
    HeaderValue::try_from(id).map_err(|_| ApiError::OutcomeUnknown)
}

/// Percent-encodes a value for a query.
pub(super) fn encode_query_value(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
