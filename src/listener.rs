//! Connections from clients, for either front: the cap on them, and leaving in order.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

use crate::log::log;
use crate::upstream::MOST_BODY;

/// Bytes that a connection may hold of what it reads; heads past it are answered 431.
const MOST_BUFFER: usize = 16 * 1024;
/// A client's head and body come within these, or its place goes to another. Without them a few hundred that
/// never finish would keep all others out. The first also ends a connection that stands idle for so long.
const HEAD: Duration = Duration::from_secs(60);
const BODY: Duration = Duration::from_secs(10);
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

/// An answer: whole, or passed on piece by piece.
pub type Reply = Response<Either<Full<Bytes>, Channel<Bytes, io::Error>>>;

/// What a front does with a request.
pub trait Handler: 'static {
    /// The one answer to a request.
    fn answer(&self, request: Request<Incoming>, leaving: bool) -> impl Future<Output = Reply>;
}

/// A front's socket, its connections and its leaving.
pub struct Listener<H> {
    handler: H,
    most: usize,
    connections: Cell<usize>,
    requests: Cell<usize>,
    leaving: watch::Sender<bool>,
}

impl<H: Handler> Listener<H> {
    /// A front that takes at most so many connections.
    pub fn new(handler: H, most: usize) -> Rc<Listener<H>> {
        let (connections, requests) = (Cell::new(0), Cell::new(0));
        Rc::new(Listener { handler, most, connections, requests, leaving: watch::Sender::new(false) })
    }

    /// Serves until the signal comes, then answers all that was taken.
    pub async fn serve(self: &Rc<Self>, listener: TcpListener, signal: impl Future<Output = ()>) {
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
                log!("cannot accept: {why}");
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
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD)
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

    async fn answer(&self, request: Request<Incoming>) -> Reply {
        let _counted = Counted::one(&self.requests);
        let leaving = *self.leaving.borrow();
        self.handler.answer(request, leaving).await
    }
}

/// Reads a body up to the cap.
///
/// # Errors
/// 413 where it is too large, 400 where it breaks off, 408 where it does not come.
pub async fn read_body(body: Incoming) -> Result<Bytes, StatusCode> {
    if body.size_hint().lower() > MOST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let body = timeout(BODY, Limited::new(body, MOST_BODY).collect()).await;
    body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?.map(|b| b.to_bytes()).map_err(|why| match why
        .downcast_ref::<LengthLimitError>(
    ) {
        Some(_) => StatusCode::PAYLOAD_TOO_LARGE,
        None => StatusCode::BAD_REQUEST,
    })
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

/// A short plain answer.
pub fn plain(status: StatusCode, why: &'static str) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(Bytes::from_static(why.as_bytes()))));
    *reply.status_mut() = status;
    reply
}

/// Ends the connection after this answer, where the rest of a request was not read.
pub fn closing(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// It never ran: the client may come back after the wait.
pub fn refused(wait: Duration) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
        reply.headers_mut().insert(RETRY_AFTER, wait);
    }
    reply
}

fn crowded() -> Reply {
    closing(refused(DOOR_WAIT))
}

/// Opens the front's socket, and says where it is: a port of 0 is any that is free.
///
/// # Errors
/// A plain sentence, where the address cannot be had.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let listener =
        TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    log!("listening on {address}");
    Ok(listener)
}
