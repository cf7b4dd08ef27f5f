//! A connection from the front to a server, with the machine that drives it.

use std::hash::{Hash, Hasher};

use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::{Nanos, NodeId};

use super::attempt::AttemptKey;

/// Number of a connection to a server.
pub(super) type ConnectionId = u32;

/// How much of a request has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Written {
    /// No byte.
    Nothing,
    /// Some bytes, but not the last one.
    Part,
    /// All bytes.
    All,
}

/// A connection, as the front and the server know it together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Connection {
    machine: ServerConnection,
    node: NodeId,
    /// Epoch of the node's address that the connection goes to.
    address_epoch: u32,
    /// How much of the present request has really been written.
    written: Written,
    /// The server has closed it.
    closed_by_server: bool,
    /// Bytes wait on it that are no response to any request.
    unsolicited_bytes: bool,
    established: bool,
    /// When it was dialed, or became idle.
    since: Nanos,
    /// The attempt that uses it.
    attempt: Option<AttemptKey>,
}

impl Connection {
    /// A connection that an attempt dials at `now`.
    pub(super) fn dialed(
        node: NodeId,
        address_epoch: u32,
        now: Nanos,
        attempt: AttemptKey,
    ) -> Connection {
        Connection {
            machine: ServerConnection::Idle,
            node,
            address_epoch,
            written: Written::Nothing,
            closed_by_server: false,
            unsolicited_bytes: false,
            established: false,
            since: now,
            attempt: Some(attempt),
        }
    }

    /// The node that it goes to.
    pub(super) fn node(&self) -> NodeId {
        self.node
    }

    /// Epoch of the node's address that it goes to.
    pub(super) fn address_epoch(&self) -> u32 {
        self.address_epoch
    }

    /// How much of the present request has really been written.
    pub(super) fn written(&self) -> Written {
        self.written
    }

    /// Whether the server has closed it.
    pub(super) fn is_closed_by_server(&self) -> bool {
        self.closed_by_server
    }

    /// Whether bytes wait on it that are no response to any request.
    pub(super) fn has_unsolicited_bytes(&self) -> bool {
        self.unsolicited_bytes
    }

    /// Whether it is established, so that a request can be written.
    pub(super) fn is_established(&self) -> bool {
        self.established
    }

    /// When it was dialed, or became idle.
    pub(super) fn since(&self) -> Nanos {
        self.since
    }

    /// The attempt that uses it.
    pub(super) fn attempt(&self) -> Option<AttemptKey> {
        self.attempt
    }

    /// Whether the front considers it idle.
    pub(super) fn is_idle(&self) -> bool {
        self.machine == ServerConnection::Idle
    }

    /// Whether the pool may hand it out again.
    pub(super) fn is_reusable(&self) -> bool {
        self.is_idle() && !self.closed_by_server && !self.unsolicited_bytes
    }

    /// Whether the front takes what it reads for the response to the present request.
    pub(super) fn is_reading_response(&self) -> bool {
        self.machine.is_reading_response()
    }

    /// Whether the present request may have run, as far as the front knows.
    pub(super) fn execution(&self) -> Execution {
        self.machine.execution()
    }

    /// It is established.
    pub(super) fn establish(&mut self) {
        self.established = true;
    }

    /// The server closes it.
    pub(super) fn close_by_server(&mut self) {
        self.closed_by_server = true;
    }

    /// Bytes arrive that are no response to any request.
    pub(super) fn unsolicited_bytes_arrive(&mut self) {
        self.unsolicited_bytes = true;
    }

    /// The front reads the bytes that are no response to any request.
    pub(super) fn read_unsolicited_bytes(&mut self) {
        self.unsolicited_bytes = false;
        self.bytes_received();
    }

    /// The front reads bytes.
    pub(super) fn bytes_received(&mut self) {
        self.machine.on(ConnectionEvent::BytesReceived);
    }

    /// The request of an attempt is handed over to it.
    pub(super) fn assign(&mut self, attempt: AttemptKey) {
        self.machine.on(ConnectionEvent::RequestAssigned);
        self.written = Written::Nothing;
        self.attempt = Some(attempt);
    }

    /// Whether the front may write to it, after it has looked at the socket.
    pub(super) fn may_write(&mut self, request_withdrawn: bool) -> bool {
        self.machine
            .may_write(self.unsolicited_bytes, request_withdrawn)
    }

    /// A part of the present request is written, or all the rest.
    pub(super) fn write(&mut self, written: Written) {
        self.written = written;
        let last = written == Written::All;
        self.machine.on(ConnectionEvent::BytesWritten { last });
    }

    /// The response is complete: no attempt uses the connection any more.
    pub(super) fn complete_response(&mut self, now: Nanos) {
        self.machine.on(ConnectionEvent::ResponseComplete);
        self.attempt = None;
        self.since = now;
    }

    /// Hashes everything that what can happen next depends on, with points in time relative to
    /// `now`.
    pub(super) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        let in_use = self.established && self.attempt.is_some();
        let idle_for = if in_use { 0 } else { now - self.since };
        (self.machine, self.node, self.address_epoch).hash(hasher);
        (self.written, self.closed_by_server, self.unsolicited_bytes).hash(hasher);
        (self.established, idle_for, self.attempt).hash(hasher);
    }
}
