//! An HTTP client for control traffic: discovery, etcd, and the API of an agent.
//!
//! Each call opens its own connection. A response body is read either completely or as a stream of
//! JSON messages.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::header::{CONTENT_TYPE, DATE, HOST};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

use crate::control::json_stream::{Message, MessageReader};
use crate::socket_io::Socket;

/// The maximum size in bytes of a message in a stream, and of a body that is read completely.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection was not established within [`CallTimeouts::connect`].
    #[error("connection not established in time")]
    ConnectTimeout,
    /// The system could not establish the connection.
    #[error(transparent)]
    Connect(std::io::Error),
    /// The request is not valid HTTP.
    #[error(transparent)]
    InvalidRequest(hyper::http::Error),
    /// The connection failed while the request was sent or the response was received.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The response did not begin within [`CallTimeouts::response`].
    #[error("no response in time")]
    ResponseTimeout,
    /// A message of the stream exceeds the limit on its size.
    #[error("message exceeds the size limit")]
    MessageTooLong,
    /// The server ended the stream of messages.
    #[error("message stream ended")]
    StreamEnded,
    /// The complete body did not arrive in time.
    #[error("response body not received in time")]
    BodyTimeout,
    /// The connection broke before the end of the body, or the body exceeds the limit on its size.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Time limits for the steps of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// The limit for establishing the connection.
    pub connect: Duration,
    /// The limit from then until the head of the response arrives.
    pub response: Duration,
}

/// A response whose head has arrived and whose body has not been read yet. Dropping it closes the
/// connection.
pub struct CallResponse {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The time in the `Date` header on the server's clock, if there is a valid one.
    pub date: Option<SystemTime>,
    body: Incoming,
    messages: MessageReader,
    _task: ConnectionTask,
}

/// The task that drives a connection. Dropping this handle aborts the task.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends a request on a new connection and returns the response once its head has arrived. A body
/// that is not empty is sent as JSON.
///
/// # Errors
/// Returns an [`HttpError`] if no response begins.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    timeouts: CallTimeouts,
) -> Result<CallResponse, HttpError> {
    let mut connection = Connection::open(address, timeouts.connect).await?;
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, address.to_string());
    if !body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .map_err(HttpError::InvalidRequest)?;
    let response = timeout(timeouts.response, connection.sender.send_request(request))
        .await
        .map_err(|_| HttpError::ResponseTimeout)??;
    Ok(CallResponse {
        status: response.status(),
        date: date(response.headers()),
        body: response.into_body(),
        messages: MessageReader::default(),
        _task: connection.task,
    })
}

/// Returns the time in the `Date` header, if it is valid.
fn date(headers: &HeaderMap) -> Option<SystemTime> {
    let date = headers.get(DATE)?.to_str().ok()?;
    httpdate::parse_http_date(date).ok()
}

/// An open connection that can send one request.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

impl Connection {
    /// Connects to `address`, with a limit on the TCP connect.
    async fn open(address: SocketAddr, within: Duration) -> Result<Connection, HttpError> {
        let connected = timeout(within, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| HttpError::ConnectTimeout)?
            .map_err(HttpError::Connect)?;
        let (sender, connection) = handshake(TokioIo::new(Socket(stream))).await?;
        let task = spawn_local(async move { ignore_reported_error(connection.await) });
        Ok(Connection {
            sender,
            task: ConnectionTask(task),
        })
    }
}

/// Discards the error of a connection task: it is also reported to the sender of the request and to
/// the reader of the body.
fn ignore_reported_error(_outcome: Result<(), hyper::Error>) {}

impl CallResponse {
    /// Returns the next message of the stream. Waits without a time limit. It is cancel safe: no
    /// message is lost if the future is dropped.
    ///
    /// # Errors
    /// Fails if the stream has ended, the connection broke, or the message exceeds the size limit.
    pub async fn next_message(&mut self) -> Result<Message, HttpError> {
        loop {
            if let Some(message) = self.messages.pop() {
                return Ok(message);
            }
            if self.messages.buffered() > MAX_MESSAGE_BYTES {
                return Err(HttpError::MessageTooLong);
            }
            let frame = self.body.frame().await.ok_or(HttpError::StreamEnded)??;
            if let Some(data) = frame.data_ref() {
                self.messages.push(data);
            }
        }
    }

    /// Reads the complete body.
    ///
    /// # Errors
    /// Fails if the body does not arrive in time, breaks off, or exceeds the size limit.
    pub async fn read_all(mut self, within: Duration) -> Result<Vec<u8>, HttpError> {
        let body = Limited::new(&mut self.body, MAX_MESSAGE_BYTES).collect();
        let body = timeout(within, body)
            .await
            .map_err(|_| HttpError::BodyTimeout)?
            .map_err(HttpError::Body)?;
        Ok(body.to_bytes().to_vec())
    }
}
