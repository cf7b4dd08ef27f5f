//! Connections from clients, for either front: the places for them, who gives his up, and leaving in order.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tulipbridge_core::client_connection::{ClientEvent, Phase};
use tulipbridge_core::connection_limiter::{Accept, ConnectionLimiter};
use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};
use tulipbridge_core::Nanos;

use crate::frontend::framing::{ClientState, Framed, OpenRequest, ResponseBody, MAX_HEAD};
use crate::telemetry::log::log;
use crate::upstream::MAX_BODY;

/// Connections past the cap that may stand at once to be told so; more wait to be accepted.
const REJECTION_SLOTS: usize = 16;
/// How often connections are looked at.
const TIMEOUT_POLL: Duration = Duration::from_millis(100);
/// When a client that was turned away at the door may come back.
const REJECTION_RETRY_AFTER: Duration = Duration::from_millis(250);
/// A connection that this side has ended is read on for so long at the most, and no longer than the second
/// without a byte: closing on bytes that were not read would reset it, and could take the answer along.
const LINGER: Duration = Duration::from_secs(4);
const LINGER_IDLE: Duration = Duration::from_millis(500);
/// How often a front that leaves looks whether what was on its way has come.
const ARRIVAL_POLL: Duration = Duration::from_millis(5);
/// Bytes that are dropped at once.
const DISCARD_BUFFER: usize = 64 * 1024;
/// The longest body of a request.
const MAX_REQUEST_BODY: usize = 32 << 20;
/// A body that stands still for so long has broken off.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// An answer: whole, or passed on piece by piece.
pub type Reply = Response<Either<Full<Bytes>, Channel<Bytes, io::Error>>>;

/// A request with its body, or why that is not taken.
pub type ReceivedRequest = Request<Result<Bytes, StatusCode>>;

/// What the listener tells others of itself: the console says it.
#[derive(Clone, Default)]
pub struct ListenerState {
    /// Whether it takes clients: from its start until SIGTERM.
    pub accepting: Rc<Cell<bool>>,
    /// Requests taken and not yet ended.
    pub active_requests: Rc<Cell<usize>>,
    /// Room for request bodies; where none is given, one of the longest body.
    pub body_budget: Option<Arc<BodyBudget>>,
}

/// What a front does with a request.
pub trait Handler: 'static {
    /// The one answer to a request.
    fn answer(&self, request: ReceivedRequest, leaving: bool) -> impl Future<Output = Reply>;

    /// The front ends: all that was taken and is yet to be is answered within this time.
    fn begin_shutdown(&self, _within: Duration) {}

    /// The longest time that a client may wait for its answer.
    fn longest_deadline(&self) -> Duration;
}

/// A front's socket, its connections and its leaving.
pub struct Listener<H> {
    handler: H,
    limiter: ConnectionLimiter,
    began: Instant,
    clients: RefCell<HashMap<u64, Rc<ClientState>>>,
    next: Cell<u64>,
    full_logged_at: Cell<Option<Instant>>,
    requests: Rc<Cell<usize>>,
    accepting: Rc<Cell<bool>>,
    shutting_down: watch::Sender<bool>,
    discard_buffer: RefCell<Vec<u8>>,
    body_budget: Arc<BodyBudget>,
}

impl<H: Handler> Listener<H> {
    /// A front that takes at most so many connections, and tells how it stands.
    pub fn new(handler: H, most: usize, standing: ListenerState) -> Rc<Listener<H>> {
        Rc::new(Listener {
            handler,
            limiter: ConnectionLimiter::new(most, REJECTION_SLOTS),
            began: Instant::now(),
            clients: RefCell::default(),
            next: Cell::new(0),
            full_logged_at: Cell::new(None),
            requests: standing.active_requests,
            accepting: standing.accepting,
            body_budget: standing.body_budget.unwrap_or_else(|| BodyBudget::new(MAX_REQUEST_BODY)),
            shutting_down: watch::Sender::new(false),
            discard_buffer: RefCell::new(vec![0; DISCARD_BUFFER]),
        })
    }

