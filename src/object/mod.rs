//! The object API's front: objects with ranges and multipart uploads over HTTP, on the same exchange and so
//! under the same decisions as the platform's front. It speaks the same API to the chunk servers.
//!
//! Fronts share nothing, so whatever must be found again carries the shard that holds it: a version id is
//! `SHARD.VERSION` and an upload id `SHARD.TOKEN.UPLOAD`, with the node's own id at the end.

mod config;
mod multipart;
mod range;
mod read;
mod xml;

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, ETAG, RETRY_AFTER};
use hyper::{Method, Response, StatusCode, Uri};
use percent_encoding::{percent_decode_str, utf8_percent_encode, NON_ALPHANUMERIC};
use tulipbridge_core as core;
use tulipbridge_core::CellId;

use crate::cluster::peers::Peers;
use crate::exchange::{Exchange, FinalResponse};
use crate::front::assembly::assemble;
use crate::front::discovery_address::watch_discovery_address;
use crate::front::error::FrontError;
use crate::frontend::listener::{listen, plain, Handler, Listener, ReceivedRequest, Reply};
use crate::runtime::{on_one_thread, shutdown_signal, RuntimeError};
use crate::upstream::{Accepts, Answer, Payload, Upstream, MAX_BODY};

pub use config::{Bucket, BucketError, Config, ConfigError};

const VERSION_ID: HeaderName = HeaderName::from_static("x-amz-version-id");
const REQUEST_ID: HeaderName = HeaderName::from_static("x-amz-request-id");
/// Headers that describe an object, besides the `x-amz-meta-` ones: kept with a write.
const DESCRIBING: [&str; 8] = [
    "content-type",
    "content-md5",
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "expires",
    "if-none-match",
];

