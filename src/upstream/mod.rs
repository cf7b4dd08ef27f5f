//! The chunk-server side: attempts over HTTP/1.1, a bounded pool of connections, and the table of outcomes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::ext::on_informational;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use nix::errno::Errno;
use nix::sys::socket::{recv, MsgFlags};
use simd_json::json;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{yield_now, JoinHandle};
use tokio::time::sleep;
use tulipbridge_core::attempt::{Attempt, AttemptEvent, AttemptStep};
use tulipbridge_core::connection_pool::{Capacity, ConnectionPool};
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::{CellId, Nanos, NodeId, Outcome};

use crate::exchange::{AttemptReport, Transport, Withdrawal};
use crate::frontend::body::BodyReservation;
use crate::telemetry::metrics::ClassMetrics;
use crate::telemetry::trace;

/// The most bytes of a body, either way, that is held whole.
pub const MAX_BODY: usize = 64 * 1024;
/// The most bytes of a body that is passed on as it comes; a longer one is taken for spoilt.
const MAX_STREAMED: u64 = 1 << 30;
/// Bytes that a connection holds of what it reads: a head past it has no end that matters.
const MAX_BUFFER: usize = 32 * 1024;
/// From an answer's first byte to its last. A server has an answer whole before it sends it; where the rest does
/// not come, waiting until the client's time is over would leave none for another attempt. Shorter than what the
/// module takes for silence of the node, which this is not.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);
const HOST_NAME: HeaderValue = HeaderValue::from_static("chunk.internal");
const ID: HeaderName = HeaderName::from_static("x-txn");
const REMAINING: HeaderName = HeaderName::from_static("x-remaining");
const REJECTED_HEADER: HeaderName = HeaderName::from_static("x-turned-away");
const VOLUME_USE: HeaderName = HeaderName::from_static("x-volume-use");
const SERVED_ELSEWHERE: HeaderName = HeaderName::from_static("x-served-elsewhere");

/// What goes to a chunk server, as it came.
pub struct Payload {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The request's id.
    pub id: HeaderValue,
    /// Further headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Which answers are the client's.
    pub accepts: Accepts,
    /// Where an attempt is counted once its last byte is written.
    pub metrics: Option<ClassMetrics>,
    /// What keeps the body's bytes counted in the room for bodies, for as long as they are held.
    pub reservation: Option<Arc<BodyReservation>>,
}

/// What a front takes for a chunk server's answer to its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepts {
    /// 200 alone; all else is an error of the server's.
    Served,
    /// What the object API answers: any success, and any fault found with the request itself.
    Object,
}

/// A chunk server's answer.
#[derive(Debug)]
pub struct Answer {
    /// The shard of the server that gave it.
    pub cell: CellId,
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The body, where it came whole.
    pub body: Bytes,
    /// A long body, still coming, where it did not: it is passed on as it comes.
    pub streamed: Option<StreamedBody>,
}

/// A long body that is still coming from a chunk server, with the connection that it comes on. It is read only as
/// fast as it is passed on, so that memory holds a few pieces of it at most. Dropping it closes the connection.
pub struct StreamedBody {
    /// What has come of the body already.
    pub first: Bytes,
    /// The rest of the body.
    pub body: Incoming,
    /// The whole length, where the server said it.
    pub length: Option<u64>,
    conn: Option<(PooledConnection, NodeId, Rc<Connections>)>,
}

impl StreamedBody {
    /// The body has come whole: its connection may carry another request.
    pub fn done(mut self) {
        if let Some((conn, node, shared)) = self.conn.take() {
            conn.wire.on(ConnectionEvent::ResponseComplete);
            shared.release(node, conn);
        }
    }
}

impl std::fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Rest({:?})", self.length)
    }
}

/// Where chunk servers are and the connections to them.
pub struct Upstream {
    shared: Rc<Connections>,
}

struct Connections {
    dial_timeout: Duration,
    began: Instant,
    open: Cell<usize>,
    nodes: RefCell<Nodes>,
    pool: RefCell<ConnectionPool<PooledConnection>>,
}

#[derive(Default)]
struct Nodes {
    ids: HashMap<String, NodeId>,
    list: HashMap<NodeId, Member>,
    /// No number is given twice: what is still out under one must not be taken for another's.
    next: NodeId,
}

struct Member {
    name: String,
    address: SocketAddr,
    cell: CellId,
}

