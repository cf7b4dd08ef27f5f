//! The state of the client connection model, and the part of it that distinguishes states.
//!
//! What each step changes is in `transitions`.

mod transitions;

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::connection_limiter::ConnectionLimiter;
use tulipbridge_core::Nanos;

use super::connection::{Connection, ConnectionId};
use super::front::FrontState;
use super::ClientConnectionModel;
use crate::properties::Violations;
use crate::time::START;

/// A client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ClientState {
    /// It has not connected yet.
    NotConnected,
    /// In the accept queue of the front's socket.
    Queued,
    /// Accepted, with the connection of this number.
    Connected(ConnectionId),
    /// Its connection is closed.
    Disconnected,
}

/// A state of the client connection model.
#[derive(Clone, Debug)]
pub struct ClientConnectionState {
    now: Nanos,
    clock_steps: u8,
    limiter: ConnectionLimiter,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The clients by their index.
    clients: Vec<ClientState>,
    front: FrontState,
    violations: Violations,
}

impl ClientConnectionState {
    /// The initial state: the front serves, and no client has connected.
    pub(super) fn new(model: &ClientConnectionModel) -> ClientConnectionState {
        let limiter =
            ConnectionLimiter::new(model.max_open_connections(), model.max_rejected_connections);
        ClientConnectionState {
            now: START,
            clock_steps: 0,
            limiter,
            connections: BTreeMap::new(),
            clients: vec![ClientState::NotConnected; model.clients],
            front: FrontState::Serving,
            violations: Violations::default(),
        }
    }

    /// The time on the front's clock.
    pub(super) fn now(&self) -> Nanos {
        self.now
    }

    /// Number of clock steps taken so far.
    pub(super) fn clock_steps(&self) -> u8 {
        self.clock_steps
    }

    /// The connections that the front has accepted.
    pub(super) fn connections(&self) -> &BTreeMap<ConnectionId, Connection> {
        &self.connections
    }

    /// The clients by their index.
    pub(super) fn clients(&self) -> &[ClientState] {
        &self.clients
    }

    /// The front's process.
    pub(super) fn front(&self) -> &FrontState {
        &self.front
    }

    /// The properties that were violated on the way to this state.
    pub(super) fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Whether a client is in the accept queue.
    pub(super) fn has_queued_client(&self) -> bool {
        self.clients.contains(&ClientState::Queued)
    }

    /// Whether the front would close any connection if it checked timeouts now.
    pub(super) fn any_timed_out(&self) -> bool {
        self.connections
            .values()
            .any(|connection| self.has_timed_out(connection))
    }

    /// Whether the front would close a connection if it checked timeouts now.
    fn has_timed_out(&self, connection: &Connection) -> bool {
        let is_scarce = self.limiter.is_scarce(self.connections.len());
        connection.has_timed_out(self.now, is_scarce)
    }

    /// Checks what can be seen of a state, whatever led to it.
    pub(super) fn check(&mut self, model: &ClientConnectionModel) {
        let open_connections = self.connections.len();
        self.violations.too_many_client_connections |=
            open_connections > model.max_open_connections();
        self.violations.exit_overdue |= self.front.is_exit_overdue(self.now);
    }
}

impl Hash for ClientConnectionState {
    /// Hashes points in time relative to now, and only where something still depends on them.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.clock_steps, self.violations).hash(hasher);
        self.clients.hash(hasher);
        self.connections.len().hash(hasher);
        // Once the front accepts no connections, it evicts none for its age.
        let ages_matter = self.front.is_accepting();
        for (id, connection) in &self.connections {
            id.hash(hasher);
            connection.fingerprint(self.now, ages_matter, hasher);
        }
        self.front.fingerprint(self.now, hasher);
    }
}
