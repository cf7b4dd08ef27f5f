//! A client's connection beneath hyper: what arrives on the wire is looked at here first, so that hyper and the
//! front never disagree on where a request ends, and so that it is known what each connection is about.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use hyper::body::{Body, Frame, SizeHint};
use hyper::StatusCode;
use nix::sys::socket::{recv, MsgFlags};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::Instant;
use tulipbridge_core::client_connection::{ClientConnection, ClientEvent, Phase};
use tulipbridge_core::Nanos;

/// Bytes of a head; what is longer is answered 431.
pub const MAX_HEAD: usize = 16 * 1024;
/// Fields of a head, as hyper takes them.
const MOST_FIELDS: usize = 100;
/// Bytes behind a request that are read and dropped while it is answered; a client that sends more waits.
const MOST_DROPPED: usize = 8 << 20;
/// What is known of a client's connection.
pub struct ClientState {
    visitor: Cell<ClientConnection>,
    /// From when its moments are counted.
    began: Instant,
    fault: Cell<Option<StatusCode>>,
    last: Cell<bool>,
    /// Whether a part of an answer is not with the system yet.
    unwritten: Cell<bool>,
    /// Lives as long as the connection has its place.
    socket: i32,
    /// Told when the connection must go.
    pub evicted: Notify,
    /// Told when something has happened on it.
    pub changed: Notify,
}