impl Upstream {
    /// No chunk server is known yet. `idle_close` is when the servers close an idle connection; one written to
    /// in that moment is lost, so connections go well before. `most` bounds all connections together.
    pub fn new(dial_timeout: Duration, idle_close: Duration, most: usize) -> Upstream {
        let pool = RefCell::new(ConnectionPool::new(idle_close.mul_f64(0.8).as_nanos() as Nanos, most));
        let (began, open, nodes) = (Instant::now(), Cell::new(0), RefCell::default());
        Upstream { shared: Rc::new(Connections { dial_timeout, began, open, nodes, pool }) }
    }

    /// The number of a chunk server, given at its first mention, and where it is from now on.
    pub fn locate(&self, name: &str, address: SocketAddr, cell: CellId) -> NodeId {
        let mut nodes = self.shared.nodes.borrow_mut();
        if let Some(&id) = nodes.ids.get(name) {
            if let Some(member) = nodes.list.get_mut(&id) {
                member.cell = cell;
                if member.address != address {
                    member.address = address;
                    self.shared.pool.borrow_mut().address_changed(id);
                }
            }
            return id;
        }
        let id = nodes.next;
        nodes.next += 1;
        nodes.ids.insert(name.to_owned(), id);
        nodes.list.insert(id, Member { name: name.to_owned(), address, cell });
        self.shared.pool.borrow_mut().add(id);
        id
    }

    /// What discovery calls a chunk server: the same at every front, wherever each finds it.
    pub fn id(&self, node: NodeId) -> String {
        self.shared.nodes.borrow().list.get(&node).map_or_else(String::new, |m| m.name.clone())
    }

    /// Closes connections that have stood idle for long.
    pub fn sweep(&self) {
        let now = self.shared.now();
        self.shared.pool.borrow_mut().sweep(now, PooledConnection::is_open);
    }
}

impl Transport for Upstream {
    type Payload = Payload;
    type Answer = Answer;

    fn name(&self, node: NodeId) -> String {
        self.shared.name(node)
    }

    fn forget(&self, node: NodeId) {
        let mut nodes = self.shared.nodes.borrow_mut();
        if let Some(member) = nodes.list.remove(&node) {
            nodes.ids.remove(&member.name);
        }
        self.shared.pool.borrow_mut().remove(node);
    }

    fn attempt(
        &self,
        node: NodeId,
        payload: Rc<Payload>,
        until: Instant,
        withdrawal: Withdrawal,
    ) -> impl Future<Output = AttemptReport<Answer>> + 'static {
        let shared = Rc::clone(&self.shared);
        async move { shared.attempt(node, &payload, until, withdrawal).await }
    }
}

impl Connections {
    /// Carries an attempt out, step by step as the machine says.
    async fn attempt(
        self: Rc<Self>,
        node: NodeId,
        payload: &Payload,
        until: Instant,
        mut withdrawal: Withdrawal,
    ) -> AttemptReport<Answer> {
        let (mut attempt, mut next, mut at_hand) =
            (Attempt::AcquiringConnection, AttemptStep::AcquireConnection, None);
        loop {
            next = match next {
                AttemptStep::AcquireConnection => {
                    at_hand = self.pool.borrow_mut().take(node, self.now(), PooledConnection::is_quiet).0;
                    attempt.on(match at_hand {
                        Some(_) => AttemptEvent::PooledConnectionFound,
                        None => AttemptEvent::NoPooledConnection { may_open: self.may_open(node) },
                    })
                }
                AttemptStep::Dial => tokio::select! {
                    biased;
                    outcome = withdrawal.withdrawn() => attempt.on(AttemptEvent::Withdrawn(outcome)),
                    conn = self.dial(node) => {
                        at_hand = conn;
                        let up = at_hand.is_some();
                        attempt.on(if up { AttemptEvent::Connected } else { AttemptEvent::ConnectFailed })
                    }
                },
                AttemptStep::Send => match at_hand.take() {
                    Some(mut conn) => match self.send(&mut conn, payload, until, &withdrawal).await {
                        // Of what was written nothing is taken back.
                        Err(Execution::NotStarted) => attempt.on(match withdrawal.outcome() {
                            Some(outcome) => AttemptEvent::Withdrawn(outcome),
                            None => AttemptEvent::ConnectionBroke(Execution::NotStarted),
                        }),
                        Err(doubt) => attempt.on(AttemptEvent::ConnectionBroke(doubt)),
                        Ok(mut ended) => {
                            attempt.on(AttemptEvent::Answered(ended.outcome));
                            // A body that is still coming keeps its connection until it has come.
                            match ended.answer.as_mut().and_then(|a| a.streamed.as_mut()) {
                                Some(rest) => rest.conn = Some((conn, node, Rc::clone(&self))),
                                None => self.release(node, conn),
                            }
                            return ended;
                        }
                    },
                    None => attempt.on(AttemptEvent::ConnectionBroke(Execution::MayHaveRun)),
                },
                AttemptStep::End(outcome) => return outcome.into(),
            };
        }
    }

