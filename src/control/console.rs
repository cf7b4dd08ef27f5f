//! The operators' console: a listener of its own, one call on each connection, every answer within a second.
//!
//! - `GET /status`: 200 while the front takes clients, 503 before and once it leaves.
//! - `GET /status/metrics`: the figures, in the Prometheus text format.
//! - `GET /status/peers`: what the front believes of its peers, as JSON, where it has any.
//! - `GET /status/verdicts`, `GET /status/verdicts/ID`: what there is to say of verdicts that the front shares with its
//!   peers, and of chunk server ID, as JSON.
//! - `PUT /maintenance/enter/ID`, `PUT /maintenance/exit/ID`: holds chunk server ID out by hand, or lets it in.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::convert::Infallible;
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
use crate::config::settings::Res;
use crate::control::maintenance::Maintenance;
use crate::exchange::Exchange;
use crate::telemetry::log::log;
use crate::telemetry::metrics::{GaugeReadings, Metrics};
use crate::upstream::Upstream;

/// A whole call, from connecting to the last byte of its answer, within this, or the connection is closed.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Connections held at once; one more closes the oldest.
pub const MAX_CONNECTIONS: usize = 8;
/// Bytes of a call's body that are read; the console's calls have none that matters.
const MAX_BODY: usize = 4096;

/// What the console answers from.
pub struct Console {
    /// Whether the front takes clients.
    pub accepting: Rc<Cell<bool>>,
    /// Requests taken and not yet ended.
    pub active_requests: Rc<Cell<usize>>,
    /// The figures.
    pub metrics: Rc<Metrics>,
    /// Where the module is.
    pub exchange: Rc<Exchange<Upstream>>,
    /// Chunk servers out by hand.
    pub maintenance: Rc<Maintenance>,
    /// The front's peers, where it has any.
    pub peers: Option<Rc<Peers>>,
    open_calls: RefCell<VecDeque<(u64, Rc<Notify>)>>,
    next_call: Cell<u64>,
}

impl Console {
    /// A console on the front's parts.
    pub fn new(
        taking: Rc<Cell<bool>>,
        current: Rc<Cell<usize>>,
        figures: Rc<Metrics>,
        exchange: Rc<Exchange<Upstream>>,
        maintenance: Rc<Maintenance>,
        peers: Option<Rc<Peers>>,
    ) -> Rc<Console> {
        let (held, next) = (RefCell::default(), Cell::new(0));
        Rc::new(Console {
            accepting: taking,
            active_requests: current,
            metrics: figures,
            exchange,
            maintenance,
            peers,
            open_calls: held,
            next_call: next,
        })
    }

