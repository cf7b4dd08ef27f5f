//! Serving one client connection: HTTP/1.1 by hyper, and closing without losing the last response.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout, timeout_at, Instant};
use tulipbridge_core::client_connection::ClientEvent;

use super::body::{read_body, ReceivedBody};
use super::client_state::ClientState;
use super::framed_socket::{FramedSocket, MAX_HEAD_BYTES};
use super::listener::{Handler, Listener};
use super::replies::{closing, listener_overloaded, Reply};
use super::response_body::{OpenRequest, ResponseBody};
use crate::telemetry::trace;

/// How long after accepting a connection that this side has closed is still drained, at the most.
/// Closing a socket with unread data resets the connection, and the client could lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(4);
/// Draining ends when no data arrives for this long.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a listener that shuts down checks whether a request that was arriving is complete.
const ARRIVAL_POLL: Duration = Duration::from_millis(5);

impl<H: Handler> Listener<H> {
    /// Serves a connection until it is closed. With `full`, every request on it is rejected.
    pub(super) async fn serve_connection(
        self: &Rc<Self>,
        stream: TcpStream,
        client: &Rc<ClientState>,
        full: bool,
    ) {
        // Nagle's algorithm would delay a response that takes two writes; a failure here costs only
        // time.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let read = Rc::new(RefCell::new(read));
        let socket = FramedSocket::new(Rc::clone(&read), write, Rc::clone(client));
        self.serve_http(socket, client, full).await;
        client.on(ClientEvent::Closing);
        let deadline =
            (client.connected_at() + LINGER_TIMEOUT).max(Instant::now() + LINGER_IDLE_TIMEOUT);
        // hyper has dropped its handle, so this one is the last.
        if let Ok(read) = Rc::try_unwrap(read) {
            // Whether the client closes or the deadline passes, the connection ends.
            let _ = timeout_at(deadline, self.drain(read.into_inner())).await;
        }
    }

    /// Runs HTTP/1.1 on a socket until the client closes it, or the listener shuts down.
    async fn serve_http(&self, socket: FramedSocket, client: &Rc<ClientState>, full: bool) {
        let service = service_fn(|request| async move {
            let open = OpenRequest::new(client, &self.active_requests);
            let reply = self.answer(request, client, full).await;
            Ok::<_, Infallible>(reply.map(|body| ResponseBody::new(body, open)))
        });
        let shutting_down = self.shutting_down.subscribe();
        let connection = http1::Builder::new()
            .keep_alive(!full)
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(socket), service);
        tokio::pin!(connection);
        // Errors of a client's connection concern that client alone; the exchange learns of them as
        // its requests are dropped. The connection is polled first, so that data that has arrived
        // is read before the state is checked.
        tokio::select! {
            biased;
            _ = connection.as_mut() => {}
            () = ready_to_shut_down(client, shutting_down) => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    }

    /// Reads and discards data until the client closes the connection or stops sending.
    async fn drain(&self, read: OwnedReadHalf) {
        while let Ok(Ok(())) = timeout(LINGER_IDLE_TIMEOUT, read.readable()).await {
            match read.try_read(&mut self.discard_buffer.borrow_mut()) {
                Ok(0) => return,
                Ok(_) => {}
                Err(why) if why.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
            tokio::task::yield_now().await;
        }
    }

    /// Receives a request completely and has the handler answer it.
    async fn answer(
        &self,
        request: Request<Incoming>,
        client: &Rc<ClientState>,
        full: bool,
    ) -> Reply {
        if full {
            return listener_overloaded();
        }
        let (head, body) = request.into_parts();
        let received = self.receive_body(body, client).await;
        if let Err(status) = &received {
            trace_rejected_body(*status, &head.headers);
        }
        client.on(ClientEvent::RequestReceived);
        let shutting_down = *self.shutting_down.borrow();
        let rejection = received.as_ref().err().copied();
        if rejection == Some(StatusCode::SERVICE_UNAVAILABLE) {
            return listener_overloaded();
        }
        let reply = self
            .handler
            .answer(with_body(head, received), shutting_down)
            .await;
        if rejection.is_some() || client.is_last_request() {
            closing(reply)
        } else {
            reply
        }
    }

    async fn receive_body(
        &self,
        body: Incoming,
        client: &ClientState,
    ) -> Result<ReceivedBody, StatusCode> {
        if let Some(status) = client.framing_error() {
            return Err(status);
        }
        let received = read_body(body, client.request_deadline(), &self.body_budget).await;
        // Whether data follows the request is only known once it is complete.
        client.framing_error().map_or(received, Err)
    }
}

/// A request with its body; the reservation of the body's memory travels in the extensions.
fn with_body(
    mut head: hyper::http::request::Parts,
    received: Result<ReceivedBody, StatusCode>,
) -> Request<Result<Bytes, StatusCode>> {
    let body = received.map(|received| {
        head.extensions.insert(received.reservation);
        received.bytes
    });
    Request::from_parts(head, body)
}

fn trace_rejected_body(status: StatusCode, headers: &HeaderMap) {
    if !trace::is_enabled() {
        return;
    }
    let length = headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    trace::write(
        simd_json::json!({ "e": "not taken", "status": status.as_u16(), "length": length }),
    );
}

/// Returns once the listener shuts down and no request is arriving on this connection. A request
/// that is being answered does not delay it: the connection then closes after that response.
async fn ready_to_shut_down(client: &ClientState, mut shutting_down: watch::Receiver<bool>) {
    if shutting_down
        .wait_for(|shutting_down| *shutting_down)
        .await
        .is_err()
    {
        return std::future::pending().await;
    }
    while client.is_arriving() {
        // Data in the socket's buffer causes no notification, so the state is polled as well.
        let _ = timeout(ARRIVAL_POLL, client.changed.notified()).await;
    }
}