    /// What operators call a node, and where it is.
    fn name(&self, node: NodeId) -> String {
        let nodes = self.nodes.borrow();
        nodes.list.get(&node).map_or(String::new(), |m| format!("{} at {}", m.name, m.address))
    }

    /// The time as the pool counts it.
    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    fn release(&self, node: NodeId, conn: PooledConnection) {
        // Bytes that wait on it are looked for where it is taken again.
        let quiet = conn.is_open();
        self.pool.borrow_mut().release(node, conn.address_epoch, conn, self.now(), quiet);
    }

    /// Whether a connection to the node may be opened, which may cost the longest idle one.
    fn may_open(&self, node: NodeId) -> bool {
        self.nodes.borrow().list.contains_key(&node)
            && !matches!(self.pool.borrow_mut().capacity(self.open.get()), Capacity::Exhausted)
    }

    async fn dial(self: &Rc<Self>, node: NodeId) -> Option<PooledConnection> {
        let (address, cell) = self.nodes.borrow().list.get(&node).map(|m| (m.address, m.cell))?;
        let place = self.pool.borrow().address_epoch(node)?;
        let table = OpenSlot::take(self);
        if trace::is_enabled() {
            trace::write(json!({ "e": "dial", "node": self.name(node), "open": self.open.get() }));
        }
        let dialled = tokio::time::timeout(self.dial_timeout, TcpStream::connect(address)).await;
        let stream = dialled.ok()?.ok()?;
        // Without it, a request in two writes would wait for an acknowledgement; failing costs only time.
        let _ = stream.set_nodelay(true);
        let wire = Rc::new(WireState::default());
        let socket = stream.as_raw_fd();
        let io = TokioIo::new(ObservedStream { stream, wire: Rc::clone(&wire) });
        let (sender, connection) = Builder::new().max_buf_size(MAX_BUFFER).handshake(io).await.ok()?;
        let task = tokio::task::spawn_local(async move {
            // How a connection ends shows in the attempt that it carries.
            let _ = connection.await;
        });
        Some(PooledConnection { sender, task, socket, wire, address_epoch: place, cell, _slot: table })
    }

    async fn send(
        &self,
        conn: &mut PooledConnection,
        payload: &Payload,
        until: Instant,
        withdrawal: &Withdrawal,
    ) -> Result<AttemptReport<Answer>, Execution> {
        conn.sender.ready().await.map_err(|_| Execution::NotStarted)?;
        let mut request = Request::new(Full::new(payload.body.clone()));
        *request.method_mut() = payload.method.clone();
        *request.uri_mut() = payload.target.clone();
        let left = until.saturating_duration_since(Instant::now()).as_micros();
        let headers = request.headers_mut();
        headers.clone_from(&payload.headers);
        headers.insert(HOST, HOST_NAME);
        headers.insert(ID, payload.id.clone());
        if let Ok(left) = HeaderValue::try_from(format!("{left}u")) {
            headers.insert(REMAINING, left);
        }
        let (wire, cell) = (Rc::clone(&conn.wire), conn.cell);
        wire.begin_request(payload.body.len(), payload.metrics.clone(), withdrawal.clone());
        // What comes ahead of an answer is none of it.
        let answers = Arc::clone(&wire.responses_started);
        on_informational(&mut request, move |_| {
            answers.fetch_add(1, Ordering::Relaxed);
        });
        let answer = async {
            let response = conn.sender.send_request(request).await.map_err(|_| wire.execution())?;
            if !wire.connection.get().is_reading_response() {
                return Err(wire.execution());
            }
            let ended = read_response(response, payload.accepts, cell).await?;
            wire.on(ConnectionEvent::ResponseComplete);
            Ok(ended)
        };
        let mut answer = pin!(answer);
        tokio::select! {
            biased;
            answer = answer.as_mut() => answer,
            () = wire.stalled() => Err(wire.execution()),
        }
    }
}

