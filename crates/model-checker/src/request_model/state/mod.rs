//! The state of the request model, and the part of it that distinguishes states.
//!
//! What each step changes is in `transitions`; how attempts proceed over connections is in
//! `exchange`.

mod exchange;
mod transitions;

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use tulipbridge_core::connection_pool::ConnectionPool;
use tulipbridge_core::request_tracker::{Input, RequestTracker};
use tulipbridge_core::{Nanos, NodeId, RequestId, UpdateScope};

use super::attempt::{AttemptKey, InFlightAttempt};
use super::clients::Clients;
use super::connection::{Connection, ConnectionId};
use super::nodes::Nodes;
use super::servers::Servers;
use super::timers::Timers;
use super::RequestModel;
use crate::policy::PolicyUnderTest;
use crate::properties::Violations;
use crate::time::START;

/// A state of the request model.
#[derive(Clone, Debug)]
pub struct RequestState {
    now: Nanos,
    clock_steps: u8,
    faults: u8,
    /// Index of the next watch update.
    next_update: usize,
    tracker: RequestTracker<PolicyUnderTest>,
    pool: ConnectionPool<ConnectionId>,
    connections: BTreeMap<ConnectionId, Connection>,
    attempts: BTreeMap<AttemptKey, InFlightAttempt>,
    servers: Servers,
    clients: Clients,
    timers: Timers,
    nodes: Nodes,
    violations: Violations,
}

impl RequestState {
    /// The initial state: the front has its first endpoint list, and no client has sent anything.
    pub(super) fn new(model: &RequestModel) -> RequestState {
        let policy = PolicyUnderTest::new(model.policy, &model.settings, START);
        let mut state = RequestState {
            now: START,
            clock_steps: 0,
            faults: 0,
            next_update: 0,
            tracker: RequestTracker::new(policy),
            pool: ConnectionPool::new(model.idle_timeout, model.max_connections),
            connections: BTreeMap::new(),
            attempts: BTreeMap::new(),
            servers: Servers::new(model.requests.len()),
            clients: Clients::new(model.requests.len()),
            timers: Timers::default(),
            nodes: Nodes::new(model.nodes),
            violations: Violations::default(),
        };
        for node in state.nodes.ids() {
            state.pool.add(node);
        }
        let endpoints = Input::Endpoints {
            scope: UpdateScope::Restored,
            nodes: state
                .nodes
                .ids()
                .map(|node| state.nodes.info(node))
                .collect(),
        };
        state.feed(model, endpoints);
        state
    }

    /// Number of clients that have their answer.
    pub fn answered_clients(&self) -> usize {
        self.clients.answered()
    }

    /// The time on the front's clock.
    pub(super) fn now(&self) -> Nanos {
        self.now
    }

    /// Number of clock steps taken so far, up to one more than requests may arrive within.
    pub(super) fn clock_steps(&self) -> u8 {
        self.clock_steps
    }

    /// Number of faults so far.
    pub(super) fn faults(&self) -> u8 {
        self.faults
    }

    /// Index of the next watch update.
    pub(super) fn next_update(&self) -> usize {
        self.next_update
    }

    /// The front's requests, with the policy that decides about them.
    pub(super) fn tracker(&self) -> &RequestTracker<PolicyUnderTest> {
        &self.tracker
    }

    /// The front's idle connections.
    pub(super) fn pool(&self) -> &ConnectionPool<ConnectionId> {
        &self.pool
    }

    /// All connections to servers, also idle ones and those that are being dialed.
    pub(super) fn connections(&self) -> &BTreeMap<ConnectionId, Connection> {
        &self.connections
    }

    /// The attempts that the front has in flight.
    pub(super) fn attempts(&self) -> &BTreeMap<AttemptKey, InFlightAttempt> {
        &self.attempts
    }

    /// The servers.
    pub(super) fn servers(&self) -> &Servers {
        &self.servers
    }

    /// The clients.
    pub(super) fn clients(&self) -> &Clients {
        &self.clients
    }

    /// The timers of the decision module.
    pub(super) fn timers(&self) -> &Timers {
        &self.timers
    }

    /// The nodes.
    pub(super) fn nodes(&self) -> &Nodes {
        &self.nodes
    }

    /// The properties that were violated on the way to this state.
    pub(super) fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Records a panic of a state machine, which left this state as it was before the step.
    pub(super) fn record_panic(&mut self) {
        self.violations.panicked = true;
    }

    /// Runs a check of this state and records what it finds violated.
    pub(super) fn check(&mut self, check: impl FnOnce(&RequestState, &mut Violations)) {
        let mut violations = self.violations;
        check(self, &mut violations);
        self.violations = violations;
    }

    /// Whether a client waits, or the front has anything in flight.
    pub(super) fn is_busy(&self) -> bool {
        self.clients.any_waits() || !self.attempts.is_empty() || !self.tracker.requests().is_empty()
    }

    /// Whether any attempt to a node is in flight.
    pub(super) fn is_node_in_use(&self, node: NodeId) -> bool {
        self.attempts.values().any(|attempt| attempt.node() == node)
    }

    /// Whether an attempt of a request has a connection.
    pub(super) fn is_on_connection(&self, request: RequestId) -> bool {
        let mut attempts = self.connections.values().filter_map(Connection::attempt);
        attempts.any(|attempt| attempt.request == request)
    }
}

impl Hash for RequestState {
    /// Hashes points in time relative to now: what can happen next depends on nothing else.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let progress = (self.clock_steps, self.faults, self.next_update);
        (progress, self.violations).hash(hasher);
        self.hash_tracker(hasher);
        for idle in self.pool.idle_connections() {
            idle.hash(hasher);
        }
        for (id, connection) in &self.connections {
            id.hash(hasher);
            connection.fingerprint(self.now, hasher);
        }
        for (key, attempt) in &self.attempts {
            key.hash(hasher);
            attempt.fingerprint(self.now, hasher);
        }
        self.servers.hash(hasher);
        self.clients.fingerprint(self.now, hasher);
        self.timers.fingerprint(self.now, hasher);
        self.nodes.hash(hasher);
    }
}

impl RequestState {
    /// Hashes the requests in flight and everything that the policy's next decision depends on.
    fn hash_tracker<H: Hasher>(&self, hasher: &mut H) {
        for (id, request) in self.tracker.requests() {
            let time_left = self.now - request.deadline;
            (id, time_left, request.answered, request.attempts_started).hash(hasher);
            for attempt in &request.in_flight {
                let in_flight_for = self.now - attempt.sent_at;
                (attempt.attempt, attempt.node).hash(hasher);
                (in_flight_for, attempt.cancelled).hash(hasher);
            }
        }
        self.tracker.decisions().fingerprint(self.now, hasher);
    }
}
