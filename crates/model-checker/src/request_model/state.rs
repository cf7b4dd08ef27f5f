//! The state of the request model, and the part of it that distinguishes states.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::attempt::Attempt;
use tulipbridge_core::connection_pool::ConnectionPool;
use tulipbridge_core::request_tracker::{FinalAnswer, RequestTracker};
use tulipbridge_core::server_connection::ServerConnection;
use tulipbridge_core::{Listed, Nanos, NodeId, NodeInfo, Outcome, RequestId, ShardId};

use crate::policy::PolicyUnderTest;
use crate::properties::Violations;

/// Number of a connection to a server.
pub(super) type ConnectionId = u32;

/// Stands for the connection of [`ServerWork`] whose connection is closed. It sorts after every
/// open connection.
pub(super) const CLOSED_CONNECTION: ConnectionId = ConnectionId::MAX;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptKey {
    pub request: RequestId,
    pub attempt: u32,
}

/// A connection, as the front and the server know it together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Connection {
    pub machine: ServerConnection,
    pub node: NodeId,
    /// Epoch of the node's address that the connection goes to.
    pub address_epoch: u32,
    /// How much of the present request has really been written.
    pub written: Written,
    /// The server has closed it.
    pub closed_by_server: bool,
    /// Bytes wait on it that are no response to any request.
    pub unsolicited_bytes: bool,
    pub established: bool,
    /// When it was dialed, or became idle.
    pub since: Nanos,
    /// The attempt that uses it.
    pub attempt: Option<AttemptKey>,
}

/// How much of a request has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Written {
    Nothing,
    Part,
    All,
}

/// An attempt that the front has in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ModelAttempt {
    pub node: NodeId,
    pub deadline: Nanos,
    pub machine: Attempt,
    pub connection: Option<ConnectionId>,
    /// Number of connections to which a byte of it was written.
    pub connections_written: u8,
    /// The front has given it up, and will drop it.
    pub cancelled: bool,
    /// The outcome with which it ends unless it has begun, once it is withdrawn.
    pub withdrawn: Option<Outcome>,
}

impl ModelAttempt {
    pub(super) fn new(node: NodeId, deadline: Nanos) -> ModelAttempt {
        ModelAttempt {
            node,
            deadline,
            machine: Attempt::AcquiringConnection,
            connection: None,
            connections_written: 0,
            cancelled: false,
            withdrawn: None,
        }
    }
}

/// A request that a server has received completely. Steps refer to it by its position in sorted
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServerWork {
    pub client: usize,
    pub attempt: u32,
    pub connection: ConnectionId,
    pub executed: bool,
    /// Its connection is closed: the server may still execute it, or drop it.
    pub orphaned: bool,
}

/// What a client knows of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ClientState {
    /// It has not sent its request.
    NotStarted,
    /// It waits for the answer.
    Waiting { id: RequestId, deadline: Nanos },
    /// It has its answer.
    Answered(FinalAnswer),
    /// It left without an answer.
    Left { id: RequestId },
}

impl ClientState {
    pub(super) fn is_waiting(&self) -> bool {
        matches!(self, ClientState::Waiting { .. })
    }

    /// Whether it waits for the answer to this request.
    pub(super) fn waits_for(&self, request: RequestId) -> bool {
        matches!(self, ClientState::Waiting { id, .. } if *id == request)
    }
}

/// A node, as discovery has described it to the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct NodeState {
    pub listed: Listed,
    pub shard: ShardId,
    pub started_at: Nanos,
    /// The front has forgotten it.
    pub forgotten: bool,
}

/// A timer that the decision module has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Timer {
    pub due: Nanos,
    pub cookie: u64,
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) now: Nanos,
    pub(super) clock_steps: u8,
    pub(super) faults: u8,
    /// Index of the next watch update.
    pub(super) next_update: usize,
    pub(super) tracker: RequestTracker<PolicyUnderTest>,
    pub(super) pool: ConnectionPool<ConnectionId>,
    pub(super) connections: BTreeMap<ConnectionId, Connection>,
    pub(super) attempts: BTreeMap<AttemptKey, ModelAttempt>,
    pub(super) server_work: Vec<ServerWork>,
    pub(super) clients: Vec<ClientState>,
    /// How often each client's request was executed, by all servers together.
    pub(super) executions: Vec<u8>,
    pub(super) timers: Vec<Timer>,
    pub(super) nodes: Vec<NodeState>,
    pub(super) violations: Violations,
}

