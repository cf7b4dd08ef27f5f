//! The operators' console: a separate HTTP listener that serves one call per connection and
//! responds within a second.
//!
//! - `GET /status`: 200 while the front accepts clients, 503 before that and while it shuts down.
//! - `GET /status/metrics`: the metrics, in the Prometheus text format.
//! - `GET /status/peers`: the front's view of its peers as JSON, where it has any.
//! - `GET /status/verdicts`, `GET /status/verdicts/ID`: the ejections that the front shares with
//!   its peers, and those of chunk server ID, as JSON.
//! - `PUT /maintenance/enter/ID`, `PUT /maintenance/exit/ID`: starts or ends the maintenance of
//!   chunk server ID.

mod connections;
mod responses;
mod route;

use std::convert::Infallible;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::cluster::peers::Peers;
use crate::control::console::connections::Connections;
use crate::control::console::responses::{
    json, method_not_allowed, metrics, not_found, plain, ConsoleResponse,
};
use crate::control::console::route::Route;
use crate::control::maintenance::Maintenance;
use crate::control::maintenance_call::{MaintenanceAction, MaintenanceCall};
use crate::exchange::Exchange;
use crate::frontend::listener_status::ListenerStatus;
use crate::socket_io::{disable_nagle, Socket};
use crate::telemetry::log::log;
use crate::telemetry::metrics::{GaugeReadings, Metrics};
use crate::upstream::Upstream;

/// The time limit for a call, from the accepted connection to the last byte of the response. After
/// it, the connection is closed.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The maximum number of open connections; another one closes the oldest.
pub const MAX_CONNECTIONS: usize = 8;
/// The maximum number of bytes read from a request's body. No call needs a body.
const MAX_BODY_BYTES: usize = 4096;
/// The pause before the next accept after one has failed.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);
/// The response to a request that is not a call of the console.
const UNKNOWN_CALL: &str =
    "no such call: GET /status, GET /status/metrics, PUT /maintenance/enter/ID or exit/ID\n";
/// The response to a maintenance path without a valid action or id.
const MAINTENANCE_USAGE: &str = "maintenance is /maintenance/enter/ID or /maintenance/exit/ID\n";

/// Why the console cannot be opened.
#[derive(Debug, thiserror::Error)]
pub enum ConsoleError {
    /// The configured address cannot be bound.
    #[error("cannot open the console on {address}: {source}")]
    Open {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The address of the bound socket cannot be determined.
    #[error(transparent)]
    LocalAddress(io::Error),
}

/// The parts of a front that the console reads or changes.
pub struct ConsoleParts {
    /// Whether the front accepts clients, and how many requests are in progress.
    pub listener_status: ListenerStatus,
    /// Rendered by `/status/metrics`, with the current gauges.
    pub metrics: Rc<Metrics>,
    /// Owns the scheduler, whose endpoint counts are among the metrics.
    pub exchange: Rc<Exchange<Upstream>>,
    /// Changed by the maintenance calls.
    pub maintenance: Rc<Maintenance>,
    /// The front's peers; `None` where it has none.
    pub peers: Option<Rc<Peers>>,
}

/// The service behind the console's listener.
pub struct Console {
    parts: ConsoleParts,
}

impl Console {
    /// Creates the console of a front.
    pub fn new(parts: ConsoleParts) -> Rc<Console> {
        Rc::new(Console { parts })
    }

