//! A connection to a node, an attempt that goes out on one, and the pool of those that are quiet.
//!
//! Whether a request may have run hangs on one fact, whether its last byte was written: [`Link`] keeps it, for
//! each connection, from what the socket took. [`Attempt`] says what is done next, and how it ended. [`Pool`]
//! says which connection is used again and which is closed. None of them does I/O.

use std::collections::BTreeMap;

use crate::interface::{Nanos, NodeId, Outcome};
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

/// An attempt: found or dialled a connection, sent, and ended in one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// It looks for a quiet connection.
    AcquiringConnection,
    /// It is on one that was used before.
    OnPooledConnection,
    /// It waits for a new one.
    Dialing,
    /// It is on a new one.
    OnNewConnection,
    /// It has ended.
    Finished(Outcome),
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// The pool has a quiet connection.
    PooledConnectionFound,
    /// It has none; a new one may be opened, or may not.
    NoPooledConnection {
        /// Whether there is room for a new one.
        may_open: bool,
    },
    /// A connection has come up.
    Connected,
    /// None came up.
    ConnectFailed,
    /// The connection broke, or what came is no answer.
    ConnectionBroke(Execution),
    /// An answer has come whole, with this outcome by the table.
    Answered(Outcome),
    /// It was withdrawn, with this outcome, and nothing of it has been written: nothing is.
    Withdrawn(Outcome),
}

/// What an attempt does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptStep {
    /// Ask the pool for a quiet connection.
    AcquireConnection,
    /// Open a new one.
    Dial,
    /// Hand the request over to the connection at hand.
    Send,
    /// Nothing more.
    End(Outcome),
}

impl Attempt {
    /// Takes what has happened and says what is to be done.
    pub fn on(&mut self, event: AttemptEvent) -> AttemptStep {
        let next = match (*self, event) {
            (Attempt::AcquiringConnection, AttemptEvent::PooledConnectionFound) => AttemptStep::Send,
            (Attempt::AcquiringConnection, AttemptEvent::NoPooledConnection { may_open: true }) => {
                AttemptStep::Dial
            }
            (Attempt::AcquiringConnection, AttemptEvent::NoPooledConnection { may_open: false }) => {
                AttemptStep::End(Outcome::NotSent)
            }
            (Attempt::Dialing, AttemptEvent::Connected) => AttemptStep::Send,
            (Attempt::Dialing, AttemptEvent::ConnectFailed) if mutated(Mutation::DialFailureInDoubt) => {
                AttemptStep::End(Outcome::Reset)
            }
            (Attempt::Dialing, AttemptEvent::ConnectFailed) => AttemptStep::End(Outcome::NotExecuted),
            // A pooled connection may prove closed before anything of the request is taken from us; that is no
            // attempt, and the next connection gets it. One that broke in mid-request is never gone round.
            (Attempt::OnPooledConnection, AttemptEvent::ConnectionBroke(Execution::NotStarted)) => {
                AttemptStep::AcquireConnection
            }
            (Attempt::OnPooledConnection, AttemptEvent::ConnectionBroke(Execution::PartiallyWritten))
                if mutated(Mutation::PartlySentGoesRound) =>
            {
                AttemptStep::AcquireConnection
            }
            (Attempt::OnPooledConnection, AttemptEvent::ConnectionBroke(_))
                if mutated(Mutation::ResentSilently) =>
            {
                AttemptStep::AcquireConnection
            }
            (
                Attempt::OnPooledConnection | Attempt::OnNewConnection,
                AttemptEvent::ConnectionBroke(doubt),
            ) => {
                let refused = mutated(Mutation::ResetTakenForRefusal);
                AttemptStep::End(if refused { Outcome::NotExecuted } else { doubt.outcome() })
            }
            (Attempt::OnPooledConnection | Attempt::OnNewConnection, AttemptEvent::Answered(outcome)) => {
                AttemptStep::End(outcome)
            }
            // What does not fit is a fault of the shell's; in doubt it may have run.
            (Attempt::Finished(outcome), _) => AttemptStep::End(outcome),
            (_, AttemptEvent::Withdrawn(outcome)) => AttemptStep::End(outcome),
            _ => AttemptStep::End(Outcome::Reset),
        };
        *self = match next {
            AttemptStep::AcquireConnection => Attempt::AcquiringConnection,
            AttemptStep::Dial => Attempt::Dialing,
            AttemptStep::Send if *self == Attempt::Dialing => Attempt::OnNewConnection,
            AttemptStep::Send => Attempt::OnPooledConnection,
            AttemptStep::End(outcome) => Attempt::Finished(outcome),
        };
        next
    }
}

