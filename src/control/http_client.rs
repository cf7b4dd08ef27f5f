//! The program as a client of its helpers (discovery, etcd, an agent): one call on a connection of its own, and
//! answers that come as messages.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::config::settings::Res;
use crate::control::json_stream::{Message, MessageReader};

/// The longest message or whole answer that is taken in.
const MAX_MESSAGE: usize = 8 << 20;

/// An answer that is coming. Dropping it closes the connection.
pub struct CallResponse {
    /// Its status.
    pub status: StatusCode,
    body: Incoming,
    messages: MessageReader,
    _task: ConnectionTask,
}

/// The task that drives a connection, for as long as it is of use.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes a call. `dial` bounds the connection's coming up, `wait` the time until the answer begins.
///
/// # Errors
/// A plain sentence on what went wrong.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: String,
    dial: Duration,
    wait: Duration,
) -> Res<CallResponse> {
    let dialled = timeout(dial, TcpStream::connect(address)).await;
    let stream = dialled.map_err(|_| "no connection in time")?.map_err(|e| e.to_string())?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let task = ConnectionTask(tokio::task::spawn_local(async move {
        // How it ends shows in the answer.
        let _ = connection.await;
    }));
    let mut request = Request::builder().method(method).uri(path).header(HOST, address.to_string());
    if !body.is_empty() {
        request = request.header(CONTENT_TYPE, "application/json");
    }
    let request = request.body(Full::new(Bytes::from(body)));
    let sent = sender.send_request(request.map_err(|e| e.to_string())?);
    let answer = timeout(wait, sent).await.map_err(|_| "no answer in time")?.map_err(|e| e.to_string())?;
    let (status, body) = (answer.status(), answer.into_body());
    Ok(CallResponse { status, body, messages: MessageReader::default(), _task: task })
}

impl CallResponse {
    /// The next message, however long it takes. Dropping the future loses nothing of it.
    ///
    /// # Errors
    /// Where it is broken or without end, and where the answer has ended.
    pub async fn next_message(&mut self) -> Res<Message> {
        loop {
            if let Some(message) = self.messages.pop() {
                return Ok(message);
            }
            if self.messages.buffered() > MAX_MESSAGE {
                return Err("a message without end".to_owned());
            }
            let frame = self.body.frame().await.ok_or("it has ended")?.map_err(|e| e.to_string())?;
            self.messages.push(frame.data_ref().map_or(&[][..], |d| d));
        }
    }

    /// All of it.
    ///
    /// # Errors
    /// Where it does not come whole, in time and within bounds.
    pub async fn read_all(mut self, wait: Duration) -> Res<Vec<u8>> {
        let whole = timeout(wait, Limited::new(&mut self.body, MAX_MESSAGE).collect()).await;
        Ok(whole.map_err(|_| "it is silent")?.map_err(|e| e.to_string())?.to_bytes().to_vec())
    }
}