    /// Serves until the signal comes, then answers all that was taken.
    pub async fn serve(self: &Rc<Self>, listener: TcpListener, signal: impl Future<Output = ()>) {
        self.accepting.set(true);
        tokio::select! {
            () = self.accept(&listener) => {}
            () = self.close_timed_out() => {}
            () = signal => {}
        }
        self.accepting.set(false);
        let told = self.now();
        let (mut leaving, mut next) =
            GracefulShutdown::new(told, self.handler.longest_deadline().as_nanos() as Nanos);
        self.handler.begin_shutdown(duration(leaving.answer_deadline() - told));
        loop {
            next = match next {
                ShutdownStep::Accept(within) => {
                    let took = timeout(duration(within), self.accept_one(&listener)).await;
                    leaving.on(
                        self.now(),
                        if took.is_ok() { ShutdownEvent::Accepted } else { ShutdownEvent::AcceptTimedOut },
                    )
                }
                ShutdownStep::StopAccepting => break,
                ShutdownStep::Wait(_) | ShutdownStep::Exit => return,
            };
        }
        self.accept_backlog(listener);
        self.shutting_down.send_replace(true);
        loop {
            let owed = self.clients.borrow().values().filter(|c| c.has_pending_work()).count();
            let look = ShutdownEvent::Poll {
                connections: self.connection_count(),
                busy: owed.max(self.requests.get()),
            };
            match leaving.on(self.now(), look) {
                ShutdownStep::Wait(time) => sleep(duration(time)).await,
                ShutdownStep::Exit | ShutdownStep::Accept(_) | ShutdownStep::StopAccepting => return,
            }
        }
    }

    /// The time as the machines count it.
    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    fn connection_count(&self) -> usize {
        self.clients.borrow().len()
    }

