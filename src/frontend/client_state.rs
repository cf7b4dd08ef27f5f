//! The state of a client connection, shared by its socket, its service and the accept loop.

use std::cell::Cell;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};
use tulipbridge_core::client_connection::{ClientConnection, ClientEvent, Phase};
use tulipbridge_core::Nanos;

use super::clock::ListenerClock;
use crate::socket_io::has_unread_data;

/// State of a client connection, and the notifications about its changes. All methods take and
/// return values, so no caller keeps a part of it borrowed.
pub struct ClientState {
    progress: Cell<Progress>,
    clock: ListenerClock,
    /// File descriptor of the socket, which stays open for as long as the connection is registered.
    socket: RawFd,
    /// Notified when the listener evicts the connection.
    eviction: Notify,
    /// Notified after each [`ClientEvent`] on the connection.
    state_changed: Notify,
    /// Notified once a request in chunks arrives.
    chunked_request: Notify,
}

/// The connection's state machine, and what it does not record about the current request.
#[derive(Clone, Copy)]
struct Progress {
    connection: ClientConnection,
    /// Status of the response to the current request, where its framing is malformed.
    framing_error: Option<StatusCode>,
    /// Whether no request may be read after the current one.
    is_last_request: bool,
    /// Whether hyper holds response bytes that are not flushed to the kernel yet.
    has_unflushed_response: bool,
}

impl ClientState {
    /// Creates the state of a connection that has just been accepted and has the file descriptor
    /// `socket`.
    pub fn new(socket: RawFd, clock: ListenerClock) -> Rc<ClientState> {
        Rc::new(ClientState {
            progress: Cell::new(Progress {
                connection: ClientConnection::new(clock.now()),
                framing_error: None,
                is_last_request: false,
                has_unflushed_response: false,
            }),
            clock,
            socket,
            eviction: Notify::new(),
            state_changed: Notify::new(),
            chunked_request: Notify::new(),
        })
    }

    /// Returns a copy of the connection's state machine.
    pub fn connection(&self) -> ClientConnection {
        self.progress.get().connection
    }

    /// Passes an event to the state machine.
    pub fn on(&self, event: ClientEvent) {
        let now = self.clock.now();
        self.update(|progress| {
            progress.connection.on(now, event);
            match event {
                // hyper buffers the response until the next flush.
                ClientEvent::Answered => progress.has_unflushed_response = true,
                ClientEvent::Closing => progress.has_unflushed_response = false,
                ClientEvent::HeadStarted
                | ClientEvent::BodyStarted
                | ClientEvent::RequestReceived
                | ClientEvent::ResponseWritten => {}
            }
        });
        self.state_changed.notify_one();
    }

    /// Returns the time by which the current request must be complete: see
    /// [`ClientConnection::request_deadline`].
    pub fn request_deadline(&self) -> Instant {
        self.clock.instant(self.connection().request_deadline())
    }

    /// Returns when the connection was accepted.
    pub fn connected_at(&self) -> Instant {
        self.clock.instant(self.connection().connected_at())
    }

    /// Returns whether the connection is idle but closing it now would lose a request that has
    /// arrived, or truncate a response.
    pub fn is_busy(&self) -> bool {
        self.phase() == Phase::Idle && self.has_buffered_bytes()
    }

    /// Returns whether a request is arriving: see [`ClientConnection::is_arriving`].
    pub fn is_arriving(&self) -> bool {
        self.connection()
            .is_arriving(self.clock.now(), self.has_buffered_bytes())
    }

    /// Returns whether the process must not exit because of this connection: see
    /// [`ClientConnection::has_pending_work`].
    pub fn has_pending_work(&self) -> bool {
        self.connection()
            .has_pending_work(self.clock.now(), self.has_buffered_bytes())
    }

    /// Returns whether a response is under way: see [`ClientConnection::is_delivering`].
    pub fn is_delivering(&self) -> bool {
        let has_unflushed_response = self.progress.get().has_unflushed_response;
        self.connection()
            .is_delivering(self.clock.now(), has_unflushed_response)
    }

    /// Returns whether the connection may be closed now: see [`ClientConnection::may_close_now`].
    pub fn may_close_now(&self) -> bool {
        self.connection()
            .may_close_now(self.clock.now(), self.has_buffered_bytes())
    }

    /// Returns whether a timeout of the connection has passed at `now`: see
    /// [`ClientConnection::has_timed_out`].
    pub(super) fn has_timed_out(&self, now: Nanos, connections_are_scarce: bool) -> bool {
        self.connection()
            .has_timed_out(now, connections_are_scarce, || self.is_busy())
    }

    /// Returns the current phase of the state machine.
    pub(super) fn phase(&self) -> Phase {
        self.connection().phase()
    }

    /// Returns the status of the response to the current request, where its framing is malformed.
    pub fn framing_error(&self) -> Option<StatusCode> {
        self.progress.get().framing_error
    }

    /// Records that the framing of the current request is malformed and is answered with `status`.
    pub(super) fn set_framing_error(&self, status: StatusCode) {
        self.update(|progress| progress.framing_error = Some(status));
    }

    /// Returns whether the connection must close after the response to the current request.
    pub fn is_last_request(&self) -> bool {
        self.progress.get().is_last_request
    }

    /// Records that no request may be read after the current one.
    pub(super) fn set_last_request(&self) {
        self.update(|progress| progress.is_last_request = true);
    }

    /// Records that a request in chunks arrives, the last one on the connection.
    pub(super) fn set_chunked_request(&self) {
        self.chunked_request.notify_one();
    }

    /// Returns once [`ClientState::set_chunked_request`] has been called.
    pub(super) async fn wait_for_chunked_request(&self) {
        self.chunked_request.notified().await;
    }

    /// Records that all response bytes have been flushed to the kernel.
    pub(super) fn set_response_flushed(&self) {
        self.update(|progress| progress.has_unflushed_response = false);
    }

    /// Notifies the task of the connection that it is evicted. The notification is stored until the
    /// task waits for it.
    pub(super) fn evict(&self) {
        self.eviction.notify_one();
    }

    /// Returns once [`ClientState::evict`] has been called.
    pub(super) async fn wait_for_eviction(&self) {
        self.eviction.notified().await;
    }

    /// Returns at the next event on the connection, or after `max_wait`.
    pub(super) async fn wait_for_event(&self, max_wait: Duration) {
        tokio::select! {
            biased;
            () = self.state_changed.notified() => {}
            () = sleep(max_wait) => {}
        }
    }

    /// Returns whether the socket has unread bytes, or response bytes are not flushed to the kernel
    /// yet.
    fn has_buffered_bytes(&self) -> bool {
        self.progress.get().has_unflushed_response || has_unread_data(self.socket)
    }

    /// Changes a copy of the progress and stores it.
    fn update(&self, change: impl FnOnce(&mut Progress)) {
        let mut progress = self.progress.get();
        change(&mut progress);
        self.progress.set(progress);
    }
}