/// Why an object front cannot start, or cannot change to a new configuration.
#[derive(Debug, thiserror::Error)]
pub enum ObjectFrontError {
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// A part of the front cannot start.
    #[error(transparent)]
    Front(#[from] FrontError),
    /// The runtime cannot start, or a signal cannot be handled.
    #[error(transparent)]
    Runtime(#[from] RuntimeError),
    /// The section on peers changes what only a restart can change.
    #[error("{0}")]
    Peers(String),
}

/// The front's peers: none before they have joined, and where the configuration names none.
type SharedPeers = Rc<RefCell<Option<Rc<Peers>>>>;

/// Runs an object front on one thread, until SIGTERM or SIGINT.
///
/// # Errors
/// The configuration is invalid, or the system does not give what the front needs.
pub fn run(file: &Path) -> Result<(), ObjectFrontError> {
    let config = Config::from_file(file)?;
    on_one_thread(serve(config, file.to_owned()))
}

async fn serve(config: Config, file: PathBuf) -> Result<(), ObjectFrontError> {
    let shutdown = shutdown_signal()?;
    let peers = SharedPeers::default();
    let joined = Rc::clone(&peers);
    let discovery_address = watch_discovery_address(config.base.discovery, move || reload(&file, &joined))?;
    config.base.settings.check().map_err(FrontError::from)?;
    let listener = listen(config.base.listen).await.map_err(FrontError::Listen)?;
    let parts = assemble(&config.base, discovery_address)?;
    peers.borrow_mut().clone_from(&parts.peers);
    let front = ObjectFront::new(parts.exchange, config);
    Listener::new(front, parts.max_clients, parts.listener_state).serve(listener, shutdown).await;
    if let Some(peers) = &parts.peers {
        peers.shut_down();
    }
    Ok(())
}

/// Reads the configuration again. The peers take over their section of it, and the caller the address of discovery.
fn reload(file: &Path, peers: &SharedPeers) -> Result<Option<SocketAddr>, ObjectFrontError> {
    let base = Config::from_file(file)?.base;
    if let Some(peers) = &*peers.borrow() {
        peers.check(base.peers.as_ref()).map_err(ObjectFrontError::Peers)?;
        if let Some(config) = base.peers {
            peers.reload(config);
        }
    }
    Ok(base.discovery)
}

/// The object API's front.
pub struct ObjectFront(Rc<Front>);

struct Front {
    exchange: Rc<Exchange<Upstream>>,
    buckets: HashMap<String, Bucket>,
    shards: u32,
    /// By class.
    deadlines: Vec<Duration>,
    unit_mean: f64,
    most_units: f64,
    /// Completions that run, or whose end is uncertain, and until when they may.
    completing: RefCell<HashMap<String, Instant>>,
}

/// A request to the object API.
#[derive(Clone)]
struct Asked {
    bucket: Bucket,
    bucket_name: String,
    key: String,
    /// The path, as it came.
    path: String,
    query: HashMap<String, String>,
    headers: HeaderMap,
    /// When its client's time is over.
    until: Instant,
}

/// One step of it, for a node.
struct Step {
    class: usize,
    cell: Option<CellId>,
    method: Method,
    query: String,
    headers: HeaderMap,
    body: Bytes,
    units: f64,
}

/// Why there is no answer of the ordinary kind.
#[derive(Debug)]
enum Fault {
    /// The request is at fault, or a node found so.
    Said(StatusCode, String, &'static str),
    /// A range past the end of an object of this size.
    Range(Option<u64>),
    /// Not modified.
    Unchanged(HeaderMap),
    /// It never ran; come back after the wait.
    SlowDown(Duration),
    /// It may have run.
    Uncertain,
}

fn said(status: StatusCode, code: &str, message: &'static str) -> Fault {
    Fault::Said(status, code.to_owned(), message)
}

fn invalid(message: &'static str) -> Fault {
    said(StatusCode::BAD_REQUEST, "InvalidArgument", message)
}

fn not_implemented(message: &'static str) -> Fault {
    said(StatusCode::NOT_IMPLEMENTED, "NotImplemented", message)
}

fn no_such_upload() -> Fault {
    said(StatusCode::NOT_FOUND, "NoSuchUpload", "The upload does not exist, or has ended.")
}

impl Handler for ObjectFront {
    fn begin_shutdown(&self, within: Duration) {
        self.0.exchange.begin_shutdown(within);
    }

    fn longest_deadline(&self) -> Duration {
        self.0.exchange.longest_deadline()
    }

    async fn answer(&self, request: ReceivedRequest, leaving: bool) -> Reply {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        match (&method, path.as_str()) {
            (&Method::GET, "/health/ready") if leaving => {
                return plain(StatusCode::SERVICE_UNAVAILABLE, "leaving")
            }
            (&Method::GET, "/health/ready" | "/health/live") => return plain(StatusCode::OK, "ok"),
            _ => {}
        }
        let id = format!("{:016x}", fastrand::u64(..));
        let mut reply = match self.0.serve(request).await {
            Ok(reply) => reply,
            Err(fault) => fault.reply(&path, &id, method == Method::HEAD),
        };
        if let Ok(id) = HeaderValue::try_from(id) {
            reply.headers_mut().insert(REQUEST_ID, id);
        }
        reply
    }
}

impl ObjectFront {
    /// A front on an exchange.
    pub fn new(exchange: Rc<Exchange<Upstream>>, config: Config) -> ObjectFront {
        let settings = &config.base.settings;
        let deadlines = settings.classes.iter().map(|c| Duration::from_nanos(c.deadline as u64)).collect();
        ObjectFront(Rc::new(Front {
            exchange,
            shards: config.base.shards,
            deadlines,
            unit_mean: settings.mean_units,
            most_units: settings.max_units.max(1.0),
            buckets: config.buckets,
            completing: RefCell::default(),
        }))
    }
}

impl Front {
    async fn serve(self: &Rc<Self>, request: ReceivedRequest) -> Result<Reply, Fault> {
        let (head, body) = request.into_parts();
        // Bodies of the object API come whole within one piece; larger objects come in parts.
        let body =
            body.and_then(|b| if b.len() > MAX_BODY { Err(StatusCode::PAYLOAD_TOO_LARGE) } else { Ok(b) });
        let body = body.map_err(|status| match status {
            StatusCode::PAYLOAD_TOO_LARGE => {
                said(StatusCode::BAD_REQUEST, "EntityTooLarge", "A body holds at most 64 KiB; send parts.")
            }
            StatusCode::REQUEST_TIMEOUT => {
                said(StatusCode::BAD_REQUEST, "RequestTimeout", "The body does not come.")
            }
            _ => said(StatusCode::BAD_REQUEST, "IncompleteBody", "The body breaks off, or does not fit."),
        })?;
        let asked = self.read(&head.method, &head.uri, head.headers)?;
        let has = |name: &str| asked.query.contains_key(name);
        match (&head.method, has("uploadId"), has("uploads")) {
            (&Method::GET | &Method::HEAD, false, false) => self.get(asked, head.method).await,
            (&Method::PUT, false, false) => self.put(asked, body).await,
            (&Method::DELETE, false, false) => self.delete(asked).await,
            (&Method::POST, false, true) => self.create(asked).await,
            (&Method::PUT, true, false) => self.part(asked, body).await,
            (&Method::POST, true, false) => self.complete(asked, body).await,
            (&Method::DELETE, true, false) => self.abort(asked).await,
            (&Method::GET, true, false) => self.list(asked).await,
            _ => Err(said(StatusCode::METHOD_NOT_ALLOWED, "MethodNotAllowed", "Not allowed here.")),
        }
    }

    /// The request in a head.
    fn read(&self, method: &Method, uri: &Uri, headers: HeaderMap) -> Result<Asked, Fault> {
        const KNOWN: [&str; 8] = [
            "uploads",
            "uploadId",
            "partNumber",
            "versionId",
            "max-parts",
            "part-number-marker",
            "x-id",
            "encoding-type",
        ];
        let decoded = |s: &str| percent_decode_str(s).decode_utf8_lossy().into_owned();
        let (name, key) = uri.path().trim_start_matches('/').split_once('/').unwrap_or_default();
        if key.is_empty() {
            return Err(not_implemented(
                "Buckets are declared in the front's file; only objects are served.",
            ));
        }
        let bucket_name = decoded(name);
        let bucket = self.buckets.get(&bucket_name);
        let bucket = bucket.ok_or_else(|| {
            said(StatusCode::NOT_FOUND, "NoSuchBucket", "The bucket is not declared at this front.")
        })?;
        let fields = uri.query().unwrap_or_default().split('&').filter(|f| !f.is_empty());
        let fields = fields.map(|f| f.split_once('=').unwrap_or((f, "")));
        let query: HashMap<_, _> = fields.map(|(k, v)| (decoded(k), decoded(v))).collect();
        if query.keys().any(|k| !KNOWN.contains(&k.as_str()) && !k.starts_with("X-Amz-")) {
            return Err(not_implemented("A part of the query is not served."));
        }
        // Guards against storing a client's framing as data: such bodies hold signatures between the chunks.
        let sha = headers.get("x-amz-content-sha256").map_or(&b""[..], |v| v.as_bytes());
        let coding = headers.get("content-encoding").map_or(&b""[..], |v| v.as_bytes());
        if sha.starts_with(b"STREAMING-") || coding.windows(11).any(|w| w == b"aws-chunked") {
            return Err(not_implemented("Bodies signed chunk by chunk are not served."));
        }
        if headers.contains_key("x-amz-copy-source") {
            return Err(not_implemented("Copies are not served."));
        }
        let class = if matches!(*method, Method::PUT | Method::POST) { bucket.write } else { bucket.read };
        Ok(Asked {
            bucket: bucket.clone(),
            bucket_name,
            key: decoded(key),
            path: uri.path().to_owned(),
            query,
            headers,
            until: Instant::now() + self.deadlines[class],
        })
    }

    /// Takes one step through the exchange.
    async fn step(&self, asked: &Asked, step: Step) -> Result<Answer, Fault> {
        let left = asked.until.saturating_duration_since(Instant::now()).min(self.deadlines[step.class]);
        let mut hasher = DefaultHasher::new();
        (&asked.bucket_name, &asked.key).hash(&mut hasher);
        let request = core::Request {
            id: 0,
            class: step.class,
            plan: asked.bucket.plan,
            volume: asked.bucket.volume,
            key: Some(hasher.finish()),
            patience: left.as_nanos() as i64,
            units: step.units.clamp(1.0, self.most_units),
            cell: step.cell,
            front_count: asked.bucket.hosts,
        };
        let target =
            if step.query.is_empty() { asked.path.clone() } else { format!("{}?{}", asked.path, step.query) };
        let target = target.parse().map_err(|_| invalid("The path is malformed."))?;
        // Each step is a request of its own to the nodes, as a client's next try is.
        let id = HeaderValue::try_from(format!("{:016x}", fastrand::u64(..)));
        let id = id.map_err(|_| Fault::Uncertain)?;
        let (method, headers, body) = (step.method, step.headers, step.body);
        let payload = Payload {
            method,
            target,
            id,
            headers,
            body,
            accepts: Accepts::Object,
            metrics: None,
            reservation: None,
        };
        match self.exchange.submit(request, payload).await {
            FinalResponse::Served(answer) => Ok(answer),
            FinalResponse::Rejected(wait) => Err(Fault::SlowDown(wait)),
            FinalResponse::Failed => Err(Fault::Uncertain),
        }
    }

    /// Units that a body of this size counts.
    fn units(&self, bucket: &Bucket, bytes: usize) -> f64 {
        (bytes as f64 / bucket.unit_bytes).ceil()
    }

    async fn put(&self, asked: Asked, body: Bytes) -> Result<Reply, Fault> {
        let step = Step {
            class: asked.bucket.write,
            cell: None,
            method: Method::PUT,
            query: String::new(),
            headers: asked.describing(),
            units: self.units(&asked.bucket, body.len()),
            body,
        };
        let answer = self.step(&asked, step).await?.succeeded("NoSuchKey")?;
        let mut reply = empty(StatusCode::OK);
        copy(&answer.headers, &ETAG, reply.headers_mut());
        reply.headers_mut().insert(VERSION_ID, answer.version()?);
        Ok(reply)
    }
}

impl Asked {
    /// What describes the object, as it came.
    fn describing(&self) -> HeaderMap {
        let kept = |n: &HeaderName| DESCRIBING.contains(&n.as_str()) || n.as_str().starts_with("x-amz-meta-");
        self.headers.iter().filter(|(n, _)| kept(n)).map(|(n, v)| (n.clone(), v.clone())).collect()
    }

    /// The shard and the node's own id in `versionId`.
    fn version(&self) -> Result<Option<(CellId, String)>, Fault> {
        let Some(id) = self.query.get("versionId") else { return Ok(None) };
        let parts = id.split_once('.').and_then(|(cell, own)| Some((cell.parse().ok()?, own.to_owned())));
        parts.map(Some).ok_or_else(|| invalid("The version id is none of this deployment's."))
    }
}

impl Answer {
    /// A success, or the fault that the node found.
    fn succeeded(self, missing: &'static str) -> Result<Answer, Fault> {
        #[derive(serde::Deserialize)]
        #[serde(rename_all = "PascalCase")]
        struct Found {
            code: String,
        }
        let code = |usual: &str| xml::read(&self.body).map_or(usual.to_owned(), |f: Found| f.code);
        Err(match self.status {
            status if status.is_success() => return Ok(self),
            StatusCode::NOT_MODIFIED => Fault::Unchanged(self.headers),
            StatusCode::NOT_FOUND => Fault::Said(self.status, code(missing), "It is not there."),
            StatusCode::RANGE_NOT_SATISFIABLE => {
                let size = self.headers.get("content-range").and_then(|v| v.to_str().ok());
                Fault::Range(size.and_then(|s| s.trim().strip_prefix("bytes */")?.parse().ok()))
            }
            StatusCode::PRECONDITION_FAILED => Fault::Said(
                self.status,
                code("PreconditionFailed"),
                "A condition of the request does not hold.",
            ),
            StatusCode::CONFLICT => {
                Fault::Said(self.status, code("OperationAborted"), "Another operation is in its way.")
            }
            _ => Fault::Said(StatusCode::BAD_REQUEST, code("InvalidRequest"), "The node does not accept it."),
        })
    }

    /// The version id for clients: with the shard.
    fn version(&self) -> Result<HeaderValue, Fault> {
        let own = self.headers.get(VERSION_ID).and_then(|v| v.to_str().ok()).unwrap_or_default();
        HeaderValue::try_from(format!("{}.{own}", self.cell)).map_err(|_| Fault::Uncertain)
    }
}

impl Fault {
    fn reply(self, resource: &str, id: &str, head: bool) -> Reply {
        let mut headers = HeaderMap::new();
        let (status, code, message) = match self {
            Fault::Said(status, code, message) => (status, code, message),
            Fault::Unchanged(told) => {
                let mut reply = empty(StatusCode::NOT_MODIFIED);
                copy(&told, &ETAG, reply.headers_mut());
                return reply;
            }
            Fault::Range(size) => {
                let size = size.and_then(|s| HeaderValue::try_from(format!("bytes */{s}")).ok());
                headers.extend(size.map(|s| (hyper::header::CONTENT_RANGE, s)));
                let message = "The range lies past the end of the object.";
                (StatusCode::RANGE_NOT_SATISFIABLE, "InvalidRange".to_owned(), message)
            }
            Fault::SlowDown(wait) => {
                // Whole seconds is what clients of this API read; at least one, or it says nothing.
                headers.insert(RETRY_AFTER, HeaderValue::from(wait.as_secs_f64().ceil().max(1.0) as u64));
                (StatusCode::SERVICE_UNAVAILABLE, "SlowDown".to_owned(), "It has not run; try again later.")
            }
            Fault::Uncertain => {
                let message = "No answer came in time; it may have run.";
                (StatusCode::INTERNAL_SERVER_ERROR, "InternalError".to_owned(), message)
            }
        };
        let error = xml::Error { code: &code, message, resource, request_id: id };
        let mut reply = document(status, "Error", &error);
        reply.headers_mut().extend(headers);
        if head {
            *reply.body_mut() = Either::Left(Full::default());
        }
        reply
    }
}

fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Either::Left(Full::default()));
    *reply.status_mut() = status;
    reply
}

fn document<T: serde::Serialize>(status: StatusCode, root: &str, value: &T) -> Reply {
    let text = xml::write(root, value).unwrap_or_default();
    let mut reply = empty(status);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/xml"));
    reply.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(text.len()));
    *reply.body_mut() = Either::Left(Full::from(text));
    reply
}

fn copy(from: &HeaderMap, name: &HeaderName, to: &mut HeaderMap) {
    if let Some(value) = from.get(name) {
        to.insert(name.clone(), value.clone());
    }
}

fn encoded(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}
