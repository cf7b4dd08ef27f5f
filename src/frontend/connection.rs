//! Serving client connections: HTTP/1.1 by hyper, and closing without losing the last response.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tulipbridge_core::client_connection::{ClientEvent, Phase};

use super::body::{read_body, BodyLimits, ReceivedBody};
use super::client_state::ClientState;
use super::connection_table::{Admission, Registration};
use super::framed_socket::FramedSocket;
use super::lingering_close::LingeringClose;
use super::listener::Handler;
use super::listener_status::ListenerStatus;
use super::replies::{listener_overloaded, with_connection_close, Reply};
use super::request_framer::{MAX_DISCARDED_BYTES, MAX_HEAD_BYTES};
use super::response_body::{OpenRequest, ResponseBody};
use crate::body_budget::BodyBudget;
use crate::socket_io::disable_nagle;
use crate::telemetry::trace;

/// Time between two checks during a shutdown whether a request is still arriving on a connection.
const ARRIVAL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves the connections of a listener; their tasks share one service.
pub(super) struct ConnectionService<H> {
    handler: H,
    status: ListenerStatus,
    body_budget: Arc<BodyBudget>,
    /// Set once the listener accepts no more connections.
    shutting_down: watch::Sender<bool>,
    lingering_close: LingeringClose,
}

impl<H: Handler> ConnectionService<H> {
    /// Creates a service that has `handler` answer the requests, counts open requests in `status`
    /// and reserves memory for their bodies in `body_budget`.
    pub(super) fn new(
        handler: H,
        status: ListenerStatus,
        body_budget: Arc<BodyBudget>,
    ) -> Rc<ConnectionService<H>> {
        Rc::new(ConnectionService {
            handler,
            status,
            body_budget,
            shutting_down: watch::Sender::new(false),
            lingering_close: LingeringClose::new(),
        })
    }

    /// Returns the handler that answers the requests.
    pub(super) fn handler(&self) -> &H {
        &self.handler
    }

    /// Closes each connection after its current response, or at once where no request is open or
    /// arriving.
    pub(super) fn close_idle_connections(&self) {
        self.shutting_down.send_replace(true);
    }

    /// Serves a connection until it is closed, or is evicted and may be closed.
    pub(super) async fn serve_until_evicted(&self, stream: TcpStream, registration: &Registration) {
        tokio::select! {
            biased;
            () = registration.closed_by_eviction() => {}
            () = self.serve(stream, registration) => {}
        }
    }

    /// Serves a connection until it is closed, and drains it so that the client can still read the
    /// last response.
    async fn serve(&self, stream: TcpStream, registration: &Registration) {
        disable_nagle(&stream);
        let client = registration.client();
        let (read, write) = stream.into_split();
        let read = Rc::new(read);
        let socket = FramedSocket::new(Rc::clone(&read), write, Rc::clone(client));
        tokio::select! {
            biased;
            () = self.serve_http(socket, client, registration.admission()) => {}
            () = self.chunked_request_cancelled(&read, client) => {}
        }
        client.on(ClientEvent::Closing);
        self.lingering_close
            .drain(&read, client.connected_at())
            .await;
    }

    /// Returns once the client of a request in chunks has closed its connection behind the request.
    /// hyper does not read beyond bytes that arrive there.
    async fn chunked_request_cancelled(&self, read: &OwnedReadHalf, client: &ClientState) {
        client.wait_for_chunked_request().await;
        let is_complete = || client.phase() == Phase::Responding;
        self.lingering_close
            .discard_behind_request(read, MAX_DISCARDED_BYTES, is_complete)
            .await;
    }

    /// Serves HTTP/1.1 on a socket until the connection ends, or the listener shuts down.
    async fn serve_http(
        &self,
        socket: FramedSocket,
        client: &Rc<ClientState>,
        admission: Admission,
    ) {
        let service = service_fn(|request| async move {
            let open_request = OpenRequest::new(client, &self.status);
            let reply = match admission {
                Admission::Served => self.answer(request, client).await,
                Admission::Rejected => listener_overloaded(),
            };
            Ok::<_, Infallible>(reply.map(|body| ResponseBody::new(body, open_request)))
        });
        let connection = http1::Builder::new()
            .keep_alive(admission == Admission::Served)
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(socket), service);
        tokio::pin!(connection);
        // The connection is polled first, so that data that has arrived is read before the check
        // for an arriving request.
        tokio::select! {
            biased;
            result = connection.as_mut() => ignore_connection_error(result),
            () = ready_to_shut_down(client, self.shutting_down.subscribe()) => {
                connection.as_mut().graceful_shutdown();
                ignore_connection_error(connection.await);
            }
        }
    }

    /// Receives a request's body completely and returns the handler's answer, or a rejection by the
    /// listener where the memory for bodies is exhausted.
    async fn answer(&self, request: Request<Incoming>, client: &ClientState) -> Reply {
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
        let request = with_body(head, received);
        let reply = self.handler.answer(request, shutting_down).await;
        if rejection.is_some() || client.is_last_request() {
            with_connection_close(reply)
        } else {
            reply
        }
    }

    /// Receives a request body completely.
    ///
    /// # Errors
    /// Returns the status of the response where the request's framing is malformed, or where
    /// [`read_body`] fails.
    async fn receive_body(
        &self,
        body: Incoming,
        client: &ClientState,
    ) -> Result<ReceivedBody, StatusCode> {
        if let Some(status) = client.framing_error() {
            return Err(status);
        }
        let limits = BodyLimits {
            max_bytes: self.handler.max_body_bytes(),
            start_by: client.request_deadline(),
        };
        let received = read_body(body, limits, &self.body_budget).await;
        // Excess data after the request is detected only once the body is complete.
        client.framing_error().map_or(received, Err)
    }
}

/// Ignores an error of a connection, which concerns only its client. The exchange is notified when
/// the futures of the connection's requests are dropped.
fn ignore_connection_error(_: hyper::Result<()>) {}

/// Combines a request's head and body. The reservation of the body's memory is passed on in the
/// request's extensions.
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

/// The event in the decision trace for a request that is rejected because of its body.
#[derive(Serialize)]
#[serde(tag = "e", rename = "not taken")]
struct BodyRejected<'a> {
    status: u16,
    /// The value of the `Content-Length` header, unparsed.
    length: Option<&'a str>,
}

/// Traces a request that is rejected with `status` because of its body, with its `Content-Length`.
fn trace_rejected_body(status: StatusCode, headers: &HeaderMap) {
    if !trace::is_enabled() {
        return;
    }
    let length = headers.get(CONTENT_LENGTH);
    trace::write(BodyRejected {
        status: status.as_u16(),
        length: length.and_then(|value| value.to_str().ok()),
    });
}

/// Returns once the listener shuts down and no request is arriving on this connection. A request
/// that is being answered causes no delay: the connection closes after its response.
async fn ready_to_shut_down(client: &ClientState, mut shutting_down: watch::Receiver<bool>) {
    let begun = shutting_down.wait_for(|shutting_down| *shutting_down).await;
    if begun.is_err() {
        return std::future::pending().await;
    }
    while client.is_arriving() {
        // Data in the socket's receive buffer causes no event, so the state is polled as well.
        client.wait_for_event(ARRIVAL_POLL_INTERVAL).await;
    }
}
