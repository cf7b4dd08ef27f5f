//! The operators' console: a separate HTTP listener, with one call for each connection and every
//! answer within a second.
//!
//! - `GET /status`: 200 while the front accepts clients, 503 before that and while it shuts down.
//! - `GET /status/metrics`: the metrics, in the Prometheus text format.
//! - `GET /status/peers`: the front's view of its peers as JSON, where it has any.
//! - `GET /status/verdicts`, `GET /status/verdicts/ID`: the ejections that the front shares with
//!   its peers, and those of chunk server ID, as JSON.
//! - `PUT /maintenance/enter/ID`, `PUT /maintenance/exit/ID`: begins and ends the maintenance of
//!   chunk server ID.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::cluster::peers::Peers;
use crate::control::maintenance::Maintenance;
use crate::control::maintenance_call::{decode_id, MaintenanceAction, MaintenanceCall};
use crate::exchange::Exchange;
use crate::socket_io::Socket;
use crate::telemetry::log::log;
use crate::telemetry::metrics::{GaugeReadings, Metrics};
use crate::upstream::Upstream;

/// The longest time for a whole call, from the connection to the last byte of the response. The
/// connection is closed after it.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The most open connections; one more closes the oldest.
pub const MAX_CONNECTIONS: usize = 8;
/// Bytes of a request's body that are read. No call needs a body.
const MAX_BODY_BYTES: usize = 4096;
/// The pause after a connection could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

const METRICS_CONTENT_TYPE: HeaderValue =
    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
const JSON_CONTENT_TYPE: HeaderValue = HeaderValue::from_static("application/json");

type ConsoleResponse = Response<Full<Bytes>>;

/// Why the console cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// Its address cannot be used.
    #[error("cannot open the console on {address}: {source}")]
    Open {
        /// The configured address.
        address: SocketAddr,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The address of the socket cannot be read.
    #[error(transparent)]
    LocalAddress(std::io::Error),
}

/// The parts of a front that the console reads and changes.
pub struct ConsoleParts {
    /// Whether the front accepts clients.
    pub accepting: Rc<Cell<bool>>,
    /// The number of requests in progress.
    pub active_requests: Rc<Cell<usize>>,
    /// The front's metrics.
    pub metrics: Rc<Metrics>,
    /// Owns the scheduler.
    pub exchange: Rc<Exchange<Upstream>>,
    /// The chunk servers in maintenance.
    pub maintenance: Rc<Maintenance>,
    /// The front's peers, where it has any.
    pub peers: Option<Rc<Peers>>,
}

/// The console of a front.
pub struct Console {
    parts: ConsoleParts,
    open_calls: RefCell<VecDeque<OpenCall>>,
    next_call: Cell<u64>,
}

/// A connection to the console.
struct OpenCall {
    number: u64,
    /// Closes the connection.
    close: Rc<Notify>,
}

impl Console {
    /// A console on the parts of a front.
    pub fn new(parts: ConsoleParts) -> Rc<Console> {
        Rc::new(Console {
            parts,
            open_calls: RefCell::default(),
            next_call: Cell::new(0),
        })
    }

