//! The steps that are possible in a state of the request model.
//!
//! The order in which steps are generated is part of the model: random walks choose by position.

use tulipbridge_core::request_tracker::InFlightRequest;
use tulipbridge_core::{Action, Nanos, NodeId, RequestId, RuntimeCommand, Semantics};

use super::attempt::AttemptKey;
use super::clients::ClientState;
use super::connection::{Connection, ConnectionId, Written};
use super::servers::ServerWork;
use super::{Fault, RequestModel, RequestState, Step, OVERDUE_GRACE};
use crate::policy::{KnownRequest, PolicyKind, PolicyUnderTest};
use crate::time::MS;

/// The retry-after time with which an unrestricted policy rejects requests.
const RETRY_AFTER: Nanos = 50 * MS;
/// The timeout of the attempts of an unrestricted policy: none but the client's deadline.
const NO_TIMEOUT: Nanos = 0;

impl Step {
    /// Whether the front acts on this before the clock advances.
    fn is_due(&self) -> bool {
        matches!(
            self,
            Step::TimerDue(_)
                | Step::AttemptTimesOut(..)
                | Step::DialTimesOut(_)
                | Step::RequestOverdue(_)
                | Step::AttemptDropped(..)
                | Step::AttemptWithdrawn(..)
        )
    }
}

/// Collects the steps that are possible in a state.
pub(super) struct StepGenerator<'a> {
    model: &'a RequestModel,
    state: &'a RequestState,
    steps: &'a mut Vec<Step>,
}

impl<'a> StepGenerator<'a> {
    /// A generator that appends to `steps`, which must be empty.
    pub(super) fn new(
        model: &'a RequestModel,
        state: &'a RequestState,
        steps: &'a mut Vec<Step>,
    ) -> StepGenerator<'a> {
        StepGenerator {
            model,
            state,
            steps,
        }
    }

    /// Appends every step that is possible in the state.
    pub(super) fn generate(mut self) {
        let next_client = self.next_client();
        self.steps.extend(next_client.map(Step::ClientSends));
        self.generate_client_steps();
        for (&id, connection) in self.state.connections() {
            self.generate_connection_steps(id, connection);
        }
        for (index, work) in self.state.servers().work().iter().enumerate() {
            self.generate_server_steps(index, work);
        }
        self.generate_attempt_steps();
        let next_update = self.state.next_update();
        if next_update < self.model.watch_updates.len() {
            self.steps.push(Step::WatchUpdated(next_update));
        }
        let due_timers = self.state.timers().due(self.state.now());
        self.steps.extend(due_timers.map(Step::TimerDue));
        self.generate_clock_steps(next_client.is_some());
        if self.model.policy == PolicyKind::Unrestricted {
            self.generate_decisions();
        }
    }

    /// Whether this fault may still occur.
    fn may_fail(&self, fault: Fault) -> bool {
        self.state.faults() < self.model.max_faults && self.model.faults.contains(&fault)
    }

    /// The client that may send its request now.
    fn next_client(&self) -> Option<usize> {
        let clients = self.state.clients();
        let is_its_turn = !self.model.sequential || !clients.any_waits();
        let may_send = is_its_turn && self.state.clock_steps() <= self.model.max_clock_steps;
        clients.next_to_send().filter(|_| may_send)
    }

    /// What clients that wait for their answers may do.
    fn generate_client_steps(&mut self) {
        for (client, client_state) in self.state.clients().states().iter().enumerate() {
            let ClientState::Waiting { deadline, .. } = client_state else {
                continue;
            };
            if self.may_fail(Fault::ClientDisconnects) {
                self.steps.push(Step::ClientDisconnects(client));
            }
            if self.state.now() >= deadline + OVERDUE_GRACE {
                self.steps.push(Step::RequestOverdue(client));
            }
        }
    }

    /// What may happen to a connection.
    fn generate_connection_steps(&mut self, id: ConnectionId, connection: &Connection) {
        if !connection.is_established() {
            self.generate_dial_steps(id, connection);
            return;
        }
        let closed_by_server = connection.is_closed_by_server();
        if connection.attempt().is_some() {
            self.generate_exchange_steps(id, connection);
        } else if !closed_by_server && self.may_fail(Fault::IdleConnectionClosed) {
            self.steps.push(Step::ServerCloses(id));
        }
        // After the last byte of a request, no front can distinguish unsolicited bytes from its
        // response.
        let may_arrive = !connection.has_unsolicited_bytes()
            && !closed_by_server
            && connection.written() != Written::All;
        if may_arrive && self.may_fail(Fault::UnsolicitedBytes) {
            self.steps.push(Step::UnsolicitedBytes(id));
        }
    }

    /// What may happen to a connection that is being dialed.
    fn generate_dial_steps(&mut self, id: ConnectionId, connection: &Connection) {
        self.steps.push(Step::ConnectionEstablished(id));
        if self.may_fail(Fault::ConnectionRefused) {
            self.steps.push(Step::ConnectionRefused(id));
        }
        if self.state.now() >= connection.since() + self.model.dial_timeout() {
            self.steps.push(Step::DialTimesOut(id));
        }
    }

    /// What may happen to an established connection that an attempt uses.
    fn generate_exchange_steps(&mut self, id: ConnectionId, connection: &Connection) {
        let closed_by_server = connection.is_closed_by_server();
        if connection.written() != Written::All && !closed_by_server {
            if connection.written() == Written::Nothing {
                self.steps.push(Step::PartWritten(id));
            }
            self.steps.push(Step::LastByteWritten(id));
        }
        // A connection that the server closed while it was idle breaks when the front writes to it.
        if closed_by_server || self.may_fail(Fault::ConnectionBreaks) {
            self.steps.push(Step::ConnectionBreaks(id));
        }
        if connection.has_unsolicited_bytes() {
            self.steps.push(Step::UnsolicitedBytesRead(id));
        }
    }

    /// What a server may do with a request that it has received.
    fn generate_server_steps(&mut self, index: usize, work: &ServerWork) {
        if !work.is_executed() {
            self.steps.push(Step::ServerExecutes(index));
        }
        if work.is_orphaned() {
            if !work.is_executed() {
                self.steps.push(Step::ServerDrops(index));
            }
            return;
        }
        if work.is_executed() {
            self.steps.push(Step::ResponseArrives(index));
        }
        if work.is_executed() && self.may_fail(Fault::UnreadableResponse) {
            self.steps.push(Step::UnreadableResponse(index));
        }
        if self.may_fail(Fault::ServerError) {
            self.steps.push(Step::ServerError(index));
        }
        if !work.is_executed() && self.may_fail(Fault::ServerRejects) {
            self.steps.push(Step::ServerRejects(index));
        }
    }

    /// What the front may do with its attempts, other than on connections.
    fn generate_attempt_steps(&mut self) {
        for (&AttemptKey { request, attempt }, state) in self.state.attempts() {
            if state.is_cancelled() {
                self.steps.push(Step::AttemptDropped(request, attempt));
            } else if state.withdrawn().is_some() && state.is_dialing() {
                self.steps.push(Step::AttemptWithdrawn(request, attempt));
            }
            if self.state.now() >= state.deadline() {
                self.steps.push(Step::AttemptTimesOut(request, attempt));
            }
        }
    }

    /// The clock advances only after all that is due is done, so that nothing is late by more than
    /// one clock step.
    fn generate_clock_steps(&mut self, client_may_send: bool) {
        if self.steps.iter().any(Step::is_due) {
            return;
        }
        let clock_steps_left = self.state.clock_steps() < self.model.max_clock_steps;
        if self.state.is_busy() || client_may_send && clock_steps_left {
            self.steps.push(Step::ClockAdvances);
            if self.may_fail(Fault::FrontStalls) {
                self.steps.push(Step::FrontStalls);
            }
        }
    }
}

