//! The state of one client connection, shared between its socket, its service and the accept loop.

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

/// State of one client connection, with the notifications about it. All methods take and return
/// values, so no caller keeps a part of it borrowed.
pub struct ClientState {
    progress: Cell<Progress>,
    clock: ListenerClock,
    /// File descriptor of the socket, which stays open as long as this connection is registered.
    socket: RawFd,
    /// Notified when the listener wants the connection closed.
    eviction: Notify,
    /// Notified after each event on the connection.
    state_changed: Notify,
}

/// How far the requests on a connection have come.
#[derive(Clone, Copy)]
struct Progress {
    connection: ClientConnection,
    /// The status that answers the present request, where its framing is malformed.
    framing_error: Option<StatusCode>,
    /// No further request may be read after the present one.
    is_last_request: bool,
    /// Response bytes have been handed to hyper that are not flushed to the kernel yet.
    has_unflushed_response: bool,
}

impl ClientState {
    /// State of a connection that has just been accepted on the file descriptor `socket`.
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
        })
    }

    /// A copy of the connection's state machine.
    pub fn connection(&self) -> ClientConnection {
        self.progress.get().connection
    }

    /// Feeds an event to the state machine.
    pub fn on(&self, event: ClientEvent) {
        let now = self.clock.now();
        self.update(|progress| {
            progress.connection.on(now, event);
            match event {
                // The response is only with hyper until the next flush.
                ClientEvent::Answered => progress.has_unflushed_response = true,
                ClientEvent::Closing => progress.has_unflushed_response = false,
                ClientEvent::HeadStarted
                | ClientEvent::BodyStarted
                | ClientEvent::RequestReceived => {}
            }
        });
        self.state_changed.notify_one();
    }

    /// By when the present request must have arrived completely.
    pub fn request_deadline(&self) -> Instant {
        self.clock.instant(self.connection().request_deadline())
    }

    /// When the connection was accepted.
    pub fn connected_at(&self) -> Instant {
        self.clock.instant(self.connection().connected_at())
    }

    /// Whether closing the idle connection now would lose a request that has arrived, or truncate a
    /// response.
    pub fn is_busy(&self) -> bool {
        self.phase() == Phase::Idle && self.has_buffered_bytes()
    }

    /// Whether a request is arriving: see [`ClientConnection::is_arriving`].
    pub fn is_arriving(&self) -> bool {
        self.connection()
            .is_arriving(self.clock.now(), self.has_buffered_bytes())
    }

    /// Whether a response is outstanding: see [`ClientConnection::has_pending_work`].
    pub fn has_pending_work(&self) -> bool {
        self.connection()
            .has_pending_work(self.clock.now(), self.has_buffered_bytes())
    }

    /// Whether the connection may be closed at this moment: see
    /// [`ClientConnection::may_close_now`].
    pub fn may_close_now(&self) -> bool {
        self.connection()
            .may_close_now(self.clock.now(), self.has_buffered_bytes())
    }

    /// Whether the connection is to be closed for a timeout at `now`: see
    /// [`ClientConnection::has_timed_out`].
    pub(super) fn has_timed_out(&self, now: Nanos, connections_are_scarce: bool) -> bool {
        self.connection()
            .has_timed_out(now, connections_are_scarce, || self.is_busy())
    }

    /// Phase of the state machine.
    pub(super) fn phase(&self) -> Phase {
        self.connection().phase()
    }

    /// The status that a malformed framing of the present request is answered with.
    pub fn framing_error(&self) -> Option<StatusCode> {
        self.progress.get().framing_error
    }

    /// Records that the framing of the present request is malformed.
    pub(super) fn set_framing_error(&self, status: StatusCode) {
        self.update(|progress| progress.framing_error = Some(status));
    }

    /// Whether the connection must close after the response to the present request.
    pub fn is_last_request(&self) -> bool {
        self.progress.get().is_last_request
    }

    /// Records that no request may be read after the present one.
    pub(super) fn set_last_request(&self) {
        self.update(|progress| progress.is_last_request = true);
    }

    /// Records that all response bytes have been passed to the kernel.
    pub(super) fn set_response_flushed(&self) {
        self.update(|progress| progress.has_unflushed_response = false);
    }

    /// Asks the task of the connection to close it. The request is kept until the task waits for
    /// it.
    pub(super) fn evict(&self) {
        self.eviction.notify_one();
    }

    /// Returns once the connection is evicted.
    pub(super) async fn wait_for_eviction(&self) {
        self.eviction.notified().await;
    }

    /// Returns at the next event on the connection, and after `max_wait` at the latest.
    pub(super) async fn wait_for_event(&self, max_wait: Duration) {
        tokio::select! {
            biased;
            () = self.state_changed.notified() => {}
            () = sleep(max_wait) => {}
        }
    }

    /// Whether unread bytes wait on the socket, or response bytes are not with the kernel yet.
    fn has_buffered_bytes(&self) -> bool {
        self.progress.get().has_unflushed_response || has_unread_data(self.socket)
    }

    /// Changes the progress, which is a copy outside of this call.
    fn update(&self, change: impl FnOnce(&mut Progress)) {
        let mut progress = self.progress.get();
        change(&mut progress);
        self.progress.set(progress);
    }
}