/// An answer with its body. Whatever is not framed beyond doubt and within bounds is spoilt: it may have run, and
/// there is no answer to pass on. A served answer whose body is long, or of unknown length, is passed on as it comes, where
/// the front takes such answers.
async fn read_response(
    response: Response<Incoming>,
    accepts: Accepts,
    cell: CellId,
) -> Result<AttemptReport<Answer>, Execution> {
    let headers = response.headers();
    let (sized, coded) = (headers.contains_key(CONTENT_LENGTH), headers.contains_key(TRANSFER_ENCODING));
    let size = response.body().size_hint();
    // A body without a length ends with its connection. A reset is no end: then the rest is lacking.
    let open_ended = size.exact().is_none();
    let (outcome, seen_use, foreign_units) = read_head(&response, accepts);
    let long = open_ended || size.lower() > MAX_BODY as u64;
    if response.status().is_informational() || (sized && coded) || size.lower() > MAX_STREAMED {
        return Err(Execution::MayHaveRun);
    }
    if long && outcome == Outcome::Served && accepts == Accepts::Served {
        let (head, mut body) = response.into_parts();
        let mut first = BytesMut::new();
        // It may be short after all; then it is whole like any other.
        while open_ended && first.len() <= MAX_BODY {
            match body.frame().await {
                None => {
                    let answer = Answer {
                        cell,
                        status: head.status,
                        headers: head.headers,
                        body: first.freeze(),
                        streamed: None,
                    };
                    return Ok(AttemptReport { outcome, answer: Some(answer), seen_use, foreign_units });
                }
                Some(Err(_)) => return Err(Execution::MayHaveRun),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        first.extend_from_slice(&data);
                    }
                }
            }
        }
        let rest = Some(StreamedBody { first: first.freeze(), body, length: size.exact(), conn: None });
        let answer =
            Answer { cell, status: head.status, headers: head.headers, body: Bytes::new(), streamed: rest };
        return Ok(AttemptReport { outcome, answer: Some(answer), seen_use, foreign_units });
    }
    if size.lower() > MAX_BODY as u64 {
        return Err(Execution::MayHaveRun);
    }
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY).collect().await;
    let body = body.map_err(|_| Execution::MayHaveRun)?.to_bytes();
    let answer = (outcome == Outcome::Served).then_some(Answer {
        cell,
        status: head.status,
        headers: head.headers,
        body,
        streamed: None,
    });
    Ok(AttemptReport { outcome, answer, seen_use, foreign_units })
}

/// The table of outcomes, for what came back.
fn read_head<B>(response: &Response<B>, accepts: Accepts) -> (Outcome, f64, f64) {
    let headers = response.headers();
    let turned_away = headers.get(REJECTED_HEADER).is_some_and(|v| v == "1");
    let outcome = match response.status() {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => Outcome::Rejected,
        status if accepts == Accepts::Object => match status.as_u16() {
            // 408 and 429 are the server's trouble, not the request's.
            408 | 429 => Outcome::Error,
            200..=499 => Outcome::Served,
            _ => Outcome::Error,
        },
        _ => Outcome::Error,
    };
    let used = number(headers, &VOLUME_USE).map_or(0.0, |percent| percent + 1.0);
    (outcome, used, number(headers, &SERVED_ELSEWHERE).unwrap_or(0.0))
}

/// The first figure that can be read, if any: what cannot is passed over alone.
fn number(headers: &HeaderMap, name: &HeaderName) -> Option<f64> {
    let told = headers.get_all(name).iter().filter_map(|v| v.to_str().ok()?.trim().parse().ok());
    told.into_iter().find(|n: &f64| n.is_finite() && *n >= 0.0)
}

/// A connection; dropping it closes it, also in mid-request.
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// Lives as long as the task does, and that as long as the sender is not closed.
    socket: i32,
    wire: Rc<WireState>,
    /// Which of its node's places it leads to.
    address_epoch: u32,
    cell: CellId,
    _slot: OpenSlot,
}

impl PooledConnection {
    /// Open, with nothing on it that has been read.
    fn is_open(&self) -> bool {
        self.wire.connection.get() == ServerConnection::Idle
            && !self.sender.is_closed()
            && !self.task.is_finished()
    }