/// Decisions of an unrestricted policy.
impl StepGenerator<'_> {
    /// Appends every decision that the rules allow, given what the front can know.
    fn generate_decisions(&mut self) {
        let PolicyUnderTest::Unrestricted(known) = self.state.tracker().decisions() else {
            return;
        };
        let nodes = self.state.nodes();
        for node in nodes.ids() {
            let may_be_forgotten = nodes.is_removed(node) && !nodes.is_forgotten(node);
            if may_be_forgotten && !self.state.is_node_in_use(node) {
                self.decide(Action::Runtime(RuntimeCommand::ForgetNode(node)));
            }
        }
        for (&id, request) in self.state.tracker().requests() {
            if let Some(known) = known.get(&id) {
                self.generate_request_decisions(id, request, known);
            }
        }
    }

    /// Appends a decision.
    fn decide(&mut self, action: Action) {
        self.steps.push(Step::Decision(action));
    }

    /// Appends every decision about a request.
    fn generate_request_decisions(
        &mut self,
        id: RequestId,
        request: &InFlightRequest,
        known: &KnownRequest,
    ) {
        self.generate_cancellations(id, request);
        let attempts_left = request.attempts_started < self.model.settings.max_attempts;
        if request.answered {
            // A decision may come late: the request tracker must send nothing for an answered
            // request.
            if attempts_left {
                self.decide(send(id, NodeId(0)));
            }
            return;
        }
        let class = &self.model.settings.classes[known.class];
        let at_most_once = class.semantics == Semantics::AtMostOnce;
        let none_in_flight = request.in_flight.is_empty();
        if none_in_flight && attempts_left && !(at_most_once && known.may_have_run) {
            self.generate_sends(id);
        }
        let may_still_run = known.may_have_run || !none_in_flight;
        if !at_most_once || !may_still_run {
            self.decide(Action::Reject {
                id,
                retry_after: RETRY_AFTER,
            });
        }
        self.decide(Action::Fail(id));
    }

    /// Appends the cancellation of each attempt of a request that is not cancelled yet.
    fn generate_cancellations(&mut self, id: RequestId, request: &InFlightRequest) {
        for in_flight in &request.in_flight {
            if !in_flight.cancelled {
                let attempt = in_flight.attempt;
                self.decide(Action::Cancel { id, attempt });
            }
        }
    }

    /// Appends an attempt of a request to each node that is up.
    fn generate_sends(&mut self, id: RequestId) {
        let nodes = self.state.nodes();
        for node in nodes.ids() {
            if nodes.is_up(node) {
                self.decide(send(id, node));
            }
        }
    }
}

/// The decision to start an attempt of a request to a node.
fn send(id: RequestId, node: NodeId) -> Action {
    Action::Send {
        id,
        node,
        timeout: NO_TIMEOUT,
    }
}
