//! Writing to connections, reading from them, and closing them.

use tulipbridge_core::attempt::AttemptEvent;
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::{Listed, Outcome};

use super::attempts::attempt_ended;
use super::effects::ResponseOrigin;
use super::state::{AttemptKey, Connection, ConnectionId, ServerWork, Written, CLOSED_CONNECTION};
use super::{RequestModel, State};

impl Connection {
    /// Whether the pool may hand it out again.
    pub(super) fn is_reusable(&self) -> bool {
        self.machine == ServerConnection::Idle && !self.closed_by_server && !self.unsolicited_bytes
    }
}

impl State {
    /// Removes a connection that the front closes or that is lost. The server may still execute
    /// what it has received.
    pub(super) fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
        for work in self
            .server_work
            .iter_mut()
            .filter(|work| work.connection == id)
        {
            work.orphaned = true;
            work.connection = CLOSED_CONNECTION;
        }
        self.server_work.sort_unstable();
        self.server_work
            .retain(|work| !(work.orphaned && work.executed));
    }

    /// Closes a connection and passes the event to its attempt.
    pub(super) fn end_connection(
        &mut self,
        model: &RequestModel,
        id: ConnectionId,
        event: AttemptEvent,
    ) {
        let attempt = self
            .connections
            .get(&id)
            .and_then(|connection| connection.attempt);
        self.close(id);
        if let Some(attempt) = attempt {
            self.drive_attempt(model, attempt, event);
        }
    }

    /// Closes a connection that broke, or on which something was read that is no response.
    pub(super) fn break_connection(&mut self, model: &RequestModel, id: ConnectionId) {
        if let Some(execution) = self.checked_execution(id) {
            self.end_connection(model, id, AttemptEvent::ConnectionBroke(execution));
        }
    }

    /// Whether the request on a connection may have run, checked against what was really written.
    fn checked_execution(&mut self, id: ConnectionId) -> Option<Execution> {
        let connection = self.connections.get(&id)?;
        let execution = connection.machine.execution();
        let fully_written = connection.written == Written::All;
        self.violations.wrong_execution_state |=
            (execution == Execution::MayHaveRun) != fully_written;
        Some(execution)
    }

    /// The front looks at the socket and writes a part of the request, or with `last` all the rest.
    pub(super) fn write(&mut self, model: &RequestModel, id: ConnectionId, last: bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let attempt = connection.attempt.and_then(|key| self.attempts.get(&key));
        let withdrawn = attempt.and_then(|attempt| {
            attempt
                .withdrawn
                .or(attempt.cancelled.then_some(Outcome::Cancelled))
        });
        if connection
            .machine
            .may_write(connection.unsolicited_bytes, withdrawn.is_some())
        {
            self.write_bytes(id, last);
        } else {
            self.abandon_write(model, id, withdrawn);
        }
    }

    /// Ends a connection that must not be written to.
    fn abandon_write(
        &mut self,
        model: &RequestModel,
        id: ConnectionId,
        withdrawn: Option<Outcome>,
    ) {
        let Some(execution) = self.checked_execution(id) else {
            return;
        };
        let event = match withdrawn {
            Some(outcome) if execution == Execution::NotStarted => AttemptEvent::Withdrawn(outcome),
            _ => AttemptEvent::ConnectionBroke(execution),
        };
        self.end_connection(model, id, event);
    }

    fn write_bytes(&mut self, id: ConnectionId, last: bool) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(key) = connection.attempt else {
            return;
        };
        let is_first_write = connection.written == Written::Nothing;
        connection.written = if last { Written::All } else { Written::Part };
        connection
            .machine
            .on(ConnectionEvent::BytesWritten { last });
        let node = connection.node;
        if is_first_write {
            let client_waits = self
                .clients
                .iter()
                .any(|client| client.waits_for(key.request));
            self.violations.sent_without_client |= !client_waits;
            self.violations.sent_to_draining_node |= self.nodes[node.0].listed != Listed::Up;
            self.count_connection_written(key);
        }
        if last {
            self.server_receives(key, id);
        }
    }

    fn count_connection_written(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.connections_written += 1;
            self.violations.bytes_resent |= attempt.connections_written > 1;
        }
    }

    /// A server has received a complete request.
    fn server_receives(&mut self, key: AttemptKey, connection: ConnectionId) {
        if let Some(client) = self.client_of(key.request) {
            let attempt = key.attempt;
            let work = ServerWork {
                client,
                attempt,
                connection,
                executed: false,
                orphaned: false,
            };
            self.server_work.push(work);
            self.server_work.sort_unstable();
        }
    }

    /// A complete response arrives, with which the attempt ends in `outcome`.
    pub(super) fn response_arrives(
        &mut self,
        model: &RequestModel,
        index: usize,
        outcome: Outcome,
    ) {
        let work = self.server_work.remove(index);
        let Some(connection) = self.connections.get_mut(&work.connection) else {
            return;
        };
        connection.machine.on(ConnectionEvent::BytesReceived);
        self.read_response(
            model,
            work.connection,
            outcome,
            ResponseOrigin::Client(work.client),
        );
    }

    /// A response arrives that cannot be parsed: the connection is closed, and the request may have
    /// run.
    pub(super) fn unreadable_response(&mut self, model: &RequestModel, index: usize) {
        let work = self.server_work.remove(index);
        let Some(connection) = self.connections.get_mut(&work.connection) else {
            return;
        };
        connection.machine.on(ConnectionEvent::BytesReceived);
        self.break_connection(model, work.connection);
    }

    /// The front reads bytes that are no response to any request, but may take them for one.
    pub(super) fn read_unsolicited_bytes(&mut self, model: &RequestModel, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.unsolicited_bytes = false;
        connection.machine.on(ConnectionEvent::BytesReceived);
        self.read_response(model, id, Outcome::Served, ResponseOrigin::Unsolicited);
    }

    /// The front reads what it takes for the response to the request on a connection.
    fn read_response(
        &mut self,
        model: &RequestModel,
        id: ConnectionId,
        outcome: Outcome,
        origin: ResponseOrigin,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(key) = connection.attempt else {
            return;
        };
        if !connection.machine.is_reading_response() {
            self.break_connection(model, id);
            return;
        }
        connection.machine.on(ConnectionEvent::ResponseComplete);
        connection.attempt = None;
        connection.since = self.now;
        if let Some(attempt) = self.attempts.get_mut(&key) {
            attempt.machine.on(AttemptEvent::Answered(outcome));
        }
        self.attempts.remove(&key);
        self.release_connection(id);
        self.feed_from(model, attempt_ended(key, outcome), origin);
    }

    /// Returns a connection to the pool, which may not keep it. Whether bytes wait on it is checked
    /// when it is taken.
    fn release_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let is_idle = connection.machine == ServerConnection::Idle;
        let rejected = self.pool.release(
            connection.node,
            connection.address_epoch,
            id,
            self.now,
            is_idle,
        );
        if let Some(id) = rejected {
            self.close(id);
        }
    }
}
