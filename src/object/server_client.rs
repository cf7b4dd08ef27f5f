//! The client that sends requests to the chunk servers through the exchange.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::task::JoinSet;
use tulipbridge_core as core;
use tulipbridge_core::{KeyId, RequestId, Settings, ShardId, VolumeId};

use super::answer::NotFound;
use super::config::Bucket;
use super::error::ApiError;
use super::request::ObjectRequest;
use super::server_request::ServerRequest;
use crate::exchange::{Exchange, FinalResponse};
use crate::upstream::{AcceptedResponses, Answer, Payload, Upstream};

/// Sends requests to the chunk servers. Shared by the operations and by the tasks that stream
/// objects.
pub(super) struct ServerClient {
    exchange: Rc<Exchange<Upstream>>,
    /// Number of shards, which are numbered from 0.
    shards: u32,
    /// Longest time that a request may take, by class.
    deadlines: Vec<Duration>,
    /// Mean units of a request, assumed if the size is not known.
    mean_units: f64,
    /// Maximum units of a request, at least 1.
    max_units: f64,
}

/// The answer of one shard to a request that was sent to all.
pub(super) struct ShardAnswer {
    pub shard: ShardId,
    pub result: Result<Answer, ApiError>,
}

impl ServerClient {
    /// Creates a client that sends through `exchange` to `shards` shards.
    pub(super) fn new(
        exchange: Rc<Exchange<Upstream>>,
        shards: u32,
        settings: &Settings,
    ) -> Rc<ServerClient> {
        let deadlines = settings
            .classes
            .iter()
            .map(|class| Duration::from_nanos(class.deadline as u64));
        Rc::new(ServerClient {
            exchange,
            shards,
            deadlines: deadlines.collect(),
            mean_units: settings.mean_units,
            max_units: settings.max_units.max(1.0),
        })
    }

    /// Returns the exchange that the requests are sent through.
    pub(super) fn exchange(&self) -> &Rc<Exchange<Upstream>> {
        &self.exchange
    }

    /// Returns how long a request of `class` may take.
    pub(super) fn deadline(&self, class: usize) -> Duration {
        self.deadlines[class]
    }

    /// Returns the mean units of a request, for requests whose size is not known.
    pub(super) fn mean_units(&self) -> f64 {
        self.mean_units
    }

    /// Sends a request to a chunk server on behalf of `request`.
    ///
    /// # Errors
    /// [`ApiError::SlowDown`] if it was not executed, [`ApiError::OutcomeUnknown`] if it may have
    /// been. An error status in the chunk server's answer is not an error here.
    pub(super) async fn send(
        &self,
        request: &ObjectRequest,
        server_request: ServerRequest,
    ) -> Result<Answer, ApiError> {
        let core_request = self.core_request(request, &server_request);
        let payload = Payload {
            target: request_target(&request.path, &server_request.query)?,
            // Every request to a chunk server is a transaction of its own, and so is a retry by
            // the client.
            transaction_id: random_transaction_id()?,
            method: server_request.method,
            headers: server_request.headers,
            body: server_request.body,
            accepted_responses: AcceptedResponses::ObjectApi,
            metrics: None,
            reservation: None,
        };
        match self.exchange.submit(core_request, payload).await {
            FinalResponse::Served(answer) => Ok(answer),
            FinalResponse::Rejected(retry_after) => Err(ApiError::SlowDown(retry_after)),
            FinalResponse::Failed => Err(ApiError::OutcomeUnknown),
        }
    }

    /// Builds the request as the decision module schedules it. It may take the time that remains
    /// of the API request, but no longer than the deadline of its own class.
    fn core_request(
        &self,
        request: &ObjectRequest,
        server_request: &ServerRequest,
    ) -> core::Request {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let client_timeout = remaining.min(self.deadlines[server_request.class]);
        core::Request {
            id: RequestId(0),
            class: server_request.class,
            plan: request.bucket.plan,
            volume: VolumeId(request.bucket.volume),
            key: Some(KeyId(key_hash(request))),
            client_timeout: client_timeout.as_nanos() as i64,
            units: server_request.units.clamp(1.0, self.max_units),
            shard: server_request.shard,
            front_count: request.bucket.front_count,
            continues_response: request.continues_response,
        }
    }

    /// Sends the same request to all shards concurrently, with one unit and without headers.
    /// Returns the answers when all requests have ended. Dropping the future cancels the requests.
    pub(super) async fn send_to_all_shards(
        self: &Rc<Self>,
        request: &ObjectRequest,
        method: Method,
    ) -> Vec<ShardAnswer> {
        let mut tasks = JoinSet::new();
        for shard in (0..self.shards).map(ShardId) {
            let client = Rc::clone(self);
            let request = request.clone();
            let server_request = ServerRequest {
                shard: Some(shard),
                ..ServerRequest::new(request.bucket.read_class, method.clone())
            };
            tasks.spawn_local(async move {
                let answer = client.send(&request, server_request).await;
                let result = answer.and_then(|answer| answer.into_success(NotFound::Key));
                ShardAnswer { shard, result }
            });
        }
        let mut answers = Vec::new();
        while let Some(answer) = tasks.join_next().await {
            answers.extend(answer.ok());
        }
        answers
    }
}

/// Returns the units of work that a body of `bytes` bytes counts in a bucket.
pub(super) fn body_units(bucket: &Bucket, bytes: usize) -> f64 {
    (bytes as f64 / bucket.unit_bytes).ceil()
}

/// Returns a stable hash of the bucket and key, by which the decision module recognises the object.
fn key_hash(request: &ObjectRequest) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&request.bucket_name, &request.key).hash(&mut hasher);
    hasher.finish()
}

/// Returns the request target of a path and a query, both percent-encoded. The query may be empty.
fn request_target(path: &str, query: &str) -> Result<Uri, ApiError> {
    let target = if query.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{query}")
    };
    target
        .parse()
        .map_err(|_| ApiError::invalid_argument("The path is malformed."))
}

/// Returns a random id for a new transaction, in the form of the platform's protocol.
fn random_transaction_id() -> Result<HeaderValue, ApiError> {
    let id = format!("{:016x}", fastrand::u64(..));
    HeaderValue::try_from(id).map_err(|_| ApiError::OutcomeUnknown)
}
