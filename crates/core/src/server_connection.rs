//! A connection to a server, and what is known of the request on it.
//!
//! Whether a request may have been executed depends on one fact: whether its last byte was written. The machine records
//! that from what the socket accepted, and reports it as [`Execution`]. It does no I/O.

use crate::interface::Outcome;
use crate::mutations::{mutated, Mutation};

/// What a connection to a node is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ServerConnection {
    /// Open, with nothing on it.
    #[default]
    Idle,
    /// A request was handed over, its last byte is not written.
    Writing {
        /// Whether any byte is.
        begun: bool,
    },
    /// The last byte is written, no byte of an answer has come.
    Awaiting,
    /// An answer has begun.
    Reading,
    /// Bytes came that are the answer to no request of this connection; `whole` where the last byte of the
    /// present request was written all the same.
    Desynchronized {
        /// Whether any byte of a request is written.
        begun: bool,
        /// Whether its last byte is.
        request_written: bool,
    },
}

/// What happens on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionEvent {
    /// A request was handed over.
    RequestAssigned,
    /// The socket took bytes, `last` where the request's last one is among them.
    BytesWritten {
        /// Whether the request is out whole.
        last: bool,
    },
    /// Bytes came.
    BytesReceived,
    /// The answer has come whole.
    ResponseComplete,
}

/// What is known of a request whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Execution {
    /// Nothing of it was written.
    NotStarted,
    /// Its last byte was not: it never ran.
    PartiallyWritten,
    /// Its last byte was.
    MayHaveRun,
}

impl Execution {
    /// The table of outcomes, for what broke.
    pub fn outcome(self) -> Outcome {
        match self {
            Execution::NotStarted | Execution::PartiallyWritten => Outcome::NotExecuted,
            Execution::MayHaveRun => Outcome::Reset,
        }
    }
}

impl ServerConnection {
    /// Takes what has happened.
    pub fn on(&mut self, event: ConnectionEvent) {
        *self = match (*self, event) {
            (ServerConnection::Idle, ConnectionEvent::RequestAssigned)
                if mutated(Mutation::LastByteAtHandOver) =>
            {
                ServerConnection::Awaiting
            }
            (ServerConnection::Idle, ConnectionEvent::RequestAssigned) => {
                ServerConnection::Writing { begun: false }
            }
            (ServerConnection::Writing { .. }, ConnectionEvent::BytesWritten { last: true })
                if !mutated(Mutation::LastByteNotSeen) =>
            {
                ServerConnection::Awaiting
            }
            (ServerConnection::Writing { .. }, ConnectionEvent::BytesWritten { .. }) => {
                ServerConnection::Writing { begun: true }
            }
            (
                ServerConnection::Desynchronized { request_written: whole, .. },
                ConnectionEvent::BytesWritten { last },
            ) => ServerConnection::Desynchronized { begun: true, request_written: whole || last },
            // What comes before the request is out whole is an answer to something else.
            (ServerConnection::Idle, ConnectionEvent::BytesReceived) => {
                ServerConnection::Desynchronized { begun: false, request_written: false }
            }
            (ServerConnection::Writing { begun }, ConnectionEvent::BytesReceived)
                if !mutated(Mutation::EarlyAnswerTaken) =>
            {
                ServerConnection::Desynchronized { begun, request_written: false }
            }
            (ServerConnection::Awaiting, ConnectionEvent::BytesReceived) => ServerConnection::Reading,
            (ServerConnection::Reading, ConnectionEvent::ResponseComplete) => ServerConnection::Idle,
            (now, _) => now,
        }
    }

    /// Whether bytes may be written, asked just before: `waits` says that bytes, or the end, lie on the socket
    /// already, and `withdrawn` that nobody wants the request any more. Behind the last byte nothing would tell the
    /// waiting bytes from the answer; a request that has begun is not broken off.
    pub fn may_write(&mut self, unread_bytes: bool, withdrawn: bool) -> bool {
        if unread_bytes && !mutated(Mutation::WritesOverWaitingBytes) {
            self.on(ConnectionEvent::BytesReceived);
        }
        let begins = *self == ServerConnection::Writing { begun: false };
        let unwanted = begins && withdrawn && !mutated(Mutation::WithdrawnIsWritten);
        !matches!(self, ServerConnection::Desynchronized { .. }) && !unwanted
    }

    /// What is known of the request on it, were it to break now.
    pub fn execution(self) -> Execution {
        match self {
            ServerConnection::Idle
            | ServerConnection::Writing { begun: false }
            | ServerConnection::Desynchronized { begun: false, request_written: false } => {
                Execution::NotStarted
            }
            ServerConnection::Writing { begun: true }
            | ServerConnection::Desynchronized { request_written: false, .. } => Execution::PartiallyWritten,
            ServerConnection::Awaiting
            | ServerConnection::Reading
            | ServerConnection::Desynchronized { request_written: true, .. } => Execution::MayHaveRun,
        }
    }

    /// Whether what has come is the answer to the request on it.
    pub fn is_reading_response(self) -> bool {
        self == ServerConnection::Reading
            || (mutated(Mutation::EarlyAnswerTaken) && matches!(self, ServerConnection::Writing { .. }))
    }
}
