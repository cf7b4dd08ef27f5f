//! The state machine of a connection to a chunk server, and what is known about the request on it.
//!
//! A request may have been executed if and only if its last byte was written. The state machine
//! records this from the bytes that the socket accepted, and reports it as [`Execution`]. It does
//! no I/O.

use crate::interface::Outcome;
use crate::mutations::{mutated, Mutation};

/// The state of a connection to a chunk server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServerConnection {
    /// The connection is open and has no request.
    #[default]
    Idle,
    /// A request is assigned and its last byte is not written yet.
    Writing {
        /// Whether any byte of the request is written.
        begun: bool,
    },
    /// The request is written and no byte of the response has arrived.
    Awaiting,
    /// Part of the response has arrived.
    Reading,
    /// Bytes arrived that cannot be the response to a request of this connection.
    Desynchronized {
        /// Whether any byte of the current request is written.
        begun: bool,
        /// Whether its last byte is written.
        request_written: bool,
    },
}

/// An event on a connection to a chunk server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionEvent {
    /// A request was assigned to the connection.
    RequestAssigned,
    /// The socket accepted bytes of the request.
    BytesWritten {
        /// Whether the last byte of the request is among them.
        last: bool,
    },
    /// Bytes, or the end of the stream, arrived.
    BytesReceived,
    /// The response is complete.
    ResponseComplete,
}

/// How far a request whose connection broke may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// No byte of the request was written.
    NotStarted,
    /// Some bytes were written but not the last one, so the request was not executed.
    PartiallyWritten,
    /// The last byte was written, so the request may have been executed.
    MayHaveRun,
}

impl Execution {
    /// Returns the outcome of an attempt that ends because its connection broke.
    pub fn outcome(self) -> Outcome {
        match self {
            Execution::NotStarted | Execution::PartiallyWritten => Outcome::NotExecuted,
            Execution::MayHaveRun => Outcome::Reset,
        }
    }
}

impl ServerConnection {
    /// Handles an event. Events that do not apply to the current state are ignored.
    pub fn on(&mut self, event: ConnectionEvent) {
        *self = match event {
            ConnectionEvent::RequestAssigned => self.after_assignment(),
            ConnectionEvent::BytesWritten { last } => self.after_write(last),
            ConnectionEvent::BytesReceived => self.after_receipt(),
            ConnectionEvent::ResponseComplete if *self == ServerConnection::Reading => {
                ServerConnection::Idle
            }
            ConnectionEvent::ResponseComplete => *self,
        };
    }

    fn after_assignment(self) -> ServerConnection {
        match self {
            ServerConnection::Idle if mutated(Mutation::LastByteCountedAtAssignment) => {
                ServerConnection::Awaiting
            }
            ServerConnection::Idle => ServerConnection::Writing { begun: false },
            unchanged => unchanged,
        }
    }

    fn after_write(self, last: bool) -> ServerConnection {
        match self {
            ServerConnection::Writing { .. } if last && !mutated(Mutation::LastByteNotRecorded) => {
                ServerConnection::Awaiting
            }
            ServerConnection::Writing { .. } => ServerConnection::Writing { begun: true },
            ServerConnection::Desynchronized {
                request_written, ..
            } => ServerConnection::Desynchronized {
                begun: true,
                request_written: request_written || last,
            },
            unchanged => unchanged,
        }
    }

    /// Returns the state after bytes arrived. Bytes that arrive before the request is written
    /// completely cannot be its response.
    fn after_receipt(self) -> ServerConnection {
        match self {
            ServerConnection::Idle => ServerConnection::Desynchronized {
                begun: false,
                request_written: false,
            },
            ServerConnection::Writing { begun }
                if !mutated(Mutation::EarlyBytesTakenAsResponse) =>
            {
                ServerConnection::Desynchronized {
                    begun,
                    request_written: false,
                }
            }
            ServerConnection::Awaiting => ServerConnection::Reading,
            unchanged => unchanged,
        }
    }

    /// Returns whether bytes may be written now. `unread_bytes` means that unread bytes, or the end
    /// of the stream, wait on the socket: once the last byte is written, they could not be
    /// distinguished from the response. `withdrawn` means that the request is no longer needed,
    /// which prevents it only while no byte of it is written.
    pub fn may_write(&mut self, unread_bytes: bool, withdrawn: bool) -> bool {
        if unread_bytes && !mutated(Mutation::WritesOverUnreadBytes) {
            self.on(ConnectionEvent::BytesReceived);
        }
        let not_begun = *self == ServerConnection::Writing { begun: false };
        let unwanted = not_begun && withdrawn && !mutated(Mutation::WithdrawnRequestWritten);
        !matches!(self, ServerConnection::Desynchronized { .. }) && !unwanted
    }

    /// Returns how far the current request may have been executed if the connection breaks now.
    pub fn execution(self) -> Execution {
        match self {
            ServerConnection::Idle
            | ServerConnection::Writing { begun: false }
            | ServerConnection::Desynchronized {
                begun: false,
                request_written: false,
            } => Execution::NotStarted,
            ServerConnection::Writing { begun: true }
            | ServerConnection::Desynchronized {
                request_written: false,
                ..
            } => Execution::PartiallyWritten,
            ServerConnection::Awaiting
            | ServerConnection::Reading
            | ServerConnection::Desynchronized {
                request_written: true,
                ..
            } => Execution::MayHaveRun,
        }
    }

    /// Returns whether the bytes that arrived are the response to the current request.
    pub fn is_reading_response(self) -> bool {
        self == ServerConnection::Reading
            || (mutated(Mutation::EarlyBytesTakenAsResponse)
                && matches!(self, ServerConnection::Writing { .. }))
    }
}