/// The quiet connections to each node. `C` is a handle on a connection; dropping one closes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionPool<C> {
    idle_timeout: Nanos,
    max_connections: usize,
    nodes: BTreeMap<NodeId, NodeConnections<C>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NodeConnections<C> {
    /// Goes up where the node moves: connections to where it was are of no use.
    address_epoch: u32,
    /// The latest used last, with the moment it fell quiet.
    idle: Vec<(C, Nanos)>,
}

/// Whether a new connection may be opened.
#[derive(Debug)]
pub enum Capacity<C> {
    /// It may.
    Available,
    /// It may once this one, the longest idle, is closed.
    AfterClosing(C),
    /// All are in use.
    Exhausted,
}

impl<C> ConnectionPool<C> {
    /// Of at most so many connections, quiet or not, each used again within `idle` of its last answer.
    pub fn new(idle: Nanos, most: usize) -> ConnectionPool<C> {
        ConnectionPool { idle_timeout: idle, max_connections: most, nodes: BTreeMap::new() }
    }

    /// A node is there.
    pub fn add(&mut self, node: NodeId) {
        self.nodes.entry(node).or_insert(NodeConnections { address_epoch: 0, idle: Vec::new() });
    }

    /// A node is at another address now. Gives the connections that are of no use any more.
    pub fn address_changed(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        let Some(member) = self.nodes.get_mut(&node) else { return Vec::new() };
        member.address_epoch += 1;
        std::mem::take(&mut member.idle)
    }

    /// A node is gone. Gives its connections.
    pub fn remove(&mut self, node: NodeId) -> Vec<(C, Nanos)> {
        if mutated(Mutation::ForgottenNodeKeepsConnections) {
            return Vec::new();
        }
        self.nodes.remove(&node).map(|m| m.idle).unwrap_or_default()
    }

    /// Which of its places a node is at; none where it is not known.
    pub fn address_epoch(&self, node: NodeId) -> Option<u32> {
        self.nodes.get(&node).map(|m| m.address_epoch)
    }

    /// A connection to use again, and those found to be of no use on the way. `quiet` looks at the socket.
    pub fn take(&mut self, node: NodeId, now: Nanos, quiet: impl Fn(&C) -> bool) -> (Option<C>, Vec<C>) {
        let mut useless = Vec::new();
        let idle = self.idle_timeout;
        let Some(member) = self.nodes.get_mut(&node) else { return (None, useless) };
        while let Some((conn, since)) = member.idle.pop() {
            let fresh = now - since < idle || mutated(Mutation::IdleForTooLong);
            if fresh && quiet(&conn) {
                return (Some(conn), useless);
            }
            useless.push(conn);
        }
        (None, useless)
    }

    /// Keeps a connection that has carried an answer, opened while its node was at `place`; gives it back where
    /// it is of no use.
    pub fn release(&mut self, node: NodeId, place: u32, conn: C, now: Nanos, quiet: bool) -> Option<C> {
        let stays = |m: &&mut NodeConnections<C>| {
            m.address_epoch == place || mutated(Mutation::KeptForAnotherAddress)
        };
        match self.nodes.get_mut(&node).filter(stays).filter(|_| quiet) {
            Some(member) => {
                member.idle.push((conn, now));
                None
            }
            None => Some(conn),
        }
    }

    /// Whether one more may be opened where `open` are, in use or quiet.
    pub fn capacity(&mut self, open: usize) -> Capacity<C> {
        if open < self.max_connections || mutated(Mutation::NoCapOnConnections) {
            return Capacity::Available;
        }
        let quiet = self.nodes.values_mut().filter(|m| !m.idle.is_empty());
        match quiet.min_by_key(|m| m.idle[0].1) {
            Some(member) => Capacity::AfterClosing(member.idle.remove(0).0),
            None => Capacity::Exhausted,
        }
    }

    /// Gives the connections that have stood idle for long, or are closed by the node.
    pub fn sweep(&mut self, now: Nanos, open: impl Fn(&C) -> bool) -> Vec<C> {
        let mut over = Vec::new();
        for member in self.nodes.values_mut() {
            let (stay, go) = std::mem::take(&mut member.idle)
                .into_iter()
                .partition(|(conn, since)| open(conn) && now - since < self.idle_timeout);
            member.idle = stay;
            let go: Vec<(C, Nanos)> = go;
            over.extend(go.into_iter().map(|(conn, _)| conn));
        }
        over
    }

    /// The quiet connections to each node, the latest used last.
    pub fn idle_connections(&self) -> impl Iterator<Item = (NodeId, &C)> {
        self.nodes.iter().flat_map(|(node, m)| m.idle.iter().map(move |(conn, _)| (*node, conn)))
    }
}
