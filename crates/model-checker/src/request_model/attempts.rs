//! Driving attempts: acquiring a connection, dialing, handing the request over, ending.

use tulipbridge_core::attempt::{AttemptEvent, AttemptStep};
use tulipbridge_core::connection_pool::Capacity;
use tulipbridge_core::request_tracker::Input;
use tulipbridge_core::server_connection::{ConnectionEvent, ServerConnection};
use tulipbridge_core::{NodeId, Outcome};

use super::state::{AttemptKey, Connection, ConnectionId, Written};
use super::{RequestModel, State};

impl State {
    /// Passes an event to the machine of an attempt and does what it asks for.
    pub(super) fn drive_attempt(
        &mut self,
        model: &RequestModel,
        key: AttemptKey,
        event: AttemptEvent,
    ) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let next = attempt.machine.on(event);
        self.run_attempt(model, key, next);
    }

    /// Does what the machine of an attempt asks for, until it has to wait.
    pub(super) fn run_attempt(
        &mut self,
        model: &RequestModel,
        key: AttemptKey,
        mut next: AttemptStep,
    ) {
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
        attempt.connection = None;
        let node = attempt.node;
        let connections = &self.connections;
        let is_reusable =
            |id: &ConnectionId| connections.get(id).is_some_and(Connection::is_reusable);
        let (found, unusable) = self.pool.take(node, self.now, is_reusable);
        for id in unusable {
            self.close(id);
        }
        let event = match found {
            Some(_) => AttemptEvent::PooledConnectionFound,
            None => AttemptEvent::NoPooledConnection {
                may_open: self.ensure_capacity(node),
            },
        };
        let attempt = self.attempts.get_mut(&key)?;
        attempt.connection = found;
        Some(attempt.machine.on(event))
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

    fn dial(&mut self, model: &RequestModel, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        // The lowest free number, so that histories that differ only in numbers lead to the same
        // state.
        let id = (0..)
            .find(|id| !self.connections.contains_key(id))
            .unwrap_or_default();
        attempt.connection = Some(id);
        let node = attempt.node;
        let connection = Connection {
            machine: ServerConnection::Idle,
            node,
            address_epoch: self.pool.address_epoch(node).unwrap_or_default(),
            written: Written::Nothing,
            closed_by_server: false,
            unsolicited_bytes: false,
            established: false,
            since: self.now,
            attempt: Some(key),
        };
        self.connections.insert(id, connection);
        self.violations.too_many_connections |= self.connections.len() > model.max_connections;
    }

    /// Hands the request over to the connection of its attempt.
    fn assign_request(&mut self, model: &RequestModel, key: AttemptKey) {
        let id = self
            .attempts
            .get(&key)
            .and_then(|attempt| attempt.connection);
        let Some(connection) = id.and_then(|id| self.connections.get_mut(&id)) else {
            return;
        };
        let is_reused = connection.attempt.is_none();
        connection.machine.on(ConnectionEvent::RequestAssigned);
        connection.written = Written::Nothing;
        connection.attempt = Some(key);
        let is_stale = self.now - connection.since >= model.idle_timeout;
        let address_changed =
            Some(connection.address_epoch) != self.pool.address_epoch(connection.node);
        self.violations.stale_connection_reused |= is_reused && is_stale;
        self.violations.old_address_reused |= is_reused && address_changed;
    }

    fn end_attempt(&mut self, model: &RequestModel, key: AttemptKey, outcome: Outcome) {
        let ended = self.attempts.remove(&key);
        let was_written = ended.is_some_and(|attempt| attempt.connections_written > 0);
        self.violations.wrong_execution_state |= outcome == Outcome::Reset && !was_written;
        self.feed(model, attempt_ended(key, outcome));
    }

    /// Removes an attempt and closes its connection.
    pub(super) fn drop_attempt(&mut self, key: AttemptKey) {
        if let Some(connection) = self
            .attempts
            .remove(&key)
            .and_then(|attempt| attempt.connection)
        {
            self.close(connection);
        }
    }

    /// Ends a withdrawn attempt that has not begun.
    pub(super) fn withdraw_attempt(&mut self, model: &RequestModel, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let outcome = attempt.withdrawn.unwrap_or(Outcome::NotSent);
        if let Some(connection) = attempt.connection.take() {
            self.close(connection);
        }
        self.drive_attempt(model, key, AttemptEvent::Withdrawn(outcome));
    }
}

/// The input for the request tracker when an attempt has ended.
pub(super) fn attempt_ended(key: AttemptKey, outcome: Outcome) -> Input {
    Input::AttemptEnded {
        id: key.request,
        attempt: key.attempt,
        outcome,
        observed_use: 0.0,
        foreign_units: 0.0,
    }
}
