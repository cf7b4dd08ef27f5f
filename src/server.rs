//! The platform's front: HTTP/1.1 from clients, as the platform's protocol has it.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, COOKIE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use crate::exchange::{Exchange, Final};
use crate::interface;
use crate::interface::{CellId, Nanos};
use crate::upstream::{Payload, Upstream, MOST_BODY};

/// Bytes that a connection may hold of what it reads; heads past it are answered 431.
const MOST_BUFFER: usize = 16 * 1024;
/// Connections past the cap that may stand at once to be told so; more wait to be accepted.
const TURNED_AWAY: usize = 16;
/// When a client that was turned away at the door may come back.
const DOOR_WAIT: Duration = Duration::from_millis(250);
/// After SIGTERM new connections are taken until none has come for the first, for no less than the second and no
/// more than the third; clients learn of a restart that late.
const QUIET: Duration = Duration::from_millis(200);
const TAKE_LEAST: Duration = Duration::from_millis(450);
const TAKE_MOST: Duration = Duration::from_millis(650);
/// All that was taken is answered by this time after SIGTERM, well before the kill.
const END: Duration = Duration::from_millis(3400);

type Reply = Response<Full<Bytes>>;

/// The names that requests use, in the order of the settings.
pub struct Names {
    /// Classes.
    pub classes: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
}

/// The platform's front.
pub struct Server {
    exchange: Rc<Exchange<Upstream>>,
    names: Names,
    most: usize,
    connections: Cell<usize>,
    requests: Cell<usize>,
    leaving: watch::Sender<bool>,
}

impl Server {
    /// A front that takes at most so many connections.
    pub fn new(exchange: Rc<Exchange<Upstream>>, names: Names, most: usize) -> Rc<Server> {
        let (connections, requests) = (Cell::new(0), Cell::new(0));
        Rc::new(Server { exchange, names, most, connections, requests, leaving: watch::Sender::new(false) })
    }

    /// Serves until the signal comes, then answers all that was taken.
    pub async fn serve(
        self: &Rc<Self>,
        listener: TcpListener,
        signal: impl std::future::Future<Output = ()>,
    ) {
        tokio::select! {
            () = self.accept(&listener) => {}
            () = signal => {}
        }
        let told = Instant::now();
        // New connections go on coming until clients learn of the restart, and what they carry counts as taken.
        while told.elapsed() < TAKE_MOST {
            let quiet = timeout(QUIET, self.accept_one(&listener)).await.is_err();
            if quiet && told.elapsed() >= TAKE_LEAST {
                break;
            }
        }
        while timeout(Duration::ZERO, self.accept_one(&listener)).await.is_ok() {}
        drop(listener);
        self.leaving.send_replace(true);
        // A request may be on its way into this process still; a connection that is idle closes by itself.
        let mut idle = 0;
        while self.connections.get() > 0 && idle < 10 && told.elapsed() < END {
            idle = if self.requests.get() == 0 { idle + 1 } else { 0 };
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.accept_one(listener).await;
        }
    }

    async fn accept_one(self: &Rc<Self>, listener: &TcpListener) {
        while self.connections.get() >= self.most + TURNED_AWAY {
            sleep(Duration::from_millis(5)).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                self.connections.set(self.connections.get() + 1);
                let server = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    server.connection(stream).await;
                    server.connections.set(server.connections.get() - 1);
                });
            }
            // Out of descriptors, or a client that left in the queue. Waiting lets others close.
            Err(why) => {
                eprintln!("cannot accept: {why}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let full = self.connections.get() > self.most;
        let server = Rc::clone(self);
        let service = service_fn(move |request| {
            let server = Rc::clone(&server);
            async move { Ok::<_, Infallible>(if full { crowded() } else { server.answer(request).await }) }
        });
        let mut leaving = self.leaving.subscribe();
        let connection = http1::Builder::new()
            .keep_alive(!full)
            .max_buf_size(MOST_BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        // How a client's connection ends is the client's affair; requests in it have told the exchange.
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = leaving.wait_for(|l| *l) => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    async fn answer(self: &Rc<Self>, request: Request<Incoming>) -> Reply {
        let _counted = Counted::one(&self.requests);
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/health/ready") if *self.leaving.borrow() => {
                plain(StatusCode::SERVICE_UNAVAILABLE, "leaving")
            }
            (&Method::GET, "/health/ready" | "/health/live") => plain(StatusCode::OK, "ok"),
            _ => self.pass(request).await.unwrap_or_else(|refusal| refusal),
        }
    }

    async fn pass(&self, request: Request<Incoming>) -> Result<Reply, Reply> {
        let (head, body) = request.into_parts();
        let taken = self.names.read(&head.headers);
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Err(too_large());
        }
        let body = Limited::new(body, MOST_BODY).collect().await.map_err(|why| {
            match why.downcast_ref::<LengthLimitError>() {
                Some(_) => too_large(),
                None => plain(StatusCode::BAD_REQUEST, "the body is broken"),
            }
        })?;
        let (id, request) = taken.map_err(|why| plain(StatusCode::BAD_REQUEST, why))?;
        let payload = Payload { method: head.method, target: head.uri, id, body: body.to_bytes() };
        Ok(match self.exchange.ask(request, payload).await {
            Final::Served(answer) => Response::new(Full::new(answer.body)),
            Final::Refused(wait) => refused(wait),
            Final::Failed => plain(StatusCode::BAD_GATEWAY, "failed"),
        })
    }
}

