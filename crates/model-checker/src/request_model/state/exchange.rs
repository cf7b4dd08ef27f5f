//! How attempts proceed: they acquire a connection or dial one, hand the request over to it, write
//! it, and end with a response or without.

use tulipbridge_core::attempt::{AttemptEvent, AttemptStep};
use tulipbridge_core::connection_pool::Capacity;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::server_connection::Execution;
use tulipbridge_core::{NodeId, Outcome};

use super::RequestState;
use crate::numbering::lowest_free_number;
use crate::request_model::attempt::{AttemptKey, InFlightAttempt};
use crate::request_model::checks::{self, ResponseOrigin};
use crate::request_model::connection::{Connection, ConnectionId, Written};
use crate::request_model::RequestModel;

/// Attempts.
impl RequestState {
    /// Starts an attempt.
    pub(super) fn start_attempt(
        &mut self,
        model: &RequestModel,
        key: AttemptKey,
        attempt: InFlightAttempt,
    ) {
        self.check(|state, violations| {
            checks::check_send(model, state, key.request, &attempt, violations);
        });
        self.attempts.insert(key, attempt);
        self.run_attempt(model, key, AttemptStep::AcquireConnection);
    }

    /// Passes an event to the machine of an attempt and carries out what it requests.
    pub(super) fn drive_attempt(
        &mut self,
        model: &RequestModel,
        key: AttemptKey,
        event: AttemptEvent,
    ) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let next = attempt.on(event);
        self.run_attempt(model, key, next);
    }

    /// Carries out what the machine of an attempt requests, until it has to wait.
    fn run_attempt(&mut self, model: &RequestModel, key: AttemptKey, mut next: AttemptStep) {
        loop {
            match next {
                AttemptStep::AcquireConnection => match self.acquire_connection(key) {
                    Some(step) => next = step,
                    None => return,
                },
                AttemptStep::Dial => return self.dial(model, key),
                AttemptStep::Send => return self.assign_request(model, key),
                AttemptStep::End(outcome) => return self.end_attempt(model, key, outcome),
            }
        }
    }

    /// Takes an idle connection from the pool, or finds out whether a new one may be opened.
    fn acquire_connection(&mut self, key: AttemptKey) -> Option<AttemptStep> {
        let attempt = self.attempts.get_mut(&key)?;
        attempt.set_connection(None);
        let node = attempt.node();
        let connections = &self.connections;
        let is_reusable =
            |id: &ConnectionId| connections.get(id).is_some_and(Connection::is_reusable);
        let taken = self.pool.take(node, self.now, is_reusable);
        for id in taken.unusable {
            self.close(id);
        }
        let event = match taken.reusable {
            Some(_) => AttemptEvent::PooledConnectionFound,
            None => AttemptEvent::NoPooledConnection {
                may_open: self.ensure_capacity(node),
            },
        };
        let attempt = self.attempts.get_mut(&key)?;
        attempt.set_connection(taken.reusable);
        Some(attempt.on(event))
    }

    /// Whether a connection to a node may be opened, after closing an idle one if need be.
    fn ensure_capacity(&mut self, node: NodeId) -> bool {
        if self.pool.address_epoch(node).is_none() {
            return false;
        }
        match self.pool.capacity(self.connections.len()) {
            Capacity::Available => true,
            Capacity::AfterClosing(id) => {
                self.close(id);
                true
            }
            Capacity::Exhausted => false,
        }
    }

    /// Dials a connection for an attempt.
    fn dial(&mut self, model: &RequestModel, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let id = lowest_free_number(&self.connections);
        attempt.set_connection(Some(id));
        let node = attempt.node();
        let address_epoch = self.pool.address_epoch(node).unwrap_or_default();
        let connection = Connection::dialed(node, address_epoch, self.now, key);
        self.connections.insert(id, connection);
        self.violations.too_many_connections |= self.connections.len() > model.max_connections;
    }

    /// Hands the request over to the connection of its attempt.
    fn assign_request(&mut self, model: &RequestModel, key: AttemptKey) {
        let attempt = self.attempts.get(&key);
        let id = attempt.and_then(InFlightAttempt::connection);
        let Some(connection) = id.and_then(|id| self.connections.get_mut(&id)) else {
            return;
        };
        let is_reused = connection.attempt().is_none();
        connection.assign(key);
        let is_stale = self.now - connection.since() >= model.idle_timeout;
        let present_epoch = self.pool.address_epoch(connection.node());
        let address_changed = Some(connection.address_epoch()) != present_epoch;
        self.violations.stale_connection_reused |= is_reused && is_stale;
        self.violations.old_address_reused |= is_reused && address_changed;
    }

    /// Ends an attempt that got no response.
    fn end_attempt(&mut self, model: &RequestModel, key: AttemptKey, outcome: Outcome) {
        let ended = self.attempts.remove(&key);
        let was_written = ended.is_some_and(|attempt| attempt.was_written());
        self.violations.wrong_execution_state |= outcome == Outcome::Reset && !was_written;
        self.feed(model, attempt_ended(key, outcome));
    }

    /// Removes an attempt and closes its connection.
    pub(super) fn drop_attempt(&mut self, key: AttemptKey) {
        let dropped = self.attempts.remove(&key);
        if let Some(connection) = dropped.and_then(|attempt| attempt.connection()) {
            self.close(connection);
        }
    }

    /// Ends a withdrawn attempt that has not begun.
    pub(super) fn withdraw_attempt(&mut self, model: &RequestModel, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let outcome = attempt.withdrawn().unwrap_or(Outcome::NotSent);
        if let Some(connection) = attempt.set_connection(None) {
            self.close(connection);
        }
        self.drive_attempt(model, key, AttemptEvent::Withdrawn(outcome));
    }
}