impl State {
    /// Number of clients that have their answer.
    pub fn answered_clients(&self) -> usize {
        self.clients
            .iter()
            .filter(|client| matches!(client, ClientState::Answered(_)))
            .count()
    }

    /// Whether a client waits, or the front has anything in flight.
    pub(super) fn is_busy(&self) -> bool {
        self.any_client_waits() || !self.attempts.is_empty() || !self.tracker.requests().is_empty()
    }

    pub(super) fn any_client_waits(&self) -> bool {
        self.clients.iter().any(ClientState::is_waiting)
    }

    /// The client of a request: identifiers are allocated in the order in which clients send.
    pub(super) fn client_of(&self, id: RequestId) -> Option<usize> {
        usize::try_from(id.0)
            .ok()
            .filter(|client| *client < self.clients.len())
    }

    /// A node as discovery lists it.
    pub(super) fn node_info(&self, node: NodeId) -> NodeInfo {
        let state = &self.nodes[node.0];
        NodeInfo {
            node,
            zone: node.0 as u32 % 2,
            shard: state.shard,
            listed: state.listed,
            started_at: state.started_at,
        }
    }
}

impl Hash for State {
    /// Hashes points in time relative to now: what can happen next depends on nothing else.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (
            self.clock_steps,
            self.faults,
            self.next_update,
            self.violations,
        )
            .hash(hasher);
        self.hash_tracker(hasher);
        for idle in self.pool.idle_connections() {
            idle.hash(hasher);
        }
        self.hash_connections(hasher);
        self.hash_attempts(hasher);
        self.server_work.hash(hasher);
        self.hash_clients(hasher);
        self.executions.hash(hasher);
        for timer in &self.timers {
            (self.age(timer.due), timer.cookie).hash(hasher);
        }
        for node in &self.nodes {
            (node.listed, node.shard, node.forgotten).hash(hasher);
        }
    }
}

/// The parts of the hash.
impl State {
    /// Time since a moment; negative for one to come.
    fn age(&self, moment: Nanos) -> Nanos {
        self.now - moment
    }

    fn hash_tracker<H: Hasher>(&self, hasher: &mut H) {
        for (id, request) in self.tracker.requests() {
            (
                id,
                self.age(request.deadline),
                request.answered,
                request.attempts_started,
            )
                .hash(hasher);
            for attempt in &request.in_flight {
                (
                    attempt.attempt,
                    attempt.node,
                    self.age(attempt.sent_at),
                    attempt.cancelled,
                )
                    .hash(hasher);
            }
        }
        self.tracker.decisions().fingerprint(self.now, hasher);
    }

    fn hash_connections<H: Hasher>(&self, hasher: &mut H) {
        for (id, connection) in &self.connections {
            let in_use = connection.established && connection.attempt.is_some();
            let idle_for = if in_use {
                0
            } else {
                self.age(connection.since)
            };
            (
                id,
                connection.machine,
                connection.node,
                connection.address_epoch,
            )
                .hash(hasher);
            (
                connection.written,
                connection.closed_by_server,
                connection.unsolicited_bytes,
            )
                .hash(hasher);
            (connection.established, idle_for, connection.attempt).hash(hasher);
        }
    }

    fn hash_attempts<H: Hasher>(&self, hasher: &mut H) {
        for (key, attempt) in &self.attempts {
            (
                key,
                attempt.node,
                self.age(attempt.deadline),
                attempt.machine,
            )
                .hash(hasher);
            (attempt.connection, attempt.connections_written).hash(hasher);
            (attempt.cancelled, attempt.withdrawn).hash(hasher);
        }
    }

    fn hash_clients<H: Hasher>(&self, hasher: &mut H) {
        for client in &self.clients {
            match client {
                ClientState::Waiting { id, deadline } => (1, id, self.age(*deadline)).hash(hasher),
                // The retry-after time of a rejection has no effect on what follows.
                ClientState::Answered(FinalAnswer::Rejected(_)) => 2.hash(hasher),
                other => other.hash(hasher),
            }
        }
    }
}