    /// The same with nothing on its socket: bytes that came unasked would be taken for the next request's answer.
    fn is_quiet(&self) -> bool {
        let peek = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        self.is_open() && recv(self.socket, &mut [0], peek) == Err(Errno::EAGAIN)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A place in the table of open connections.
struct OpenSlot(Rc<Connections>);

impl OpenSlot {
    fn take(shared: &Rc<Connections>) -> OpenSlot {
        shared.open.set(shared.open.get() + 1);
        OpenSlot(Rc::clone(shared))
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// What the socket has taken and brought: no error of a library tells whether the last byte of a request is
/// out.
#[derive(Default)]
struct WireState {
    connection: Cell<ServerConnection>,
    /// Bytes matched of the empty line that ends the head.
    matched: Cell<usize>,
    body_left: Cell<usize>,
    /// Answers begun on this connection, those ahead of the last one included.
    responses_started: Arc<AtomicU64>,
    /// The one that a byte has come of last, and the news of its first.
    last_response_seen: Cell<u64>,
    response_started: Notify,
    /// Where the present request is counted once its last byte is written.
    metrics: RefCell<Option<ClassMetrics>>,
    /// Whether the present request is still wanted.
    withdrawal: RefCell<Option<Withdrawal>>,
}

const HEAD_END: &[u8; 4] = b"\r\n\r\n";

impl WireState {
    fn on(&self, event: ConnectionEvent) {
        let mut link = self.connection.get();
        link.on(event);
        self.connection.set(link);
    }

    fn execution(&self) -> Execution {
        self.connection.get().execution()
    }

    fn begin_request(&self, body: usize, figures: Option<ClassMetrics>, withdrawal: Withdrawal) {
        *self.metrics.borrow_mut() = figures;
        *self.withdrawal.borrow_mut() = Some(withdrawal);
        self.on(ConnectionEvent::RequestAssigned);
        self.matched.set(0);
        self.body_left.set(body);
        self.responses_started.fetch_add(1, Ordering::Relaxed);
    }

    fn bytes_received(&self) {
        self.on(ConnectionEvent::BytesReceived);
        let answer = self.responses_started.load(Ordering::Relaxed);
        if self.last_response_seen.replace(answer) != answer {
            self.response_started.notify_one();
        }
    }

    /// Returns when an answer has begun and does not end.
    async fn stalled(&self) {
        loop {
            self.response_started.notified().await;
            let answer = self.last_response_seen.get();
            if self.responses_started.load(Ordering::Relaxed) == answer {
                sleep(STALL_TIMEOUT).await;
                // If it was this process that stood still, what has come meanwhile is read first.
                yield_now().await;
                if self.responses_started.load(Ordering::Relaxed) == answer {
                    return;
                }
            }
        }
    }

    /// Nothing of a request is begun that nobody wants. Looks at the socket first: what waits there is no answer to what has not been written, and where the node
    /// has ended the connection, nothing of the request need be risked on it.
    fn may_write(&self, socket: i32) -> bool {
        let mut link = self.connection.get();
        let waits = recv(socket, &mut [0], MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT).is_ok();
        let withdrawn = self.withdrawal.borrow().as_ref().is_some_and(|w| w.outcome().is_some());
        let may = link.may_write(waits, withdrawn);
        self.connection.set(link);
        may
    }

    fn bytes_written(&self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        let mut matched = self.matched.get();
        let mut head = 0;
        while matched < HEAD_END.len() && head < bytes.len() {
            let byte = bytes[head];
            matched = if byte == HEAD_END[matched] { matched + 1 } else { usize::from(byte == b'\r') };
            head += 1;
        }
        self.matched.set(matched);
        self.body_left.set(self.body_left.get().saturating_sub(bytes.len() - head));
        let last = self.matched.get() == HEAD_END.len() && self.body_left.get() == 0;
        if last {
            if let Some(figures) = self.metrics.borrow_mut().take() {
                figures.count_send();
            }
        }
        self.on(ConnectionEvent::BytesWritten { last });
    }
}

/// A socket that keeps count of what it has taken.
struct ObservedStream {
    stream: TcpStream,
    wire: Rc<WireState>,
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.wire.bytes_received();
        }
        done
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if !self.wire.may_write(self.stream.as_raw_fd()) {
            return Poll::Ready(Err(std::io::ErrorKind::ConnectionReset.into()));
        }
        let done = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = done {
            self.wire.bytes_written(&buf[..count]);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/upstream.rs"]
mod tests;
