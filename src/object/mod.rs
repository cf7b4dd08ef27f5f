//! The object API's front: objects with ranges and multipart uploads over HTTP, on the same exchange and so under the
//! same decisions as the platform's front. It speaks the same API to the chunk servers.
//!
//! Fronts share no state about objects, so every id that a client gives back holds the shard: a version id is
//! `SHARD.VERSION` and an upload id `SHARD.TOKEN.UPLOAD`, with the chunk server's own id at the end.

mod answer;
mod config;
mod delete;
mod error;
mod get;
mod multipart;
mod node_request;
pub mod range;
mod replies;
mod request;
mod xml;

use std::cell::RefCell;
use std::collections::HashMap;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, ETAG};
use hyper::{Method, StatusCode};
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};

use self::error::ApiError;
use self::node_request::NodeRequest;
use self::replies::{copy_header, empty};
use self::request::{ObjectRequest, Operation};
use crate::cluster::peers::Peers;
use crate::config::settings::Res;
use crate::exchange::Exchange;
use crate::front::{assemble, on_one_thread, shutdown_signal, watch_discovery_address};
use crate::frontend::listener::{listen, Handler, Listener, ReceivedRequest};
use crate::frontend::replies::{plain, Reply};
use crate::upstream::{Upstream, MAX_BODY};

pub use config::{Bucket, Config};

const VERSION_ID: HeaderName = HeaderName::from_static("x-amz-version-id");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-amz-request-id");

/// Runs an object front as its file says, on one thread, until SIGTERM or SIGINT.
///
/// # Errors
/// A sentence on a configuration that is invalid.
pub fn run(file: &Path) -> Res<()> {
    let config = Config::from_file(file)?;
    on_one_thread(async move {
        let shutdown = shutdown_signal()?;
        let file = file.to_owned();
        let peers: Rc<RefCell<Option<Rc<Peers>>>> = Rc::default();
        let running_peers = Rc::clone(&peers);
        let discovery_address = watch_discovery_address(config.base.discovery, move || {
            let base = Config::from_file(&file)?.base;
            if let Some(running_peers) = &*running_peers.borrow() {
                running_peers.check(base.peers.as_ref())?;
                base.peers.into_iter().for_each(|peers| running_peers.reload(peers));
            }
            Ok(base.discovery)
        })?;
        config.base.settings.check().map_err(|e| e.to_string())?;
        let listener = listen(config.base.listen).await?;
        let parts = assemble(&config.base, discovery_address)?;
        peers.borrow_mut().clone_from(&parts.peers);
        let front = ObjectFront::new(parts.exchange, config);
        Listener::new(front, parts.max_clients, parts.listener_state).serve(listener, shutdown).await;
        parts.peers.iter().for_each(|peers| peers.shut_down());
        Ok(())
    })
}

/// The handler for the object API.
pub struct ObjectFront(Rc<Front>);

/// State of the handler, shared with the tasks that stream objects.
struct Front {
    exchange: Rc<Exchange<Upstream>>,
    /// Buckets by name.
    buckets: HashMap<String, Bucket>,
    /// Number of shards.
    shards: u32,
    /// Deadlines by class.
    deadlines: Vec<Duration>,
    /// Mean units of a request, assumed where the size is not known.
    mean_units: f64,
    /// The most units of a request.
    max_units: f64,
    /// Upload ids whose completion runs or may still run, and until when.
    pending_completions: RefCell<HashMap<String, Instant>>,
}

impl Handler for ObjectFront {
    fn begin_shutdown(&self, within: Duration) {
        self.0.exchange.begin_shutdown(within);
    }

    fn longest_deadline(&self) -> Duration {
        self.0.exchange.longest_deadline()
    }

    async fn answer(&self, request: ReceivedRequest, shutting_down: bool) -> Reply {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        match (&method, path.as_str()) {
            (&Method::GET, "/health/ready") if shutting_down => {
                return plain(StatusCode::SERVICE_UNAVAILABLE, "leaving")
            }
            (&Method::GET, "/health/ready" | "/health/live") => return plain(StatusCode::OK, "ok"),
            _ => {}
        }
        let request_id = format!("{:016x}", fastrand::u64(..));
        let mut reply = match self.0.serve(request).await {
            Ok(reply) => reply,
            Err(error) => error.into_reply(&path, &request_id, method == Method::HEAD),
        };
        if let Ok(request_id) = HeaderValue::try_from(request_id) {
            reply.headers_mut().insert(REQUEST_ID, request_id);
        }
        reply
    }
}

impl ObjectFront {
    /// A front on an exchange.
    pub fn new(exchange: Rc<Exchange<Upstream>>, config: Config) -> ObjectFront {
        let settings = &config.base.settings;
        let deadlines = settings.classes.iter().map(|class| Duration::from_nanos(class.deadline as u64));
        ObjectFront(Rc::new(Front {
            exchange,
            shards: config.base.shards,
            deadlines: deadlines.collect(),
            mean_units: settings.mean_units,
            max_units: settings.max_units.max(1.0),
            buckets: config.buckets,
            pending_completions: RefCell::default(),
        }))
    }
}

impl Front {
    async fn serve(self: &Rc<Self>, request: ReceivedRequest) -> Result<Reply, ApiError> {
        let (head, body) = request.into_parts();
        let body = body.and_then(check_length).map_err(ApiError::refused_body)?;
        let request = self.parse(&head.method, &head.uri, head.headers)?;
        match request.operation(&head.method)? {
            Operation::GetObject => self.get(request).await,
            Operation::HeadObject => self.head(request).await,
            Operation::PutObject => self.put(request, body).await,
            Operation::DeleteObject => self.delete(request).await,
            Operation::CreateUpload => self.create_upload(request).await,
            Operation::UploadPart => self.upload_part(request, body).await,
            Operation::CompleteUpload => self.complete_upload(request, body).await,
            Operation::AbortUpload => self.abort_upload(request).await,
            Operation::ListParts => self.list_parts(request).await,
        }
    }

    /// PutObject: a new object, which any shard may take.
    async fn put(&self, request: ObjectRequest, body: Bytes) -> Result<Reply, ApiError> {
        let node = NodeRequest {
            headers: request.stored_headers(),
            units: self.units(&request.bucket, body.len()),
            body,
            ..NodeRequest::new(request.bucket.write_class, Method::PUT)
        };
        let answer = self.send(&request, node).await?.into_success("NoSuchKey")?;
        let mut reply = empty(StatusCode::OK);
        copy_header(&answer.headers, &ETAG, reply.headers_mut());
        reply.headers_mut().insert(VERSION_ID, answer.version_id()?);
        Ok(reply)
    }
}

/// Bodies of the object API are at most as long as one chunk; larger objects are uploaded in parts.
fn check_length(body: Bytes) -> Result<Bytes, StatusCode> {
    if body.len() > MAX_BODY {
        Err(StatusCode::PAYLOAD_TOO_LARGE)
    } else {
        Ok(body)
    }
}

/// Percent-encodes a value for a query.
fn encode(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
