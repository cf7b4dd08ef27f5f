//! The state of the client connection model, and the part of it that distinguishes states.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::client_connection::{ClientConnection, Phase};
use tulipbridge_core::connection_limiter::ConnectionLimiter;
use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownStep};
use tulipbridge_core::Nanos;

use super::{ClientConnectionModel, MAX_DELAY, MAX_EXIT_TIME};
use crate::properties::Violations;
use crate::time::MS;

/// Number of a client's connection.
pub(super) type ConnectionId = u64;

/// Ages are hashed up to this one, which is past every timeout.
const MAX_HASHED_AGE: Nanos = 70_000 * MS;

/// A connection, as the client and the kernel know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Socket {
    /// How much of its present request the client has sent.
    pub sent: RequestProgress,
    /// How much of that the front has read.
    pub read: RequestProgress,
    /// When the connection was accepted, or the first byte of the present request arrived.
    pub since: Nanos,
    /// Number of requests that were answered on it.
    pub answered: u8,
    /// The front has closed its sending side, and reads what still arrives for a while.
    pub closing: bool,
}

impl Socket {
    pub(super) fn new(now: Nanos) -> Socket {
        Socket {
            sent: RequestProgress::Nothing,
            read: RequestProgress::Nothing,
            since: now,
            answered: 0,
            closing: false,
        }
    }

    pub(super) fn has_unread_bytes(&self) -> bool {
        self.read < self.sent
    }
}

/// How much of a request has been sent or read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) enum RequestProgress {
    Nothing,
    HalfHead,
    Head,
    Complete,
}

/// A client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum ClientState {
    NotConnected,
    /// In the accept queue of the front's socket.
    Queued,
    /// Accepted, with the connection of this number.
    Connected(ConnectionId),
    /// Its connection is closed.
    Disconnected,
}

/// The front's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum FrontState {
    Serving,
    ShuttingDown(Shutdown),
    Exited,
}

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Shutdown {
    pub machine: GracefulShutdown,
    /// The step that the machine has requested.
    pub step: ShutdownStep,
    /// When it requested that step.
    pub since: Nanos,
}

impl FrontState {
    pub(super) fn is_shutting_down(&self) -> bool {
        matches!(self, FrontState::ShuttingDown(_))
    }

    /// Whether its socket is open. It is closed once the front drains.
    pub(super) fn is_accepting(&self) -> bool {
        match self {
            FrontState::Serving => true,
            FrontState::ShuttingDown(shutdown) => matches!(shutdown.step, ShutdownStep::Accept(_)),
            FrontState::Exited => false,
        }
    }

    /// Whether it waits for its open connections to end.
    pub(super) fn is_draining(&self) -> bool {
        match self {
            FrontState::ShuttingDown(shutdown) => matches!(shutdown.step, ShutdownStep::Wait(_)),
            FrontState::Serving | FrontState::Exited => false,
        }
    }
}

/// A state of the model.
#[derive(Clone, Debug)]
pub struct State {
    pub(super) now: Nanos,
    pub(super) clock_steps: u8,
    pub(super) limiter: ConnectionLimiter,
    pub(super) connections: BTreeMap<ConnectionId, ClientConnection>,
    pub(super) sockets: BTreeMap<ConnectionId, Socket>,
    pub(super) clients: Vec<ClientState>,
    pub(super) front: FrontState,
    /// When SIGTERM arrived; 0 before that.
    pub(super) sigterm_at: Nanos,
    pub(super) violations: Violations,
}

impl State {
    pub(super) fn has_unread_bytes(&self, id: ConnectionId) -> bool {
        self.sockets.get(&id).is_some_and(Socket::has_unread_bytes)
    }

    pub(super) fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.connections
            .get(&id)
            .map(|connection| connection.phase().0)
    }

    /// Whether bytes wait on a connection that the front holds for idle.
    pub(super) fn is_idle_with_unread_bytes(&self, id: ConnectionId) -> bool {
        self.has_unread_bytes(id) && self.phase(id) == Some(Phase::Idle)
    }

    /// Whether the front closes a connection when it next checks timeouts.
    pub(super) fn has_timed_out(&self, id: ConnectionId) -> bool {
        let is_scarce = self.limiter.is_scarce(self.connections.len());
        self.connections.get(&id).is_some_and(|connection| {
            connection.has_timed_out(self.now, is_scarce, || self.is_idle_with_unread_bytes(id))
        })
    }

    /// Checks what can be seen of a state, whatever led to it.
    pub(super) fn check(&mut self, model: &ClientConnectionModel) {
        let open_connections = self.connections.len();
        self.violations.too_many_client_connections |=
            open_connections > model.max_open_connections();
        let exit_deadline = self.sigterm_at + MAX_EXIT_TIME + 2 * MAX_DELAY;
        self.violations.exit_overdue |= self.front.is_shutting_down() && self.now > exit_deadline;
    }
}

impl Hash for State {
    /// Hashes points in time relative to now, and only where something still depends on them.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (
            self.clock_steps,
            self.violations,
            &self.clients,
            self.connections.len(),
        )
            .hash(hasher);
        // Once the front accepts no connections, it evicts none for its age.
        let ages_matter = self.front.is_accepting();
        self.hash_connections(ages_matter, hasher);
        self.hash_sockets(ages_matter, hasher);
        match &self.front {
            FrontState::ShuttingDown(shutdown) => {
                (1, shutdown.machine.quiet_polls(), shutdown.step).hash(hasher);
                (self.age(shutdown.since), self.age(self.sigterm_at)).hash(hasher);
            }
            FrontState::Serving => 2.hash(hasher),
            FrontState::Exited => 3.hash(hasher),
        }
    }
}

/// The parts of the hash.
impl State {
    /// Time since a moment, limited to [`MAX_HASHED_AGE`].
    fn age(&self, moment: Nanos) -> Nanos {
        (self.now - moment).min(MAX_HASHED_AGE)
    }

    fn hash_connections<H: Hasher>(&self, ages_matter: bool, hasher: &mut H) {
        for (id, connection) in &self.connections {
            let (phase, since) = connection.phase();
            (id, phase).hash(hasher);
            if ages_matter {
                (self.age(since), self.age(connection.connected_at())).hash(hasher);
            }
            // The deadline also bounds a body that begins later.
            let may_read_body =
                matches!(phase, Phase::New | Phase::ReadingHead | Phase::ReadingBody);
            if ages_matter || may_read_body {
                (self.now - connection.request_deadline())
                    .min(0)
                    .hash(hasher);
            }
        }
    }

    fn hash_sockets<H: Hasher>(&self, ages_matter: bool, hasher: &mut H) {
        for (id, socket) in &self.sockets {
            (
                id,
                socket.sent,
                socket.read,
                socket.answered,
                socket.closing,
            )
                .hash(hasher);
            if ages_matter {
                self.age(socket.since).hash(hasher);
            }
        }
    }
}
