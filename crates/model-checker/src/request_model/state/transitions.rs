//! The transitions of the request model: what each step changes, and how the effects of the request
//! tracker are carried out, in the place of the asynchronous code of the front.

use tulipbridge_core::attempt::AttemptEvent;
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{
    Action, EndpointState, Nanos, NodeId, Outcome, RequestId, RuntimeCommand, ShardId, UpdateScope,
};

use super::RequestState;
use crate::request_model::attempt::{AttemptKey, InFlightAttempt};
use crate::request_model::checks::{self, CheckedAnswer, ResponseOrigin};
use crate::request_model::clients::Addressee;
use crate::request_model::connection::{Connection, ConnectionId, Written};
use crate::request_model::{RequestModel, Step, WatchUpdate, STALL};

impl RequestState {
    /// Takes a step.
    pub(in crate::request_model) fn take(&mut self, model: &RequestModel, step: &Step) {
        self.faults += u8::from(self.is_fault(step));
        match *step {
            Step::ClientSends(client) => self.client_sends(model, client),
            Step::ClientDisconnects(client) => self.client_disconnects(model, client),
            Step::RequestOverdue(client) => self.request_overdue(model, client),
            Step::ConnectionEstablished(id) => self.connection_established(model, id),
            Step::ConnectionRefused(id) | Step::DialTimesOut(id) => {
                self.end_connection(model, id, AttemptEvent::ConnectFailed);
            }
            Step::PartWritten(id) => self.write(model, id, Written::Part),
            Step::LastByteWritten(id) => self.write(model, id, Written::All),
            Step::ConnectionBreaks(id) => self.break_connection(model, id),
            Step::ServerCloses(id) => self.change_connection(id, Connection::close_by_server),
            Step::UnsolicitedBytes(id) => {
                self.change_connection(id, Connection::unsolicited_bytes_arrive);
            }
            Step::UnsolicitedBytesRead(id) => self.read_unsolicited_bytes(model, id),
            Step::ServerExecutes(index) => self.servers.execute(index),
            Step::ServerDrops(index) => {
                self.servers.finish(index);
            }
            Step::ResponseArrives(index) => self.response_arrives(model, index, Outcome::Served),
            Step::UnreadableResponse(index) => self.unreadable_response(model, index),
            Step::ServerError(index) => self.response_arrives(model, index, Outcome::Error),
            Step::ServerRejects(index) => self.response_arrives(model, index, Outcome::Rejected),
            Step::AttemptDropped(request, attempt) => {
                self.attempt_dropped(model, AttemptKey { request, attempt });
            }
            Step::AttemptWithdrawn(request, attempt) => {
                self.withdraw_attempt(model, AttemptKey { request, attempt });
            }
            Step::AttemptTimesOut(request, attempt) => {
                self.attempt_times_out(model, AttemptKey { request, attempt });
            }
            Step::WatchUpdated(index) => self.watch_updated(model, index),
            Step::ClockAdvances => self.advance_clock(model, model.clock_step),
            Step::FrontStalls => self.advance_clock(model, STALL),
            Step::TimerDue(cookie) => {
                self.timers.clear(cookie);
                self.feed(model, Input::Timer(cookie));
            }
            Step::Decision(ref action) => self.decide(model, action.clone()),
        }
    }

    /// Whether a step counts against [`RequestModel::max_faults`].
    fn is_fault(&self, step: &Step) -> bool {
        match step {
            // That the server closed the connection was the fault.
            Step::ConnectionBreaks(id) => self
                .connections
                .get(id)
                .is_some_and(|connection| !connection.is_closed_by_server()),
            Step::ClientDisconnects(_)
            | Step::ConnectionRefused(_)
            | Step::ServerCloses(_)
            | Step::UnsolicitedBytes(_)
            | Step::UnreadableResponse(_)
            | Step::ServerError(_)
            | Step::ServerRejects(_)
            | Step::FrontStalls => true,
            _ => false,
        }
    }

    /// A client sends its request.
    fn client_sends(&mut self, model: &RequestModel, client: usize) {
        let id = self.tracker.allocate_id();
        let deadline = self.now + model.requests[client].timeout;
        self.clients.send(client, id, deadline);
        self.feed(model, Input::RequestReceived(model.request(client, id)));
    }

    /// A client leaves before it has its answer.
    fn client_disconnects(&mut self, model: &RequestModel, client: usize) {
        if let Some(id) = self.clients.waiting_request(client) {
            self.clients.leave(client, id);
            self.feed(model, Input::ClientDisconnected(id));
        }
    }

    /// The grace period after a client's deadline is over.
    fn request_overdue(&mut self, model: &RequestModel, client: usize) {
        if let Some(id) = self.clients.waiting_request(client) {
            self.feed(model, Input::Overdue(id));
        }
    }

    /// A connection that was dialed is established.
    fn connection_established(&mut self, model: &RequestModel, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.establish();
        if let Some(attempt) = connection.attempt() {
            self.drive_attempt(model, attempt, AttemptEvent::Connected);
        }
    }

    /// Changes a connection, if it is still open.
    fn change_connection(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        self.connections.entry(id).and_modify(change);
    }

    /// The front drops an attempt that was cancelled.
    fn attempt_dropped(&mut self, model: &RequestModel, key: AttemptKey) {
        self.drop_attempt(key);
        let cancelled = Input::AttemptCancelled {
            id: key.request,
            attempt: key.attempt,
        };
        self.feed(model, cancelled);
    }