    /// Serves for as long as the program runs.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.accept(stream),
                Err(why) => {
                    log!("console: cannot accept: {why}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    fn accept(self: &Rc<Self>, stream: TcpStream) {
        let number = self.next_call.get();
        self.next_call.set(number + 1);
        let gone = Rc::new(Notify::new());
        {
            let mut held = self.open_calls.borrow_mut();
            if held.len() >= MAX_CONNECTIONS {
                if let Some((_, oldest)) = held.pop_front() {
                    oldest.notify_one();
                }
            }
            held.push_back((number, Rc::clone(&gone)));
        }
        let console = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let console = Rc::clone(&console);
                async move { Ok::<_, Infallible>(console.answer(request).await) }
            });
            let connection =
                http1::Builder::new().keep_alive(false).serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = timeout(CALL_TIMEOUT, connection) => {}
                () = gone.notified() => {}
            }
            console.open_calls.borrow_mut().retain(|(n, _)| *n != number);
        });
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        // A body is read, so that the answer does not cross it; none is needed.
        let _ = Limited::new(body, MAX_BODY).collect().await;
        let path = head.uri.path();
        match (&head.method, path.strip_prefix("/maintenance/")) {
            (&Method::GET, None) if path == "/status" => match self.accepting.get() {
                true => plain(StatusCode::OK, "taking clients\n".into()),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not taking clients\n".into()),
            },
            (&Method::GET, None) if path == "/status/metrics" => {
                let (cluster_size, cluster_unhealthy) = self.exchange.endpoint_counts();
                let reading =
                    GaugeReadings { current: self.active_requests.get(), cluster_size, cluster_unhealthy };
                let mut reply = plain(StatusCode::OK, self.metrics.render(&reading).into());
                reply.headers_mut().insert(
                    CONTENT_TYPE,
                    HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8"),
                );
                reply
            }
            (&Method::GET, None) if path == "/status/peers" => self.peer_status(|peers| Ok(peers.status())),
            (&Method::GET, None) if path == "/status/verdicts" => {
                self.peer_status(|peers| peers.ejection_status(None).map_err(|e| e.to_string()))
            }
            (&Method::GET, None) if path.starts_with("/status/verdicts/") => {
                let id = path.trim_start_matches("/status/verdicts/");
                let id = percent_encoding::percent_decode_str(id).decode_utf8_lossy();
                self.peer_status(|peers| peers.ejection_status(Some(&id)).map_err(|e| e.to_string()))
            }
            (&Method::PUT, Some(rest)) => self.maintenance_call(rest),
            (_, Some(_)) => plain(StatusCode::METHOD_NOT_ALLOWED, "maintenance is called with PUT\n".into()),
            (_, None) if path == "/status" || path == "/status/metrics" => {
                plain(StatusCode::METHOD_NOT_ALLOWED, "status is called with GET\n".into())
            }
            _ => plain(
                StatusCode::NOT_FOUND,
                "no such call: GET /status, GET /status/metrics, PUT /maintenance/enter/ID or exit/ID\n"
                    .into(),
            ),
        }
    }

    /// What the front's peers have to say, where it has any.
    fn peer_status(&self, say: impl FnOnce(&Peers) -> Res<Value>) -> Response<Full<Bytes>> {
        let told = self.peers.as_ref().map_or_else(|| Err("this front has no peers".to_owned()), |p| say(p));
        match told {
            Ok(value) => {
                let mut reply = plain(StatusCode::OK, value.encode().into());
                let json = HeaderValue::from_static("application/json");
                reply.headers_mut().insert(CONTENT_TYPE, json);
                reply
            }
            Err(why) => plain(StatusCode::NOT_FOUND, format!("{why}\n").into()),
        }
    }

    fn maintenance_call(&self, rest: &str) -> Response<Full<Bytes>> {
        let (verb, id) = match rest.split_once('/') {
            Some((verb @ ("enter" | "exit"), id)) if !id.is_empty() && !id.contains('/') => (verb, id),
            _ => {
                return plain(
                    StatusCode::NOT_FOUND,
                    "maintenance is /maintenance/enter/ID or /maintenance/exit/ID\n".into(),
                )
            }
        };
        let id = percent_encoding::percent_decode_str(id).decode_utf8_lossy();
        let done = if verb == "enter" { self.maintenance.enter(&id) } else { self.maintenance.exit(&id) };
        match done {
            Ok(()) => {
                log!(
                    "console: chunk server {id} {}",
                    if verb == "enter" { "held out by hand" } else { "let back in" }
                );
                plain(StatusCode::OK, format!("{verb} {id}\n").into())
            }
            Err(why) => plain(StatusCode::NOT_FOUND, format!("{why}: {id}\n").into()),
        }
    }
}

fn plain(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(body));
    *reply.status_mut() = status;
    reply
}

/// Opens the console's socket, and says where it is.
///
/// # Errors
/// A plain sentence, where the address cannot be had.
pub fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let bound = std::net::TcpListener::bind(address).and_then(|l| l.set_nonblocking(true).map(|()| l));
    let listener = bound.and_then(TcpListener::from_std);
    let listener = listener.map_err(|e| format!("cannot open the console on {address}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    log!("console on {address}");
    Ok(listener)
}