/// Counts while it lives.
struct Counted<'a>(&'a Cell<usize>);

impl<'a> Counted<'a> {
    fn one(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Counted(count)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Names {
    /// The request in a head, and its id as it goes on.
    fn read(&self, headers: &HeaderMap) -> Result<(HeaderValue, interface::Request), &'static str> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim);
        let id = headers.get("x-txn").ok_or("X-Txn is missing")?;
        let class = text("x-lane").ok_or("X-Lane is missing")?;
        let class = self.classes.iter().position(|c| c == class).ok_or("X-Lane names no class")?;
        let plan = text("x-plan").ok_or("X-Plan is missing")?;
        let plan = self.plans.iter().position(|p| p == plan).ok_or("X-Plan names no plan")?;
        let patience = text("x-remaining").and_then(remaining).ok_or("X-Remaining is not a time")?;
        let mut request = interface::Request {
            id: 0,
            class,
            plan,
            volume: 0,
            key: block(headers)?,
            patience,
            units: 1.0,
            cell: None,
            set_size: 1,
        };
        let mut volume = None;
        for field in text("x-io").ok_or("X-IO is missing")?.split(',') {
            let (name, value) = field.trim().split_once('=').ok_or("X-IO is not a list of fields")?;
            match name {
                "volume" => volume = u64::from_str_radix(value, 16).ok(),
                "units" => {
                    let units: Option<f64> = value.parse().ok();
                    let fits = units.filter(|u| u.is_finite() && *u > 0.0);
                    request.units = fits.ok_or("'units' is no size")?;
                }
                "shard" => {
                    let shard: i64 = value.parse().map_err(|_| "'shard' is no number")?;
                    request.cell = match shard {
                        -1 => None,
                        some => Some(CellId::try_from(some).map_err(|_| "'shard' is out of range")?),
                    };
                }
                "hosts" => request.set_size = value.parse().map_err(|_| "'hosts' is no number")?,
                _ => {}
            }
        }
        request.volume = volume.ok_or("'volume' is not in hex digits")?;
        Ok((id.clone(), request))
    }
}

/// The piece of data that a request is for, from its cookies.
fn block(headers: &HeaderMap) -> Result<Option<u64>, &'static str> {
    let cookies = headers.get_all(COOKIE).iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(';'));
    let block = cookies.filter_map(|c| c.trim().strip_prefix("block=")).next();
    block
        .map(|hex| u64::from_str_radix(hex, 16))
        .transpose()
        .map_err(|_| "the cookie 'block' is not in hex digits")
}

/// A time such as `480m` (milliseconds) or `480000u` (microseconds).
fn remaining(value: &str) -> Option<Nanos> {
    let (number, unit) = match (value.strip_suffix('m'), value.strip_suffix('u')) {
        (Some(number), _) => (number, 1e6),
        (_, Some(number)) => (number, 1e3),
        _ => return None,
    };
    let time = number.parse::<f64>().ok()? * unit;
    // An hour bounds what arithmetic on it may meet; no client waits that long.
    (time.is_finite() && time >= 0.0).then_some(time.min(3.6e12) as Nanos)
}

fn plain(status: StatusCode, why: &'static str) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::from_static(why.as_bytes())));
    *reply.status_mut() = status;
    reply
}

/// The rest of such a body is not read, so its connection cannot go on.
fn too_large() -> Reply {
    let mut reply = plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

fn refused(wait: Duration) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
        reply.headers_mut().insert(RETRY_AFTER, wait);
    }
    reply
}

fn crowded() -> Reply {
    let mut reply = refused(DOOR_WAIT);
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// Opens the front's socket.
///
/// # Errors
/// A plain sentence, where the address cannot be had.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
}
