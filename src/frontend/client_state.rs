//! The state of one client connection, shared between the framed socket and the accept loop.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::sync::Notify;
use tokio::time::Instant;
use tulipbridge_core::client_connection::{ClientConnection, ClientEvent, Phase};
use tulipbridge_core::Nanos;

use crate::socket_io::has_unread_data;

/// State of one client connection: its state machine, framing errors and notifications.
pub struct ClientState {
    connection: Cell<ClientConnection>,
    /// Origin of the listener's clock; the state machine counts nanoseconds from here.
    epoch: Instant,
    framing_error: Cell<Option<StatusCode>>,
    /// No further request may be read after the present one.
    last_request: Cell<bool>,
    /// Response bytes have been handed to hyper that are not flushed to the kernel yet.
    response_unflushed: Cell<bool>,
    /// File descriptor of the socket, which stays open as long as this connection is registered.
    socket: i32,
    /// Notified when the listener wants the connection closed.
    pub evicted: Notify,
    /// Notified after each event on the connection.
    pub changed: Notify,
}

impl ClientState {
    /// State of a connection that has just been accepted on the file descriptor `socket`. Times are
    /// counted from `epoch`, the start of the listener.
    pub fn new(socket: i32, epoch: Instant) -> Rc<ClientState> {
        Rc::new(ClientState {
            connection: Cell::new(ClientConnection::new(epoch.elapsed().as_nanos() as Nanos)),
            epoch,
            framing_error: Cell::new(None),
            last_request: Cell::new(false),
            response_unflushed: Cell::new(false),
            socket,
            evicted: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// A copy of the connection's state machine.
    pub fn connection(&self) -> ClientConnection {
        self.connection.get()
    }

    /// Feeds an event to the state machine.
    pub fn on(&self, event: ClientEvent) {
        let mut connection = self.connection.get();
        connection.on(self.now(), event);
        self.connection.set(connection);
        match event {
            // The response is only with hyper until the next flush.
            ClientEvent::Answered => self.response_unflushed.set(true),
            ClientEvent::Closing => self.response_unflushed.set(false),
            _ => {}
        }
        self.changed.notify_one();
    }

    /// By when the present request must have arrived completely.
    pub fn request_deadline(&self) -> Instant {
        self.instant(self.connection().request_deadline())
    }

    /// When the connection was accepted.
    pub fn connected_at(&self) -> Instant {
        self.instant(self.connection().connected_at())
    }

    /// Whether closing the idle connection now would lose a request that has arrived, or truncate a
    /// response.
    pub fn is_busy(&self) -> bool {
        self.phase() == Phase::Idle && self.has_buffered_bytes()
    }

    /// Whether a request is arriving: see [`ClientConnection::is_arriving`].
    pub fn is_arriving(&self) -> bool {
        self.connection()
            .is_arriving(self.now(), self.has_buffered_bytes())
    }

    /// Whether the client is still owed a response: see [`ClientConnection::has_pending_work`].
    pub fn has_pending_work(&self) -> bool {
        self.connection()
            .has_pending_work(self.now(), self.has_buffered_bytes())
    }

    /// Whether the connection may be closed at this moment: see
    /// [`ClientConnection::may_close_now`].
    pub fn may_close_now(&self) -> bool {
        self.connection()
            .may_close_now(self.now(), self.has_buffered_bytes())
    }

    /// Phase of the state machine.
    pub(super) fn phase(&self) -> Phase {
        self.connection().phase()
    }

    /// The status that a malformed framing of the present request is answered with.
    pub fn framing_error(&self) -> Option<StatusCode> {
        self.framing_error.get()
    }

    /// Records that the framing of the present request is malformed.
    pub(super) fn set_framing_error(&self, status: StatusCode) {
        self.framing_error.set(Some(status));
    }

    /// Whether the connection must close after the response to the present request.
    pub fn is_last_request(&self) -> bool {
        self.last_request.get()
    }

    /// Records that no request may be read after the present one.
    pub(super) fn set_last_request(&self) {
        self.last_request.set(true);
    }

    /// Records that all response bytes have been passed to the kernel.
    pub(super) fn set_response_flushed(&self) {
        self.response_unflushed.set(false);
    }

    /// Whether unread bytes wait on the socket, or response bytes are not with the kernel yet.
    fn has_buffered_bytes(&self) -> bool {
        self.response_unflushed.get() || has_unread_data(self.socket)
    }

    fn now(&self) -> Nanos {
        self.epoch.elapsed().as_nanos() as Nanos
    }

    fn instant(&self, time: Nanos) -> Instant {
        self.epoch + Duration::from_nanos(time.max(0) as u64)
    }
}
