//! The open connections of a listener: their registration, the limit on their number, and eviction.

use std::cell::RefCell;
use std::collections::HashMap;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tulipbridge_core::client_connection::Phase;
use tulipbridge_core::connection_limiter::{Accept, ConnectionLimiter, EvictionAttempt};

use super::client_state::ClientState;
use super::clock::ListenerClock;
use crate::telemetry::log::log;

/// Maximum number of open connections that are accepted only to answer their requests with a
/// rejection; further ones wait in the kernel's accept queue.
const REJECTION_SLOTS: usize = 16;
/// Minimum time between two log lines about the connection limit.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Key of a connection in its listener's table; a key is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ConnectionId(u64);

/// Which connections may be evicted to make room for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionScope {
    /// Only idle connections.
    IdleOnly,
    /// Any connection without an open request.
    Any,
}

/// How the requests on an accepted connection are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// By the handler.
    Served,
    /// Each with a rejection, since the listener has no capacity for the connection.
    Rejected,
}

/// The table of a listener's open connections. No borrow of its entries leaves this module, and
/// none is held across an `await`.
pub(super) struct ConnectionTable {
    limiter: ConnectionLimiter,
    clock: ListenerClock,
    open: RefCell<OpenConnections>,
}

/// The mutable part of a [`ConnectionTable`].
#[derive(Default)]
struct OpenConnections {
    clients: HashMap<ConnectionId, Rc<ClientState>>,
    /// Number of connections registered since the start, which is also the next id.
    registered: u64,
    /// When it was last logged that the connection limit is reached.
    limit_logged_at: Option<Instant>,
}

impl ConnectionTable {
    /// Creates an empty table for at most `max_connections` connections, including those that are
    /// only answered with a rejection.
    pub(super) fn new(max_connections: usize, clock: ListenerClock) -> Rc<ConnectionTable> {
        Rc::new(ConnectionTable {
            limiter: ConnectionLimiter::new(max_connections, REJECTION_SLOTS),
            clock,
            open: RefCell::default(),
        })
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.open.borrow().clients.len()
    }

    /// Returns the number of connections because of which the process must not exit yet: see
    /// [`ClientState::has_pending_work`].
    pub(super) fn pending_work(&self) -> usize {
        let open = self.open.borrow();
        let pending = open
            .clients
            .values()
            .filter(|client| client.has_pending_work());
        pending.count()
    }

    /// Returns the number of connections whose response is under way: see
    /// [`ClientState::is_delivering`].
    pub(super) fn delivering(&self) -> usize {
        let open = self.open.borrow();
        let delivering = open
            .clients
            .values()
            .filter(|client| client.is_delivering());
        delivering.count()
    }

    /// Returns the next step before one more connection is accepted: see
    /// [`ConnectionLimiter::accept`].
    pub(super) fn next_step(&self, previous: Option<EvictionAttempt>) -> Accept {
        self.limiter.accept(self.len(), previous)
    }

    /// Registers a connection that has just been accepted and has the file descriptor `socket`.
    pub(super) fn register(self: &Rc<Self>, socket: RawFd) -> Registration {
        let client = ClientState::new(socket, self.clock);
        let mut open = self.open.borrow_mut();
        let id = ConnectionId(open.registered);
        open.registered += 1;
        let admission = if self.limiter.is_full(open.clients.len()) {
            open.log_limit_reached();
            Admission::Rejected
        } else {
            Admission::Served
        };
        open.clients.insert(id, Rc::clone(&client));
        Registration {
            table: Rc::clone(self),
            id,
            client,
            admission,
        }
    }

    /// Evicts the connection that is first in the limiter's order of eviction, if any may be
    /// evicted. Returns whether one was.
    pub(super) fn evict(&self, scope: EvictionScope) -> bool {
        let idle_only = scope == EvictionScope::IdleOnly;
        let mut open = self.open.borrow_mut();
        let clients = &mut open.clients;
        let connections = clients
            .iter()
            .map(|(id, client)| (id.0, client.connection()));
        let is_busy = |id| clients[&ConnectionId(id)].is_busy();
        let candidate =
            self.limiter
                .eviction_candidate(self.clock.now(), idle_only, connections, is_busy);
        let Some(client) = candidate.and_then(|id| clients.remove(&ConnectionId(id))) else {
            return false;
        };
        client.evict();
        true
    }

    /// Evicts the connections whose timeouts have passed. They stay in the table until their tasks
    /// end.
    pub(super) fn evict_timed_out(&self) {
        let now = self.clock.now();
        let connections_are_scarce = self.limiter.is_scarce(self.len());
        for client in self.open.borrow().clients.values() {
            if client.has_timed_out(now, connections_are_scarce) {
                client.evict();
            }
        }
    }
}

impl OpenConnections {
    /// Logs that the connection limit is reached, with the number of connections in each phase.
    /// Logs at most once per [`LIMIT_LOG_INTERVAL`].
    fn log_limit_reached(&mut self) {
        let now = Instant::now();
        if self
            .limit_logged_at
            .is_some_and(|logged| now - logged < LIMIT_LOG_INTERVAL)
        {
            return;
        }
        self.limit_logged_at = Some(now);
        let mut counts: Vec<(Phase, usize)> = Vec::new();
        for phase in self.clients.values().map(|client| client.phase()) {
            match counts.iter_mut().find(|(counted, _)| *counted == phase) {
                Some((_, count)) => *count += 1,
                None => counts.push((phase, 1)),
            }
        }
        log!("listener: connection limit reached: open connections by phase: {counts:?}");
    }
}

/// The entry of a connection in a [`ConnectionTable`], owned by the task that serves it. Dropping
/// it removes the connection from the table.
pub(super) struct Registration {
    table: Rc<ConnectionTable>,
    id: ConnectionId,
    client: Rc<ClientState>,
    admission: Admission,
}

impl Registration {
    /// Returns the state of the connection.
    pub(super) fn client(&self) -> &Rc<ClientState> {
        &self.client
    }

    /// Returns how the requests on the connection are answered.
    pub(super) fn admission(&self) -> Admission {
        self.admission
    }

    /// Returns once the connection is evicted and may be closed. Where it may not be closed, e.g.
    /// because data has arrived since its eviction, it is added to the table again.
    pub(super) async fn closed_by_eviction(&self) {
        loop {
            self.client.wait_for_eviction().await;
            if self.client.may_close_now() {
                return;
            }
            let mut open = self.table.open.borrow_mut();
            open.clients
                .entry(self.id)
                .or_insert_with(|| Rc::clone(&self.client));
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.table.open.borrow_mut().clients.remove(&self.id);
    }
}