    /// Serves for as long as the program runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.accept(stream),
                Err(error) => {
                    log!("console: cannot accept: {error}");
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    fn accept(self: &Rc<Self>, stream: TcpStream) {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        let close = self.register_call(number);
        let console = Rc::clone(self);
        tokio::task::spawn_local(async move {
            // Without it the response is slower, not wrong.
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let console = Rc::clone(&console);
                async move { Ok::<_, Infallible>(console.answer(request).await) }
            });
            let connection = http1::Builder::new()
                .keep_alive(false)
                .serve_connection(TokioIo::new(Socket(stream)), service);
            tokio::select! {
                _ = timeout(CALL_TIMEOUT, connection) => {}
                () = close.notified() => {}
            }
            console
                .open_calls
                .borrow_mut()
                .retain(|call| call.number != number);
        });
    }

    /// Counts a connection as open, and closes the oldest where there are too many.
    fn register_call(&self, number: u64) -> Rc<Notify> {
        let mut open_calls = self.open_calls.borrow_mut();
        if open_calls.len() >= MAX_CONNECTIONS {
            if let Some(oldest) = open_calls.pop_front() {
                oldest.close.notify_one();
            }
        }
        let close = Rc::new(Notify::new());
        open_calls.push_back(OpenCall {
            number,
            close: Rc::clone(&close),
        });
        close
    }

    async fn answer(&self, request: Request<Incoming>) -> ConsoleResponse {
        let (head, body) = request.into_parts();
        // Read so that the response does not cross the body on the wire; its content does not
        // matter.
        let _ = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let path = head.uri.path();
        match (&head.method, path.strip_prefix("/maintenance/")) {
            (&Method::GET, None) => self.answer_get(path),
            (&Method::PUT, Some(rest)) => self.answer_maintenance(rest).await,
            (_, Some(_)) => plain(
                StatusCode::METHOD_NOT_ALLOWED,
                "maintenance is called with PUT\n",
            ),
            (_, None) if path == "/status" || path == "/status/metrics" => plain(
                StatusCode::METHOD_NOT_ALLOWED,
                "status is called with GET\n",
            ),
            _ => no_such_call(),
        }
    }

    fn answer_get(&self, path: &str) -> ConsoleResponse {
        match path {
            "/status" => self.answer_status(),
            "/status/metrics" => self.answer_metrics(),
            "/status/peers" => self.answer_peers(|peers| Ok::<_, Infallible>(peers.status())),
            "/status/verdicts" => self.answer_peers(|peers| peers.ejection_status(None)),
            _ if path.starts_with("/status/verdicts/") => {
                let server = decode_id(path.trim_start_matches("/status/verdicts/"));
                self.answer_peers(|peers| peers.ejection_status(Some(&server)))
            }
            _ => no_such_call(),
        }
    }

    fn answer_status(&self) -> ConsoleResponse {
        match self.parts.accepting.get() {
            true => plain(StatusCode::OK, "taking clients\n"),
            false => plain(StatusCode::SERVICE_UNAVAILABLE, "not taking clients\n"),
        }
    }

    fn answer_metrics(&self) -> ConsoleResponse {
        let endpoints = self.parts.exchange.endpoint_counts();
        let readings = GaugeReadings {
            current: self.parts.active_requests.get(),
            cluster_size: endpoints.listed,
            cluster_unhealthy: endpoints.avoided,
        };
        let mut response = plain(StatusCode::OK, self.parts.metrics.render(&readings));
        response
            .headers_mut()
            .insert(CONTENT_TYPE, METRICS_CONTENT_TYPE);
        response
    }

    /// The `status` of the front's peers, where it has any.
    fn answer_peers<E: Display>(
        &self,
        status: impl FnOnce(&Peers) -> Result<Value, E>,
    ) -> ConsoleResponse {
        let Some(peers) = &self.parts.peers else {
            return plain(StatusCode::NOT_FOUND, "this front has no peers\n");
        };
        match status(peers) {
            Ok(value) => {
                let mut response = plain(StatusCode::OK, value.encode());
                response
                    .headers_mut()
                    .insert(CONTENT_TYPE, JSON_CONTENT_TYPE);
                response
            }
            Err(error) => plain(StatusCode::NOT_FOUND, format!("{error}\n")),
        }
    }

    async fn answer_maintenance(&self, path: &str) -> ConsoleResponse {
        let Some(call) = MaintenanceCall::parse(path) else {
            let usage = "maintenance is /maintenance/enter/ID or /maintenance/exit/ID\n";
            return plain(StatusCode::NOT_FOUND, usage);
        };
        let MaintenanceCall { action, server } = call;
        let changed = match action {
            MaintenanceAction::Enter => self.parts.maintenance.enter(&server).await,
            MaintenanceAction::Exit => self.parts.maintenance.exit(&server).await,
        };
        match changed {
            Ok(()) => {
                // Operators search the log for these words.
                let change = match action {
                    MaintenanceAction::Enter => "held out by hand",
                    MaintenanceAction::Exit => "let back in",
                };
                log!("console: chunk server {server} {change}");
                plain(StatusCode::OK, format!("{action} {server}\n"))
            }
            Err(error) => plain(StatusCode::NOT_FOUND, format!("{error}: {server}\n")),
        }
    }
}

fn no_such_call() -> ConsoleResponse {
    plain(
        StatusCode::NOT_FOUND,
        "no such call: GET /status, GET /status/metrics, PUT /maintenance/enter/ID or exit/ID\n",
    )
}

fn plain(status: StatusCode, body: impl Into<Bytes>) -> ConsoleResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}

/// Opens the console's socket and logs its address.
///
/// # Errors
/// The address cannot be used.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ConsoleError> {
    let listener = bind(address).map_err(|source| ConsoleError::Open { address, source })?;
    let address = listener.local_addr().map_err(ConsoleError::LocalAddress)?;
    log!("console on {address}");
    Ok(listener)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