    /// The deadline of an attempt has passed.
    fn attempt_times_out(&mut self, model: &RequestModel, key: AttemptKey) {
        self.drop_attempt(key);
        let timed_out = Input::AttemptTimedOut {
            id: key.request,
            attempt: key.attempt,
        };
        self.feed(model, timed_out);
    }

    /// Time passes. Clock steps are not counted once no more requests may arrive.
    fn advance_clock(&mut self, model: &RequestModel, by: Nanos) {
        self.clock_steps = self
            .clock_steps
            .saturating_add(1)
            .min(model.max_clock_steps + 1);
        self.now += by;
    }

    /// The next update of the watch arrives.
    fn watch_updated(&mut self, model: &RequestModel, index: usize) {
        self.next_update += 1;
        match model.watch_updates[index] {
            WatchUpdate::WatchLost => {
                let lost = Input::Endpoints {
                    scope: UpdateScope::Unavailable,
                    nodes: Vec::new(),
                };
                self.feed(model, lost);
            }
            WatchUpdate::NodeDraining(node) => {
                self.nodes.set_listed(node, EndpointState::Draining);
                self.report_node(model, node);
            }
            WatchUpdate::NodeRemoved(node) => {
                self.nodes.set_listed(node, EndpointState::Removed);
                self.report_node(model, node);
            }
            WatchUpdate::ShardTakenOver(node, shard) => {
                self.start_node(node, shard);
                self.report_node(model, node);
            }
            WatchUpdate::AddressChanged(node) => {
                for id in self.pool.address_changed(node) {
                    self.close(id);
                }
            }
        }
    }

    /// A node starts and serves a shard.
    fn start_node(&mut self, node: NodeId, shard: ShardId) {
        self.nodes.start(node, shard, self.now);
        self.pool.add(node);
    }

    /// Discovery reports the present entry of a node.
    fn report_node(&mut self, model: &RequestModel, node: NodeId) {
        let update = Input::Endpoints {
            scope: UpdateScope::Update,
            nodes: vec![self.nodes.info(node)],
        };
        self.feed(model, update);
    }

    /// An unrestricted policy makes a decision.
    fn decide(&mut self, model: &RequestModel, action: Action) {
        let mut effects = Vec::new();
        self.tracker.apply_decision(self.now, action, &mut effects);
        self.apply_effects(model, effects, ResponseOrigin::NoResponse);
    }
}

/// Inputs and effects of the request tracker.
impl RequestState {
    /// Passes an input to the request tracker and carries out the effects.
    pub(super) fn feed(&mut self, model: &RequestModel, input: Input) {
        self.feed_from(model, input, ResponseOrigin::NoResponse);
    }

    /// Like [`RequestState::feed`], where the input comes with a response.
    pub(super) fn feed_from(&mut self, model: &RequestModel, input: Input, origin: ResponseOrigin) {
        let mut effects = Vec::new();
        self.tracker.on(self.now, input, &mut effects);
        self.apply_effects(model, effects, origin);
    }

    /// Carries out effects in their order.
    fn apply_effects(
        &mut self,
        model: &RequestModel,
        effects: Vec<Effect>,
        origin: ResponseOrigin,
    ) {
        for effect in effects {
            self.apply_effect(model, effect, origin);
        }
    }

    /// Carries out an effect.
    fn apply_effect(&mut self, model: &RequestModel, effect: Effect, origin: ResponseOrigin) {
        match effect {
            Effect::Send {
                id: request,
                attempt,
                node,
                deadline,
                ..
            } => {
                let key = AttemptKey { request, attempt };
                self.start_attempt(model, key, InFlightAttempt::new(node, deadline));
            }
            Effect::Cancel {
                id: request,
                attempt,
            } => {
                self.attempts
                    .entry(AttemptKey { request, attempt })
                    .and_modify(InFlightAttempt::cancel);
            }
            Effect::Withdraw {
                id: request,
                attempt,
                outcome,
            } => {
                self.attempts
                    .entry(AttemptKey { request, attempt })
                    .and_modify(|attempt| attempt.withdraw(outcome));
            }
            Effect::Answer { id, answer } => self.answer_client(model, id, answer, origin),
            Effect::Runtime(command) => self.run_command(command),
            Effect::Release(_) => {}
        }
    }

    /// Carries out a command of the policy to the code around it.
    fn run_command(&mut self, command: RuntimeCommand) {
        match command {
            RuntimeCommand::SetTimer { after, cookie } => self.timers.set(self.now + after, cookie),
            RuntimeCommand::ForgetNode(node) => self.forget_node(node),
            RuntimeCommand::Log { .. } | RuntimeCommand::Subscribe => {}
        }
    }

    /// The front forgets a node and closes its idle connections to it.
    fn forget_node(&mut self, node: NodeId) {
        self.violations.node_forgotten_in_use |= self.is_node_in_use(node);
        self.nodes.forget(node);
        for id in self.pool.remove(node) {
            self.close(id);
        }
    }

    /// The front answers a request.
    fn answer_client(
        &mut self,
        model: &RequestModel,
        request: RequestId,
        answer: FinalAnswer,
        origin: ResponseOrigin,
    ) {
        match self.clients.addressee_of(request) {
            Addressee::Nobody => self.violations.second_final_answer = true,
            Addressee::Left => self.violations.answer_after_client_left = true,
            Addressee::Waiting(client) => {
                let checked = CheckedAnswer {
                    client,
                    request,
                    answer,
                    origin,
                };
                self.check(|state, violations| {
                    checks::check_answer(model, state, checked, violations);
                });
                self.clients.answer(client, answer);
            }
        }
    }
}
