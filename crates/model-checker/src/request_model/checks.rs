//! The properties that the request model checks.

use tulipbridge_core::request_tracker::FinalAnswer;
use tulipbridge_core::{Listed, Nanos, NodeId, RequestId, Semantics, ShardId};

use super::effects::ResponseOrigin;
use super::state::{ClientState, NodeState};
use super::{RequestModel, State, OVERDUE_GRACE, STALL};

impl RequestModel {
    fn is_at_most_once(&self, client: usize) -> bool {
        let class = self.requests[client].class;
        self.settings.classes[class].semantics == Semantics::AtMostOnce
    }
}

impl State {
    /// Checks what can be seen of a state, whatever led to it.
    pub(super) fn check(&mut self, model: &RequestModel) {
        self.check_executions(model);
        self.check_answer_time(model);
        self.check_attempts();
        let is_at_rest = !self.any_client_waits() && self.attempts.is_empty();
        if is_at_rest {
            self.check_rest();
            self.check_recovery(model);
        }
    }

    /// Checks an attempt that the request tracker starts.
    pub(super) fn check_send(
        &mut self,
        model: &RequestModel,
        id: RequestId,
        node: NodeId,
        attempt_deadline: Nanos,
    ) {
        let node = &self.nodes[node.0];
        self.violations.sent_to_draining_node |= node.listed != Listed::Up;
        self.violations.node_forgotten_in_use |= node.forgotten;
        let request = self.tracker.requests().get(&id);
        let (started, in_flight) = request.map_or((0, 0), |request| {
            (request.attempts_started, request.in_flight.len())
        });
        let max_in_flight = if model.settings.hedging { 2 } else { 1 };
        let too_many = started > model.settings.max_attempts || in_flight > max_in_flight;
        self.violations.too_many_attempts |= too_many;
        let client_waits = self.clients.iter().any(|client| client.waits_for(id));
        self.violations.sent_without_client |= !client_waits;
        let outlives = |client: &ClientState| match client {
            ClientState::Waiting {
                id: waiting,
                deadline,
            } => *waiting == id && *deadline < attempt_deadline,
            _ => false,
        };
        self.violations.attempt_outlives_client |= self.clients.iter().any(outlives);
    }

    /// Checks an answer to a client that waits.
    pub(super) fn check_answer(
        &mut self,
        model: &RequestModel,
        client: usize,
        id: RequestId,
        answer: FinalAnswer,
        origin: ResponseOrigin,
    ) {
        if answer == FinalAnswer::Served {
            self.violations.foreign_answer |= origin != ResponseOrigin::Client(client);
        }
        if model.is_at_most_once(client) && matches!(answer, FinalAnswer::Rejected(_)) {
            let may_run = self
                .server_work
                .iter()
                .any(|work| work.client == client && !work.executed);
            let is_being_written = self.connections.values().any(|connection| {
                connection
                    .attempt
                    .is_some_and(|attempt| attempt.request == id)
            });
            self.violations.unsafe_rejection |=
                self.executions[client] > 0 || may_run || is_being_written;
        }
    }

    fn check_executions(&mut self, model: &RequestModel) {
        for (client, executions) in self.executions.iter().enumerate() {
            if !model.is_at_most_once(client) {
                continue;
            }
            let is_rejected = matches!(
                self.clients[client],
                ClientState::Answered(FinalAnswer::Rejected(_))
            );
            self.violations.submit_executed_twice |= *executions > 1;
            self.violations.unsafe_rejection |= *executions > 0 && is_rejected;
        }
    }

    fn check_answer_time(&mut self, model: &RequestModel) {
        // A timer may be late by a clock step or a stall.
        let max_delay = OVERDUE_GRACE + model.clock_step.max(STALL);
        let is_overdue = |client: &ClientState| match client {
            ClientState::Waiting { deadline, .. } => self.now > deadline + max_delay,
            _ => false,
        };
        self.violations.answer_overdue |= self.clients.iter().any(is_overdue);
    }

    fn check_attempts(&mut self) {
        let tracked = self.tracker.requests().iter().flat_map(|(id, request)| {
            request
                .in_flight
                .iter()
                .map(|attempt| (*id, attempt.attempt))
        });
        let in_flight = self.attempts.keys().map(|key| (key.request, key.attempt));
        self.violations.untracked_attempt |= !tracked.eq(in_flight);
        let to_forgotten_node = self
            .pool
            .idle_connections()
            .any(|(node, _)| self.nodes[node.0].forgotten);
        self.violations.node_forgotten_in_use |= to_forgotten_node;
    }

    /// Checks that nothing is left over once no client waits and no attempt is in flight.
    fn check_rest(&mut self) {
        let in_use = self
            .connections
            .values()
            .any(|connection| connection.attempt.is_some());
        let outside_pool = self.pool.idle_connections().count() != self.connections.len();
        let tracker_is_empty = self.tracker.requests().is_empty();
        let policy_is_at_rest = self.tracker.decisions().is_at_rest();
        self.violations.not_clean_at_rest |=
            in_use || outside_pool || !tracker_is_empty || !policy_is_at_rest;
    }

    /// Checks recovery once for each history: at rest, after every client has sent its request.
    fn check_recovery(&mut self, model: &RequestModel) {
        let is_finished = !self.clients.contains(&ClientState::NotStarted);
        if !model.checks_recovery || !is_finished || self.violations.any() {
            return;
        }
        let is_warm = |node: &&NodeState| node.listed == Listed::Up && node.started_at == 0;
        let shards: Vec<ShardId> = self
            .nodes
            .iter()
            .filter(is_warm)
            .map(|node| node.shard)
            .collect();
        self.violations.does_not_recover |= !self.tracker.decisions().recovers(self.now, &shards);
    }
}
