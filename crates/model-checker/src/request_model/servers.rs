//! The servers: the requests that they have received completely, and what they have executed.

use super::attempt::AttemptKey;
use super::connection::ConnectionId;

/// Stands for the connection of [`ServerWork`] whose connection is closed. It sorts after every
/// open connection.
const CLOSED_CONNECTION: ConnectionId = ConnectionId::MAX;

/// A request that a server has received completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ServerWork {
    client: usize,
    attempt: u32,
    connection: ConnectionId,
    executed: bool,
    /// Its connection is closed: the server may still execute it, or drop it.
    orphaned: bool,
}

impl ServerWork {
    /// The client whose request it is.
    pub(super) fn client(&self) -> usize {
        self.client
    }

    /// The connection on which the request arrived.
    pub(super) fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// Whether the server has executed it.
    pub(super) fn is_executed(&self) -> bool {
        self.executed
    }

    /// Whether its connection is closed, so that no response can be sent.
    pub(super) fn is_orphaned(&self) -> bool {
        self.orphaned
    }
}

/// All servers together.
#[derive(Clone, Debug, Hash)]
pub(super) struct Servers {
    /// Sorted, so that histories that differ only in the order of arrival lead to the same state.
    work: Vec<ServerWork>,
    /// How often each client's request was executed.
    executions: Vec<u8>,
}

impl Servers {
    /// Servers that have received nothing from this number of clients.
    pub(super) fn new(clients: usize) -> Servers {
        Servers {
            work: Vec::new(),
            executions: vec![0; clients],
        }
    }

    /// The requests that are not finished. Steps refer to them by their position.
    pub(super) fn work(&self) -> &[ServerWork] {
        &self.work
    }

    /// How often each client's request was executed.
    pub(super) fn executions(&self) -> &[u8] {
        &self.executions
    }

    /// Whether the request of a client has been executed, or may still be.
    pub(super) fn may_have_effect(&self, client: usize) -> bool {
        let is_pending = |work: &ServerWork| work.client == client && !work.executed;
        self.executions[client] > 0 || self.work.iter().any(is_pending)
    }

    /// A server has received the complete request of a client.
    pub(super) fn receive(&mut self, client: usize, key: AttemptKey, connection: ConnectionId) {
        self.work.push(ServerWork {
            client,
            attempt: key.attempt,
            connection,
            executed: false,
            orphaned: false,
        });
        self.work.sort_unstable();
    }

    /// A server executes a request.
    pub(super) fn execute(&mut self, index: usize) {
        let work = &mut self.work[index];
        work.executed = true;
        self.executions[work.client] += 1;
        if work.orphaned {
            self.work.remove(index);
        }
    }

    /// A server finishes a request with a response, or drops it.
    pub(super) fn finish(&mut self, index: usize) -> ServerWork {
        self.work.remove(index)
    }

    /// A connection is closed. The servers may still execute what arrived on it.
    pub(super) fn connection_closed(&mut self, id: ConnectionId) {
        for work in &mut self.work {
            if work.connection == id {
                work.orphaned = true;
                work.connection = CLOSED_CONNECTION;
            }
        }
        self.work.sort_unstable();
        self.work.retain(|work| !(work.orphaned && work.executed));
    }
}
