//! The steps that are possible in a state of the request model.
//!
//! The order in which steps are generated is part of the model: random walks choose by position.

use tulipbridge_core::attempt::Attempt;
use tulipbridge_core::request_tracker::InFlightRequest;
use tulipbridge_core::{Action, Listed, Nanos, NodeId, RequestId, RuntimeCommand, Semantics};

use super::state::{AttemptKey, ClientState, Connection, ConnectionId, Written};
use super::{Fault, RequestModel, State, Step, OVERDUE_GRACE};
use crate::policy::{KnownRequest, PolicyKind, PolicyUnderTest};
use crate::time::MS;

/// The retry-after time with which an unrestricted policy rejects requests.
const RETRY_AFTER: Nanos = 50 * MS;

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

impl RequestModel {
    /// Appends every step that is possible in a state.
    pub(super) fn generate(&self, state: &State, steps: &mut Vec<Step>) {
        let next_client = self.next_client(state);
        steps.extend(next_client.map(Step::ClientSends));
        self.generate_client_steps(state, steps);
        for (&id, connection) in &state.connections {
            self.generate_connection_steps(state, id, connection, steps);
        }
        self.generate_server_steps(state, steps);
        generate_attempt_steps(state, steps);
        if state.next_update < self.watch_updates.len() {
            steps.push(Step::WatchUpdated(state.next_update));
        }
        let due_timers = state.timers.iter().filter(|timer| state.now >= timer.due);
        steps.extend(due_timers.map(|timer| Step::TimerDue(timer.cookie)));
        self.generate_clock_steps(state, next_client.is_some(), steps);
        if self.policy == PolicyKind::Unrestricted {
            self.generate_decisions(state, steps);
        }
    }

    /// Whether this fault may still occur.
    fn may_fail(&self, state: &State, fault: Fault) -> bool {
        state.faults < self.max_faults && self.faults.contains(&fault)
    }

    /// The client that may send its request now.
    fn next_client(&self, state: &State) -> Option<usize> {
        let is_its_turn = !self.sequential || !state.any_client_waits();
        let may_send = is_its_turn && state.clock_steps <= self.max_clock_steps;
        let next = state
            .clients
            .iter()
            .position(|client| *client == ClientState::NotStarted);
        next.filter(|_| may_send)
    }