    /// Accepts and serves connections until the program ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections = Connections::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => connections.spawn(Rc::clone(&self).serve_call(stream)),
                Err(error) => {
                    log!("console: cannot accept a connection: {error}");
                    sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Serves the one call of a connection, within [`CALL_TIMEOUT`].
    async fn serve_call(self: Rc<Self>, stream: TcpStream) {
        disable_nagle(&stream);
        let console = &self;
        let service = service_fn(move |request| async move {
            let response = console.handle_call(request).await;
            Ok::<_, Infallible>(response)
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .serve_connection(TokioIo::new(Socket(stream)), service);
        if let Ok(outcome) = timeout(CALL_TIMEOUT, connection).await {
            ignore_disconnected_operator(outcome);
        }
    }

    /// Reads the request and carries out the call that it makes.
    async fn handle_call(&self, request: Request<Incoming>) -> ConsoleResponse {
        let (head, body) = request.into_parts();
        // Reads the body first, so that the response is not sent while the body still arrives.
        ignore_body(Limited::new(body, MAX_BODY_BYTES).collect().await);
        match Route::parse(&head.method, head.uri.path()) {
            Route::Status => self.show_status(),
            Route::Metrics => self.show_metrics(),
            Route::Peers => self.show_peers(|peers| Ok::<_, Infallible>(peers.status())),
            Route::Ejections => self.show_peers(|peers| peers.ejection_status(None)),
            Route::EjectionsOf(server) => {
                self.show_peers(|peers| peers.ejection_status(Some(&server)))
            }
            Route::Maintenance(call) => self.change_maintenance(call).await,
            Route::InvalidMaintenance => not_found(MAINTENANCE_USAGE),
            Route::MaintenanceNeedsPut => method_not_allowed("maintenance is called with PUT\n"),
            Route::StatusNeedsGet => method_not_allowed("status is called with GET\n"),
            Route::Unknown => not_found(UNKNOWN_CALL),
        }
    }

    /// Responds whether the front accepts clients.
    fn show_status(&self) -> ConsoleResponse {
        if self.parts.listener_status.is_accepting() {
            plain(StatusCode::OK, "taking clients\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not taking clients\n")
        }
    }

    /// Responds with the metrics, with gauges read now.
    fn show_metrics(&self) -> ConsoleResponse {
        let endpoints = self.parts.exchange.endpoint_counts();
        let readings = GaugeReadings {
            active_requests: self.parts.listener_status.active_requests(),
            cluster_size: endpoints.listed,
            cluster_unhealthy: endpoints.avoided,
        };
        metrics(self.parts.metrics.render(&readings))
    }

    /// Responds with the JSON that `status` returns for the front's peers; 404 if the front has no
    /// peers or `status` fails.
    fn show_peers<E: Display>(
        &self,
        status: impl FnOnce(&Peers) -> Result<Value, E>,
    ) -> ConsoleResponse {
        let Some(peers) = &self.parts.peers else {
            return not_found("this front has no peers\n");
        };
        match status(peers) {
            Ok(value) => json(value.encode()),
            Err(error) => not_found(format!("{error}\n")),
        }
    }

    /// Starts or ends the maintenance of a chunk server.
    async fn change_maintenance(&self, call: MaintenanceCall) -> ConsoleResponse {
        let MaintenanceCall { action, server } = call;
        let changed = match action {
            MaintenanceAction::Enter => self.parts.maintenance.enter(&server).await,
            MaintenanceAction::Exit => self.parts.maintenance.exit(&server).await,
        };
        if let Err(error) = changed {
            return not_found(format!("{error}: {server}\n"));
        }
        // These texts stay as they are: operators search the log for them.
        let change = match action {
            MaintenanceAction::Enter => "held out by hand",
            MaintenanceAction::Exit => "let back in",
        };
        log!("console: chunk server {server} {change}");
        plain(StatusCode::OK, format!("{action} {server}\n"))
    }
}

/// Discards the error of a broken connection: there is nobody left to report it to.
fn ignore_disconnected_operator(_outcome: Result<(), hyper::Error>) {}

/// Discards the body of a request, even one that is too long or incomplete: no call needs a body.
fn ignore_body<T, E>(_body: Result<T, E>) {}

/// Opens the console's listening socket and logs its address.
///
/// # Errors
/// Fails if the address cannot be bound or the socket's own address cannot be determined.
pub fn listen(address: SocketAddr) -> Result<TcpListener, ConsoleError> {
    let listener = bind(address).map_err(|source| ConsoleError::Open { address, source })?;
    let address = listener.local_addr().map_err(ConsoleError::LocalAddress)?;
    log!("console on {address}");
    Ok(listener)
}

/// Opens a non-blocking listener on `address`.
fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
