//! A connection to a chunk server: the handle that the pool keeps, and a socket that records its
//! traffic.

use std::io::IoSlice;
use std::os::fd::{AsRawFd, RawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::ext::on_informational;
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::Request;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::ShardId;

use super::open_connections::OpenSlot;
use super::payload::{Answer, Payload};
use super::request_body::RequestBody;
use super::response::ResponseReader;
use super::response_limits::ResponseLimits;
use super::wire_state::WireState;
use crate::exchange::{AttemptContext, AttemptReport};
use crate::memory_budget::Reservation;
use crate::socket_io::{self, disable_nagle};

/// Size of hyper's read buffer in bytes; a longer response head is an error.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// Value of the `Host` header, the same for all chunk servers.
const HOST_VALUE: HeaderValue = HeaderValue::from_static("chunk.internal");
/// Header with the transaction id.
const TRANSACTION_ID: HeaderName = HeaderName::from_static("x-txn");
/// Deducted from the remaining time that is announced to a server, to cover the network path to the
/// server and delays in this process.
const REMAINING_TIME_MARGIN: Duration = Duration::from_millis(20);
/// Header with the time until the attempt's deadline as announced to the server, in microseconds
/// with the suffix `u`.
const REMAINING_TIME: HeaderName = HeaderName::from_static("x-remaining");

/// A connection to a chunk server; dropping it closes the connection, even during a request.
pub(super) struct PooledConnection {
    sender: SendRequest<RequestBody>,
    /// Drives the connection.
    task: JoinHandle<()>,
    /// File descriptor, open as long as the task runs, which is until the sender is closed.
    socket: RawFd,
    wire: Rc<WireState>,
    /// The address epoch of the server in which the connection was opened.
    address_epoch: u32,
    /// The shard of the server, which is reported with its answers.
    shard: ShardId,
    /// Counts the connection as open.
    _slot: OpenSlot,
}

impl PooledConnection {
    /// Performs the HTTP handshake on a stream to a server of `shard`, opened in the address epoch
    /// `address_epoch` of the server. Returns `None` if the handshake fails.
    pub async fn handshake(
        stream: TcpStream,
        address_epoch: u32,
        shard: ShardId,
        slot: OpenSlot,
    ) -> Option<PooledConnection> {
        disable_nagle(&stream);
        let wire = Rc::new(WireState::default());
        let socket = stream.as_raw_fd();
        let io = TokioIo::new(ObservedStream::new(stream, Rc::clone(&wire)));
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await
            .ok()?;
        let task = tokio::task::spawn_local(drive(connection));
        Some(PooledConnection {
            sender,
            task,
            socket,
            wire,
            address_epoch,
            shard,
            _slot: slot,
        })
    }

    /// Returns the address epoch of the server in which the connection was opened.
    pub fn address_epoch(&self) -> u32 {
        self.address_epoch
    }

    /// Records that the streamed body of the present response is complete.
    pub fn response_complete(&self) {
        self.wire.on(ConnectionEvent::ResponseComplete);
    }

    /// Returns whether the connection is open and idle, as far as has been read from it. Whatever
    /// still waits on the socket is not checked.
    pub fn is_open(&self) -> bool {
        self.wire.connection() == ServerConnection::Idle
            && !self.sender.is_closed()
            && !self.task.is_finished()
    }

    /// Returns whether the connection is open and idle and no bytes wait on its socket: unsolicited
    /// bytes would be mistaken for the next response.
    pub fn is_quiet(&self) -> bool {
        self.is_open() && socket_io::is_quiet(self.socket)
    }

    /// Sends a request and reads its response, whose body keeps what it takes of `memory`.
    ///
    /// # Errors
    /// Returns what is known about the execution of the request, if no valid response arrives.
    pub async fn send(
        &mut self,
        payload: &Payload,
        context: &AttemptContext,
        memory: Reservation,
    ) -> Result<AttemptReport<Answer>, Execution> {
        self.sender
            .ready()
            .await
            .map_err(|_| Execution::NotStarted)?;
        let wire = Rc::clone(&self.wire);
        let mut request = build_request(payload, context.deadline);
        wire.begin_request(payload.body.len(), payload.metrics.clone(), context);
        let limits = ResponseLimits::new(payload, context, &wire);
        // Informational responses before the final one are counted and otherwise ignored.
        let responses = wire.response_counter();
        on_informational(&mut request, move |_| {
            responses.fetch_add(1, Ordering::Relaxed);
        });
        let response = tokio::select! {
            biased;
            response = self.sender.send_request(request) => response.map_err(|_| wire.execution())?,
            () = limits.head_given_up() => return Err(wire.execution()),
        };
        if !wire.connection().is_reading_response() {
            return Err(wire.execution());
        }
        let reader = ResponseReader::new(payload, self.shard, &limits);
        let report = reader.read(response, memory).await?;
        wire.on(ConnectionEvent::ResponseComplete);
        Ok(report)
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Drives a connection until it ends. An error surfaces in the attempt that uses the connection, so
/// it is not reported here.
async fn drive(connection: Connection<TokioIo<ObservedStream>, RequestBody>) {
    let _ignored = connection.await;
}

/// Builds the HTTP request of an attempt with the given deadline.
fn build_request(payload: &Payload, deadline: Instant) -> Request<RequestBody> {
    let mut request = Request::new(RequestBody::new(payload.body.clone()));
    *request.method_mut() = payload.method.clone();
    *request.uri_mut() = payload.target.clone();
    let remaining =
        remaining_for_server(deadline.saturating_duration_since(Instant::now())).as_micros();
    let headers = request.headers_mut();
    headers.clone_from(&payload.headers);
    headers.insert(HOST, HOST_VALUE);
    headers.insert(TRANSACTION_ID, payload.transaction_id.clone());
    if let Ok(remaining) = HeaderValue::try_from(format!("{remaining}u")) {
        headers.insert(REMAINING_TIME, remaining);
    }
    request
}

/// Returns the remaining time to announce to a server: the time `left` less
/// [`REMAINING_TIME_MARGIN`], but at least half of `left`.
fn remaining_for_server(left: Duration) -> Duration {
    left.saturating_sub(REMAINING_TIME_MARGIN).max(left / 2)
}

/// A socket that records its traffic in a [`WireState`] and writes only what that permits.
pub struct ObservedStream {
    stream: TcpStream,
    wire: Rc<WireState>,
}

impl ObservedStream {
    /// Wraps a connected socket.
    pub fn new(stream: TcpStream, wire: Rc<WireState>) -> ObservedStream {
        ObservedStream { stream, wire }
    }

    /// Checks whether bytes of the present request may be written.
    fn check_write(&self) -> std::io::Result<()> {
        if self.wire.may_write(self.stream.as_raw_fd()) {
            Ok(())
        } else {
            Err(std::io::ErrorKind::ConnectionReset.into())
        }
    }

    /// Records that the socket has accepted the first `count` bytes of `buffers`.
    fn record_written(&self, buffers: &[IoSlice<'_>], mut count: usize) {
        for buffer in buffers {
            let length = buffer.len().min(count);
            self.wire.bytes_written(&buffer[..length]);
            count -= length;
        }
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let filled_before = buf.filled().len();
        let result = socket_io::poll_read(&self.stream, cx, buf);
        let count = buf.filled().len() - filled_before;
        if count > 0 {
            self.wire.bytes_received(count);
        }
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.check_write()?;
        let result = socket_io::poll_write(&self.stream, cx, buf);
        if let Poll::Ready(Ok(count)) = result {
            self.wire.bytes_written(&buf[..count]);
        }
        result
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.check_write()?;
        let result = socket_io::poll_write_vectored(&self.stream, cx, buffers);
        if let Poll::Ready(Ok(count)) = result {
            self.record_written(buffers, count);
        }
        result
    }

    /// hyper then writes the parts of a body from where they are, and copies none of them into a
    /// buffer that the connection keeps.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
