//! An HTTP client for control traffic: discovery, etcd, and the API of an agent. Each call opens a
//! connection of its own. Responses may be read in one piece or as a
//! stream of JSON messages.

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

/// The longest message of a stream, and the longest body that is read in one piece, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection did not open in time.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection cannot be opened.
    #[error(transparent)]
    Connect(std::io::Error),
    /// The request is not valid HTTP.
    #[error(transparent)]
    InvalidRequest(hyper::http::Error),
    /// The connection failed while the request or the response was under way.
    #[error(transparent)]
    Connection(#[from] hyper::Error),
    /// The response did not begin in time.
    #[error("no answer in time")]
    ResponseTimeout,
    /// A message of the stream exceeds the limit on its length.
    #[error("a message without end")]
    MessageTooLong,
    /// The stream of messages has ended.
    #[error("it has ended")]
    StreamEnded,
    /// The body did not arrive in time.
    #[error("it is silent")]
    BodyTimeout,
    /// The body broke off, or exceeds the limit on its length.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// How long the steps of a call may take.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Until the connection is open.
    pub connect: Duration,
    /// From then until the response begins.
    pub response: Duration,
}

/// A response whose body is yet to arrive. Dropping it closes the connection.
pub struct CallResponse {
    /// The status of the response.
    pub status: StatusCode,
    /// The time at which the response was made, where it has that.
    pub date: Option<SystemTime>,
    body: Incoming,
    messages: MessageReader,
    _task: ConnectionTask,
}

/// The task that drives a connection. Dropping it stops the task.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes a call. A body that is not empty is sent as JSON.
///
/// # Errors
/// [`HttpError`], where no response begins.
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

/// The time in the `Date` header, where it is valid.
fn date(headers: &HeaderMap) -> Option<SystemTime> {
    let date = headers.get(DATE)?.to_str().ok()?;
    httpdate::parse_http_date(date).ok()
}

/// A connection that is ready for one request.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
}

impl Connection {
    /// Connects to `address`.
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

/// Ignores the error of a connection: the sender of the request and the reader of the body get it
/// too.
fn ignore_reported_error(_outcome: Result<(), hyper::Error>) {}

impl CallResponse {
    /// The next message of the stream, however long it takes. The future may be dropped without
    /// losing a message.
    ///
    /// # Errors
    /// The stream has ended or broken off, or the message is too long.
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

    /// The complete body.
    ///
    /// # Errors
    /// The body does not arrive in time, breaks off, or is too long.
    pub async fn read_all(mut self, within: Duration) -> Result<Vec<u8>, HttpError> {
        let body = Limited::new(&mut self.body, MAX_MESSAGE_BYTES).collect();
        let body = timeout(within, body)
            .await
            .map_err(|_| HttpError::BodyTimeout)?
            .map_err(HttpError::Body)?;
        Ok(body.to_bytes().to_vec())
    }
}