    fn generate_client_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (client, client_state) in state.clients.iter().enumerate() {
            let ClientState::Waiting { deadline, .. } = client_state else {
                continue;
            };
            if self.may_fail(state, Fault::ClientDisconnects) {
                steps.push(Step::ClientDisconnects(client));
            }
            if state.now >= deadline + OVERDUE_GRACE {
                steps.push(Step::RequestOverdue(client));
            }
        }
    }

    fn generate_connection_steps(
        &self,
        state: &State,
        id: ConnectionId,
        connection: &Connection,
        steps: &mut Vec<Step>,
    ) {
        if !connection.established {
            self.generate_dial_steps(state, id, connection, steps);
            return;
        }
        if connection.attempt.is_some() {
            self.generate_exchange_steps(state, id, connection, steps);
        } else if !connection.closed_by_server && self.may_fail(state, Fault::IdleConnectionClosed)
        {
            steps.push(Step::ServerCloses(id));
        }
        // After the last byte of a request, unsolicited bytes cannot be told from its response: no
        // front can detect it.
        let may_arrive = !connection.unsolicited_bytes
            && !connection.closed_by_server
            && connection.written != Written::All;
        if may_arrive && self.may_fail(state, Fault::UnsolicitedBytes) {
            steps.push(Step::UnsolicitedBytes(id));
        }
    }

    fn generate_dial_steps(
        &self,
        state: &State,
        id: ConnectionId,
        connection: &Connection,
        steps: &mut Vec<Step>,
    ) {
        steps.push(Step::ConnectionEstablished(id));
        if self.may_fail(state, Fault::ConnectionRefused) {
            steps.push(Step::ConnectionRefused(id));
        }
        if state.now >= connection.since + self.dial_timeout() {
            steps.push(Step::DialTimesOut(id));
        }
    }

    fn generate_exchange_steps(
        &self,
        state: &State,
        id: ConnectionId,
        connection: &Connection,
        steps: &mut Vec<Step>,
    ) {
        if connection.written != Written::All && !connection.closed_by_server {
            if connection.written == Written::Nothing {
                steps.push(Step::PartWritten(id));
            }
            steps.push(Step::LastByteWritten(id));
        }
        // A connection that the server closed while it was idle breaks when the front writes to it.
        if connection.closed_by_server || self.may_fail(state, Fault::ConnectionBreaks) {
            steps.push(Step::ConnectionBreaks(id));
        }
        if connection.unsolicited_bytes {
            steps.push(Step::UnsolicitedBytesRead(id));
        }
    }

    fn generate_server_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (index, work) in state.server_work.iter().enumerate() {
            if !work.executed {
                steps.push(Step::ServerExecutes(index));
            }
            if work.orphaned {
                if !work.executed {
                    steps.push(Step::ServerDrops(index));
                }
                continue;
            }
            if work.executed {
                steps.push(Step::ResponseArrives(index));
            }
            if work.executed && self.may_fail(state, Fault::UnreadableResponse) {
                steps.push(Step::UnreadableResponse(index));
            }
            if self.may_fail(state, Fault::ServerError) {
                steps.push(Step::ServerError(index));
            }
            if !work.executed && self.may_fail(state, Fault::ServerRejects) {
                steps.push(Step::ServerRejects(index));
            }
        }
    }

    /// The clock advances only after all that is due is done, so that nothing is late by more than
    /// one clock step.
    fn generate_clock_steps(&self, state: &State, client_may_send: bool, steps: &mut Vec<Step>) {
        if steps.iter().any(Step::is_due) {
            return;
        }
        let client_may_send_later = client_may_send && state.clock_steps < self.max_clock_steps;
        if state.is_busy() || client_may_send_later {
            steps.push(Step::ClockAdvances);
            if self.may_fail(state, Fault::FrontStalls) {
                steps.push(Step::FrontStalls);
            }
        }
    }

    /// Every decision that the rules allow, given what the front can know.
    fn generate_decisions(&self, state: &State, steps: &mut Vec<Step>) {
        let PolicyUnderTest::Unrestricted(known) = state.tracker.decisions() else {
            return;
        };
        for (node, node_state) in state.nodes.iter().enumerate() {
            let in_use = state
                .attempts
                .values()
                .any(|attempt| attempt.node == NodeId(node));
            if node_state.listed == Listed::Removed && !node_state.forgotten && !in_use {
                let forget = RuntimeCommand::ForgetNode(NodeId(node));
                steps.push(Step::Decision(Action::Runtime(forget)));
            }
        }
        for (&id, request) in state.tracker.requests() {
            if let Some(known) = known.get(&id) {
                self.generate_request_decisions(state, id, request, known, steps);
            }
        }
    }

    fn generate_request_decisions(
        &self,
        state: &State,
        id: RequestId,
        request: &InFlightRequest,
        known: &KnownRequest,
        steps: &mut Vec<Step>,
    ) {
        for attempt in request
            .in_flight
            .iter()
            .filter(|attempt| !attempt.cancelled)
        {
            steps.push(Step::Decision(Action::Cancel {
                id,
                attempt: attempt.attempt,
            }));
        }
        let attempts_left = request.attempts_started < self.settings.max_attempts;
        if request.answered {
            // A decision may come late: the request tracker must send nothing for an answered
            // request.
            if attempts_left {
                steps.push(Step::Decision(Action::Send {
                    id,
                    node: NodeId(0),
                    timeout: 0,
                }));
            }
            return;
        }
        let at_most_once = self.settings.classes[known.class].semantics == Semantics::AtMostOnce;
        let none_in_flight = request.in_flight.is_empty();
        if none_in_flight && attempts_left && !(at_most_once && known.may_have_run) {
            for (node, node_state) in state.nodes.iter().enumerate() {
                if node_state.listed == Listed::Up {
                    steps.push(Step::Decision(Action::Send {
                        id,
                        node: NodeId(node),
                        timeout: 0,
                    }));
                }
            }
        }
        let may_still_run = known.may_have_run || !none_in_flight;
        if !at_most_once || !may_still_run {
            steps.push(Step::Decision(Action::Reject {
                id,
                retry_after: RETRY_AFTER,
            }));
        }
        steps.push(Step::Decision(Action::Fail(id)));
    }
}

fn generate_attempt_steps(state: &State, steps: &mut Vec<Step>) {
    for (&AttemptKey { request, attempt }, attempt_state) in &state.attempts {
        let is_dialing = attempt_state.machine == Attempt::Dialing;
        if attempt_state.cancelled {
            steps.push(Step::AttemptDropped(request, attempt));
        } else if attempt_state.withdrawn.is_some() && is_dialing {
            steps.push(Step::AttemptWithdrawn(request, attempt));
        }
        if state.now >= attempt_state.deadline {
            steps.push(Step::AttemptTimesOut(request, attempt));
        }
    }
}