impl ClientState {
    /// One that has just connected, on a socket, at a front that counts its time from `began`.
    pub fn new(socket: i32, began: Instant) -> Rc<ClientState> {
        Rc::new(ClientState {
            visitor: Cell::new(ClientConnection::new(began.elapsed().as_nanos() as Nanos)),
            began,
            fault: Cell::new(None),
            last: Cell::new(false),
            unwritten: Cell::new(false),
            socket,
            evicted: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// What it is about.
    pub fn connection(&self) -> ClientConnection {
        self.visitor.get()
    }

    /// Tells what has happened on it.
    pub fn on(&self, event: ClientEvent) {
        let mut visitor = self.visitor.get();
        visitor.on(self.now(), event);
        self.visitor.set(visitor);
        // What has been handed over is written once it has been flushed; what has ended is written.
        match event {
            ClientEvent::Answered => self.unwritten.set(true),
            ClientEvent::Closing => self.unwritten.set(false),
            _ => {}
        }
        self.changed.notify_one();
    }

    /// When the present request must have come whole.
    pub fn request_deadline(&self) -> Instant {
        self.began + Duration::from_nanos(self.connection().request_deadline().max(0) as u64)
    }

    /// Whether closing it now would cross a request that has come, or cut an answer off.
    pub fn is_busy(&self) -> bool {
        self.phase() == Phase::Idle && self.waits()
    }

    /// Whether bytes lie on the socket that nobody has read, or a part of an answer is not with the system.
    fn waits(&self) -> bool {
        let peek = MsgFlags::MSG_PEEK | MsgFlags::MSG_DONTWAIT;
        self.unwritten.get() || recv(self.socket, &mut [0], peek).is_ok_and(|count| count > 0)
    }

    /// Whether a request is on its way on it: see [`Visitor::is_arriving`].
    pub fn is_arriving(&self) -> bool {
        self.connection().is_arriving(self.now(), self.waits())
    }

    /// Whether something is owed on it: see [`Visitor::is_owed`].
    pub fn has_pending_work(&self) -> bool {
        self.connection().has_pending_work(self.now(), self.waits())
    }

    /// Whether it may be cut off in this moment: see [`Visitor::may_be_cut`].
    pub fn may_close_now(&self) -> bool {
        self.connection().may_close_now(self.now(), self.waits())
    }

    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    /// When it came.
    pub fn connected_at(&self) -> Instant {
        self.began + Duration::from_nanos(self.connection().connected_at().max(0) as u64)
    }

    fn phase(&self) -> Phase {
        self.connection().phase().0
    }

    /// What is wrong with how the present request is framed.
    pub fn fault(&self) -> Option<StatusCode> {
        self.fault.get()
    }

    /// Whether nothing may be read behind the present request.
    pub fn is_last_request(&self) -> bool {
        self.last.get()
    }
}

/// What is read next.
enum Reading {
    Head,
    /// So many bytes of a body.
    Body(u64),
    /// The request is whole: nothing may come before its answer has gone out.
    Whole,
    /// The last request on this connection: hyper makes of it what it can.
    Rest,
}

/// A client's socket, as hyper sees it.
pub struct Framed {
    /// Shared with the listener, which reads on where hyper has ended.
    read: Rc<RefCell<OwnedReadHalf>>,
    write: OwnedWriteHalf,
    client: Rc<ClientState>,
    held: BytesMut,
    /// So many bytes of what is held are hyper's.
    free: usize,
    reading: Reading,
    /// Whether some of the answer to the present request has been written.
    answered: bool,
    /// Bytes behind the present request that were dropped.
    dropped: usize,
}

impl Framed {
    /// On a connection's two halves.
    pub fn new(read: Rc<RefCell<OwnedReadHalf>>, write: OwnedWriteHalf, client: Rc<ClientState>) -> Framed {
        Framed {
            read,
            write,
            client,
            held: BytesMut::new(),
            free: 0,
            reading: Reading::Head,
            answered: false,
            dropped: 0,
        }
    }

    /// Takes in what has come; 0 is the end.
    fn more(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; 4096];
        let mut buf = ReadBuf::new(&mut bytes);
        ready!(Pin::new(&mut *self.read.borrow_mut()).poll_read(cx, &mut buf))?;
        self.held.extend_from_slice(buf.filled());
        Poll::Ready(Ok(buf.filled().len()))
    }

    /// Frees a head for hyper, where it has come whole, and says how its body is framed.
    fn head(&mut self) {
        // Empty lines ahead of a request are to be passed over.
        let blank = self.held.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.held.advance(blank);
        let Some(end) = self.held.windows(4).position(|w| w == b"\r\n\r\n") else {
            if self.held.len() >= MAX_HEAD {
                self.client.fault.set(Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
                self.reading = Reading::Rest;
            }
            return;
        };
        self.free = end + 4;
        self.answered = false;
        match framing(&self.held[..self.free]) {
            Ok(Some(length)) => {
                self.reading = Reading::Body(length);
                self.client.on(ClientEvent::BodyStarted);
                self.whole_or(length, self.free);
            }
            Ok(None) => {
                self.client.last.set(true);
                self.client.on(ClientEvent::BodyStarted);
                self.reading = Reading::Rest;
            }
            Err(status) => {
                self.client.fault.set(Some(status));
                self.reading = Reading::Rest;
            }
        }
    }

    /// The body lacks so many bytes; what is held begins with so many that are accounted for. Whatever stands
    /// behind a whole request shows that its length is wrong: a client sends one request at a time.
    fn whole_or(&mut self, left: u64, from: usize) {
        let come = (self.held.len() - from).min(usize::try_from(left).unwrap_or(usize::MAX));
        self.free = from + come;
        let left = left - come as u64;
        self.reading = if left == 0 { Reading::Whole } else { Reading::Body(left) };
        if left == 0 {
            self.client.on(ClientEvent::RequestReceived);
            if self.held[self.free..].iter().any(|b| !matches!(b, b'\r' | b'\n')) {
                self.client.fault.set(Some(StatusCode::BAD_REQUEST));
                self.client.last.set(true);
            }
        }
    }
}

impl AsyncRead for Framed {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let framed = &mut *self;
        loop {
            if framed.free > 0 {
                let count = framed.free.min(buf.remaining());
                buf.put_slice(&framed.held[..count]);
                framed.held.advance(count);
                framed.free -= count;
                return Poll::Ready(Ok(()));
            }
            match framed.reading {
                Reading::Head => {
                    framed.head();
                    if framed.free > 0 || matches!(framed.reading, Reading::Rest) {
                        continue;
                    }
                    if ready!(framed.more(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    framed.client.on(ClientEvent::HeadStarted);
                }
                Reading::Body(left) => {
                    if framed.held.is_empty() && ready!(framed.more(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    framed.whole_or(left, 0);
                }
                Reading::Whole => {
                    if framed.answered && framed.client.phase() == Phase::Idle {
                        if framed.client.last.get() {
                            return Poll::Ready(Ok(()));
                        }
                        framed.reading = Reading::Head;
                        continue;
                    }
                    // Only the end is of interest now. Bytes that a client sends before it has its answer are
                    // no request of its own; the connection ends with this answer. They are read and dropped, so
                    // that the end behind them is seen: who sends much at once and goes has gone.
                    framed.held.clear();
                    if framed.dropped >= MOST_DROPPED {
                        return Poll::Pending;
                    }
                    let count = ready!(framed.more(cx))?;
                    if count == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    framed.dropped += count;
                    framed.client.last.set(true);
                }
                Reading::Rest => {
                    if framed.held.is_empty() && ready!(framed.more(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    framed.free = framed.held.len();
                }
            }
        }
    }
}

impl AsyncWrite for Framed {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.write).poll_write(cx, buf))?;
        self.answered |= matches!(self.reading, Reading::Whole) && count > 0;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.write).poll_flush(cx))?;
        // hyper flushes the socket once it holds nothing back itself.
        self.client.unwritten.set(false);
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}

/// How the body behind a head is framed: its length, or in chunks. hyper settles lengths that contradict each
/// other in silence, and what another party takes for a second request would pass as a body.
fn framing(head: &[u8]) -> Result<Option<u64>, StatusCode> {
    const BAD: StatusCode = StatusCode::BAD_REQUEST;
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(head) {
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        Err(httparse::Error::TooManyHeaders) => return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE),
        _ => return Err(BAD),
    }
    let named = |name: &str| {
        request
            .headers
            .iter()
            .filter(|f| f.name.eq_ignore_ascii_case(name))
            .map(|f| f.value)
            .collect::<Vec<_>>()
    };
    match (named("content-length").as_slice(), named("transfer-encoding").as_slice()) {
        ([], []) => Ok(Some(0)),
        ([length], []) if !length.is_empty() && length.iter().all(u8::is_ascii_digit) => {
            let length = std::str::from_utf8(length).ok().and_then(|l| l.parse().ok());
            length.map(Some).ok_or(StatusCode::PAYLOAD_TOO_LARGE)
        }
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(None),
        _ => Err(BAD),
    }
}

/// An answer's body that tells when it has been handed over whole, or given up.
pub struct ResponseBody<B> {
    body: B,
    _open: OpenRequest,
}

impl<B> ResponseBody<B> {
    /// Around a body.
    pub fn new(body: B, open: OpenRequest) -> ResponseBody<B> {
        ResponseBody { body, _open: open }
    }
}

impl<B: Body + Unpin> Body for ResponseBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request that is being answered; it is over when this goes.
pub struct OpenRequest {
    client: Rc<ClientState>,
    count: Rc<Cell<usize>>,
}

impl OpenRequest {
    /// Counts one more.
    pub fn new(client: &Rc<ClientState>, count: &Rc<Cell<usize>>) -> OpenRequest {
        count.set(count.get() + 1);
        OpenRequest { client: Rc::clone(client), count: Rc::clone(count) }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
        self.client.on(ClientEvent::Answered);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/framing.rs"]
mod tests;
