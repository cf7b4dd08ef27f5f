//! Serving one client connection: HTTP/1.1 by hyper, and closing without losing the last response.

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
use tokio::net::TcpStream;
use tokio::sync::watch;
use tulipbridge_core::client_connection::ClientEvent;

use super::body::{read_body, ReceivedBody};
use super::client_state::ClientState;
use super::connection_table::{Admission, Registration};
use super::framed_socket::FramedSocket;
use super::lingering_close::LingeringClose;
use super::listener::Handler;
use super::listener_status::ListenerStatus;
use super::replies::{listener_overloaded, with_connection_close, Reply};
use super::request_framer::MAX_HEAD_BYTES;
use super::response_body::{OpenRequest, ResponseBody};
use crate::body_budget::BodyBudget;
use crate::socket_io::disable_nagle;
use crate::telemetry::trace;

/// How often a listener that shuts down checks whether a request that was arriving is complete.
const ARRIVAL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves the connections of a listener, whose tasks share it.
pub(super) struct ConnectionService<H> {
    handler: H,
    status: ListenerStatus,
    body_budget: Arc<BodyBudget>,
    /// Set once no more connections are accepted.
    shutting_down: watch::Sender<bool>,
    lingering_close: LingeringClose,
}

impl<H: Handler> ConnectionService<H> {
    /// A service by `handler` that counts the open requests in `status` and takes the memory for
    /// bodies from `body_budget`.
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

    /// The handler of the requests.
    pub(super) fn handler(&self) -> &H {
        &self.handler
    }

    /// Closes each connection after its present response, or at once where it has none.
    pub(super) fn close_idle_connections(&self) {
        self.shutting_down.send_replace(true);
    }

    /// Serves a connection until it is closed, or evicted while nothing is under way on it.
    pub(super) async fn serve_until_evicted(&self, stream: TcpStream, registration: &Registration) {
        tokio::select! {
            biased;
            () = registration.closed_by_eviction() => {}
            () = self.serve(stream, registration) => {}
        }
    }

    /// Serves a connection until it is closed.
    async fn serve(&self, stream: TcpStream, registration: &Registration) {
        disable_nagle(&stream);
        let client = registration.client();
        let (read, write) = stream.into_split();
        let read = Rc::new(read);
        let socket = FramedSocket::new(Rc::clone(&read), write, Rc::clone(client));
        self.serve_http(socket, client, registration.admission())
            .await;
        client.on(ClientEvent::Closing);
        self.lingering_close
            .drain(&read, client.connected_at())
            .await;
    }

    /// Runs HTTP/1.1 on a socket until the client closes it, or the listener shuts down.
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
        // The connection is polled first, so that data that has arrived is read before the state is
        // checked.
        tokio::select! {
            biased;
            result = connection.as_mut() => ignore_connection_error(result),
            () = ready_to_shut_down(client, self.shutting_down.subscribe()) => {
                connection.as_mut().graceful_shutdown();
                ignore_connection_error(connection.await);
            }
        }
    }

    /// Receives a request completely and has the handler answer it.
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
    /// The status to answer: that of a framing error, or of [`read_body`].
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

/// An error of a connection concerns its client alone; the exchange is notified as the requests on
/// the connection are dropped.
fn ignore_connection_error(_: hyper::Result<()>) {}

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

/// The event of the decision trace where a request is rejected because of its body.
#[derive(Serialize)]
#[serde(tag = "e", rename = "not taken")]
struct BodyRejected<'a> {
    status: u16,
    /// The length that the headers announce, as they write it.
    length: Option<&'a str>,
}

/// Traces a request that is rejected with `status` because of its body, with the length that its
/// headers announce.
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
/// that is being answered does not delay it: the connection then closes after that response.
async fn ready_to_shut_down(client: &ClientState, mut shutting_down: watch::Receiver<bool>) {
    let begun = shutting_down.wait_for(|shutting_down| *shutting_down).await;
    if begun.is_err() {
        return std::future::pending().await;
    }
    while client.is_arriving() {
        // Data in the socket's buffer causes no event, so the state is polled as well.
        client.wait_for_event(ARRIVAL_POLL_INTERVAL).await;
    }
}