/// Connections.
impl RequestState {
    /// Removes a connection that the front closes or that is lost. The server may still execute
    /// what it has received.
    pub(super) fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
        self.servers.connection_closed(id);
    }

    /// Closes a connection and passes the event to its attempt.
    pub(super) fn end_connection(
        &mut self,
        model: &RequestModel,
        id: ConnectionId,
        event: AttemptEvent,
    ) {
        let attempt = self.connections.get(&id).and_then(Connection::attempt);
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
        let execution = connection.execution();
        let fully_written = connection.written() == Written::All;
        self.violations.wrong_execution_state |=
            (execution == Execution::MayHaveRun) != fully_written;
        Some(execution)
    }

    /// The front looks at the socket and writes a part of the request, or all the rest.
    pub(super) fn write(&mut self, model: &RequestModel, id: ConnectionId, written: Written) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let key = connection.attempt();
        let attempt = key.and_then(|key| self.attempts.get(&key));
        let withdrawn = attempt.and_then(InFlightAttempt::outcome_without_start);
        if connection.may_write(withdrawn.is_some()) {
            self.write_bytes(id, written);
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

    /// The kernel accepts a part of the request on a connection, or all the rest.
    fn write_bytes(&mut self, id: ConnectionId, written: Written) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(key) = connection.attempt() else {
            return;
        };
        let is_first_write = connection.written() == Written::Nothing;
        connection.write(written);
        let node = connection.node();
        if is_first_write {
            self.violations.sent_without_client |= !self.clients.any_waits_for(key.request);
            self.violations.sent_to_draining_node |= !self.nodes.is_up(node);
            self.count_connection_written(key);
        }
        if written == Written::All {
            self.server_receives(key, id);
        }
    }

    /// The first byte of an attempt is written to a connection.
    fn count_connection_written(&mut self, key: AttemptKey) {
        if let Some(attempt) = self.attempts.get_mut(&key) {
            self.violations.bytes_resent |= attempt.count_connection_written() > 1;
        }
    }

    /// A server has received a complete request.
    fn server_receives(&mut self, key: AttemptKey, connection: ConnectionId) {
        if let Some(client) = self.clients.sender_of(key.request) {
            self.servers.receive(client, key, connection);
        }
    }
}

/// Responses.
impl RequestState {
    /// A complete response arrives, with which the attempt ends in `outcome`.
    pub(super) fn response_arrives(
        &mut self,
        model: &RequestModel,
        index: usize,
        outcome: Outcome,
    ) {
        let work = self.servers.finish(index);
        let Some(connection) = self.connections.get_mut(&work.connection()) else {
            return;
        };
        connection.bytes_received();
        let origin = ResponseOrigin::Client(work.client());
        self.read_response(model, work.connection(), outcome, origin);
    }

    /// A response arrives that cannot be parsed: the connection is closed, and the request may have
    /// run.
    pub(super) fn unreadable_response(&mut self, model: &RequestModel, index: usize) {
        let work = self.servers.finish(index);
        let Some(connection) = self.connections.get_mut(&work.connection()) else {
            return;
        };
        connection.bytes_received();
        self.break_connection(model, work.connection());
    }

    /// The front reads bytes that are no response to any request, but may take them for one.
    pub(super) fn read_unsolicited_bytes(&mut self, model: &RequestModel, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.read_unsolicited_bytes();
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
        let Some(key) = connection.attempt() else {
            return;
        };
        if !connection.is_reading_response() {
            self.break_connection(model, id);
            return;
        }
        connection.complete_response(self.now);
        if let Some(mut attempt) = self.attempts.remove(&key) {
            attempt.on(AttemptEvent::Answered(outcome));
        }
        self.release_connection(id);
        self.feed_from(model, attempt_ended(key, outcome), origin);
    }

    /// Returns a connection to the pool, which may not keep it. Whether bytes wait on it is checked
    /// when it is taken.
    fn release_connection(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let rejected = self.pool.release(
            connection.node(),
            connection.address_epoch(),
            id,
            self.now,
            connection.is_idle(),
        );
        if let Some(id) = rejected {
            self.close(id);
        }
    }
}

/// The input for the request tracker when an attempt has ended.
fn attempt_ended(key: AttemptKey, outcome: Outcome) -> Input {
    Input::AttemptEnded {
        id: key.request,
        attempt: key.attempt,
        outcome,
        observed_use: 0.0,
        foreign_units: 0.0,
    }
}