    async fn accept(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            self.accept_one(listener).await;
        }
    }

    /// Takes what waits in the socket's queue and closes it. The queue itself is asked, until it is empty: the runtime
    /// hears of a connection later than the system, and one that is left in the queue would be reset.
    fn accept_backlog(self: &Rc<Self>, listener: TcpListener) {
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                self.serve_connection(stream);
            }
        }
    }

    async fn accept_one(self: &Rc<Self>, listener: &TcpListener) {
        let mut tried = None;
        loop {
            let next = self.limiter.accept(self.connection_count(), tried);
            match next {
                Accept::Now => break,
                Accept::EvictIdle => tried = Some((next, self.evict(true))),
                Accept::EvictAny => tried = Some((next, self.evict(false))),
                Accept::Wait => {
                    sleep(Duration::from_millis(5)).await;
                    tried = None;
                }
            }
        }
        match listener.accept().await {
            Ok((stream, _)) => self.serve_connection(stream),
            // Out of descriptors, or a client that left in the queue. Waiting lets others close.
            Err(why) => {
                log!("cannot accept: {why}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }

    /// Gives a connection its place and serves it.
    fn serve_connection(self: &Rc<Self>, stream: TcpStream) {
        let (server, client, number) =
            (Rc::clone(self), ClientState::new(stream.as_raw_fd(), self.began), self.next.get());
        self.next.set(number + 1);
        let full = self.limiter.is_full(self.connection_count());
        if full {
            self.log_full();
        }
        self.clients.borrow_mut().insert(number, Rc::clone(&client));
        tokio::task::spawn_local(async move {
            {
                let mut connection = std::pin::pin!(server.connection(stream, &client, full));
                loop {
                    tokio::select! {
                        biased;
                        () = client.evicted.notified() => {
                            if client.may_close_now() {
                                break;
                            }
                            // Something has come since it was told to go. It keeps its place.
                            server.clients.borrow_mut().entry(number).or_insert_with(|| Rc::clone(&client));
                        }
                        () = connection.as_mut() => break,
                    }
                }
            }
            server.clients.borrow_mut().remove(&number);
        });
    }

    /// Sends off the connection that is of least use, if any may be spared.
    fn evict(&self, idle: bool) -> bool {
        let mut clients = self.clients.borrow_mut();
        let visitors = clients.iter().map(|(n, c)| (*n, c.connection()));
        let gone = self.limiter.eviction_candidate(self.now(), idle, visitors, |n| clients[&n].is_busy());
        let gone = gone.and_then(|number| clients.remove(&number));
        gone.map(|client| client.evicted.notify_one()).is_some()
    }

    /// Says who holds the places, once a second at the most.
    fn log_full(&self) {
        let now = Instant::now();
        if self.full_logged_at.get().is_some_and(|said| now - said < Duration::from_secs(1)) {
            return;
        }
        self.full_logged_at.set(Some(now));
        let mut held: Vec<(Phase, usize)> = Vec::new();
        for (phase, _) in self.clients.borrow().values().map(|c| c.connection().phase()) {
            match held.iter_mut().find(|(p, _)| *p == phase) {
                Some((_, count)) => *count += 1,
                None => held.push((phase, 1)),
            }
        }
        log!("no place for another client: {held:?}");
    }

    /// Closes the connections whose time is over.
    async fn close_timed_out(&self) {
        loop {
            sleep(TIMEOUT_POLL).await;
            let (now, short) = (self.now(), self.limiter.is_scarce(self.connection_count()));
            for client in self.clients.borrow().values() {
                let over = client.connection().has_timed_out(now, short, || client.is_busy());
                if over {
                    client.evicted.notify_one();
                }
            }
        }
    }

    async fn connection(self: &Rc<Self>, stream: TcpStream, client: &Rc<ClientState>, full: bool) {
        // Without it, an answer in two writes would wait for an acknowledgement; failing costs only time.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let read = Rc::new(RefCell::new(read));
        let framed = Framed::new(Rc::clone(&read), write, Rc::clone(client));
        let service = service_fn(|request| async move {
            let open = OpenRequest::new(client, &self.requests);
            let reply = self.answer(request, client, full).await;
            Ok::<_, Infallible>(reply.map(|body| ResponseBody::new(body, open)))
        });
        let leaving = self.shutting_down.subscribe();
        {
            let connection = http1::Builder::new()
                .keep_alive(!full)
                .header_read_timeout(None)
                .max_buf_size(MAX_HEAD)
                .serve_connection(TokioIo::new(framed), service);
            tokio::pin!(connection);
            // How a client's connection ends is the client's affair; requests in it have told the exchange.
            // What has come is read before it is asked whether anything has.
            tokio::select! {
                biased;
                _ = connection.as_mut() => {}
                () = ready_to_shut_down(client, leaving) => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        }
        client.on(ClientEvent::Closing);
        let until = (client.connected_at() + LINGER).max(Instant::now() + LINGER_IDLE);
        // hyper has let go of its part; what is left is this one.
        if let Ok(read) = Rc::try_unwrap(read) {
            let _ = timeout_at(until, self.linger(read.into_inner())).await;
        }
    }

    /// Drops what still comes, until the client ends the connection or stops sending.
    async fn linger(&self, read: OwnedReadHalf) {
        while let Ok(Ok(())) = timeout(LINGER_IDLE, read.readable()).await {
            match read.try_read(&mut self.discard_buffer.borrow_mut()) {
                Ok(0) => return,
                Ok(_) => {}
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            tokio::task::yield_now().await;
        }
    }

    async fn answer(&self, request: Request<Incoming>, client: &Rc<ClientState>, full: bool) -> Reply {
        if full {
            return connection_limit_reached();
        }
        let (head, body) = request.into_parts();
        let body = match client.fault() {
            Some(fault) => Err(fault),
            None => read_body(body, client.request_deadline(), &self.body_budget).await,
        };
        let (body, hold) = match body {
            Ok((body, hold)) => (Ok(body), Some(hold)),
            Err(status) => (Err(status), None),
        };
        // Whether something stands behind the request is known once it is whole.
        let body = client.fault().map_or(body, Err);
        let spoilt = body.is_err();
        if let (Err(status), true) = (&body, crate::telemetry::trace::is_enabled()) {
            let length = head
                .headers
                .get(hyper::header::CONTENT_LENGTH)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned);
            crate::telemetry::trace::write(
                simd_json::json!({ "e": "not taken", "status": status.as_u16(), "length": length }),
            );
        }
        client.on(ClientEvent::RequestReceived);
        let leaving = *self.shutting_down.borrow();
        let mut request = Request::from_parts(head, body);
        if let Some(hold) = hold {
            request.extensions_mut().insert(hold);
        }
        if request.body() == &Err(StatusCode::SERVICE_UNAVAILABLE) {
            return closing(rejected(REJECTION_RETRY_AFTER));
        }
        let reply = self.handler.answer(request, leaving).await;
        if spoilt || client.is_last_request() {
            closing(reply)
        } else {
            reply
        }
    }
}

/// Returns once the front leaves and nothing is on its way on this connection: with the answer to an open request it
/// ends by itself.
async fn ready_to_shut_down(client: &ClientState, mut leaving: watch::Receiver<bool>) {
    if leaving.wait_for(|l| *l).await.is_err() {
        return std::future::pending().await;
    }
    while client.is_arriving() {
        // Bytes on the socket are nothing that anybody is told of.
        let _ = timeout(ARRIVAL_POLL, client.changed.notified()).await;
    }
}

/// Reads a body: 413 where it is larger than any request's, 503 where memory for bodies is short, 400 where it
/// breaks off, 408 where it does not begin by `until` or stands still for [`BODY_GAP`]. A slow client may take long
/// for a long body, as long as it goes on sending.
async fn read_body(
    mut body: Incoming,
    until: Instant,
    room: &Arc<BodyBudget>,
) -> Result<(Bytes, Arc<BodyReservation>), StatusCode> {
    let told = body.size_hint();
    if told.lower() > MAX_REQUEST_BODY as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut hold = BodyReservation::take(room, usize::try_from(told.lower()).unwrap_or(usize::MAX))?;
    let mut bytes = BytesMut::with_capacity(usize::try_from(told.lower()).unwrap_or(0).min(MAX_BODY));
    let mut next = until;
    loop {
        let frame = timeout_at(next, body.frame()).await.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|_| StatusCode::BAD_REQUEST)?;
        if let Ok(data) = frame.into_data() {
            if bytes.len() + data.len() > MAX_REQUEST_BODY {
                return Err(StatusCode::PAYLOAD_TOO_LARGE);
            }
            hold.grow(bytes.len() + data.len())?;
            bytes.extend_from_slice(&data);
        }
        next = Instant::now() + BODY_IDLE_TIMEOUT;
    }
    Ok((bytes.freeze(), Arc::new(hold)))
}

/// Bytes of request bodies that a front holds at once, of what memory allows.
pub struct BodyBudget {
    most: usize,
    held: AtomicUsize,
}

impl BodyBudget {
    /// So many bytes at most.
    pub fn new(most: usize) -> Arc<BodyBudget> {
        Arc::new(BodyBudget { most, held: AtomicUsize::new(0) })
    }
}

/// A body's bytes, held in a [`Room`] for as long as this lives: a front keeps it with what it sends.
pub struct BodyReservation {
    room: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    /// So many bytes, or 503 where there is no room for them.
    fn take(room: &Arc<BodyBudget>, bytes: usize) -> Result<BodyReservation, StatusCode> {
        let mut hold = BodyReservation { room: Arc::clone(room), bytes: 0 };
        hold.grow(bytes)?;
        Ok(hold)
    }

    /// Holds so many bytes in all, or 503 where there is no room for more.
    fn grow(&mut self, bytes: usize) -> Result<(), StatusCode> {
        let more = bytes.saturating_sub(self.bytes);
        let held = self.room.held.fetch_add(more, Ordering::Relaxed) + more;
        self.bytes += more;
        // A body alone always fits, so that no long request is refused for ever.
        if held > self.room.most && held > self.bytes {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.room.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn duration(time: Nanos) -> Duration {
    Duration::from_nanos(time.max(0) as u64)
}

/// A short plain answer.
pub fn plain(status: StatusCode, why: &'static str) -> Reply {
    let mut reply = Response::new(Either::Left(Full::new(Bytes::from_static(why.as_bytes()))));
    *reply.status_mut() = status;
    reply
}

/// Ends the connection after this answer.
fn closing(mut reply: Reply) -> Reply {
    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    reply
}

/// It never ran: the client may come back after the wait.
pub fn rejected(wait: Duration) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if let Ok(wait) = HeaderValue::try_from(format!("{:.3}", wait.as_secs_f64())) {
        reply.headers_mut().insert(RETRY_AFTER, wait);
    }
    reply
}

fn connection_limit_reached() -> Reply {
    closing(rejected(REJECTION_RETRY_AFTER))
}

/// Connections that the system holds for the front before it accepts them.
const BACKLOG: u32 = 1024;

/// Opens the front's socket, and says where it is: a port of 0 is any that is free. Another process may listen at
/// the same address beside it (`SO_REUSEPORT`): a new version starts so while the old one serves.
///
/// # Errors
/// A plain sentence, where the address cannot be had.
pub async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let bound = socket.and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.set_reuseport(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    });
    let listener = bound.map_err(|e| format!("cannot listen on {address}: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    log!("listening on {address}");
    Ok(listener)
}

#[cfg(test)]
#[path = "../../tests/unit/listener.rs"]
mod tests;
