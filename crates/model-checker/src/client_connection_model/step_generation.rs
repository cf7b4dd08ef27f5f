//! The steps that are possible in a state of the client connection model.
//!
//! The order in which steps are generated is part of the model: random walks choose by position.

use std::ops::Range;

use tulipbridge_core::client_connection::Phase;
use tulipbridge_core::graceful_shutdown::ShutdownStep;

use super::connection::{Connection, ConnectionId, RequestProgress};
use super::front::{FrontState, Shutdown};
use super::state::ClientState;
use super::{ClientConnectionModel, ClientConnectionState, Step, CLOCK_STEPS};

/// Indexes of the clock steps during shutdown. A poll may be late as well: its short interval would
/// only multiply the states.
const SHUTDOWN_CLOCK_STEPS: Range<usize> = 1..3;

impl Step {
    /// Whether the front does this at once, before the clock advances.
    fn is_due(&self) -> bool {
        matches!(
            self,
            Step::TimeoutsChecked
                | Step::BodyTimesOut(_)
                | Step::FrontAccepts
                | Step::FrontReads(_)
                | Step::AcceptTimesOut
                | Step::ShutdownPolled
        )
    }
}

/// Collects the steps that are possible in a state.
pub(super) struct StepGenerator<'a> {
    model: &'a ClientConnectionModel,
    state: &'a ClientConnectionState,
    steps: &'a mut Vec<Step>,
}

impl<'a> StepGenerator<'a> {
    /// A generator that appends to `steps`, which must be empty.
    pub(super) fn new(
        model: &'a ClientConnectionModel,
        state: &'a ClientConnectionState,
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
        let state = self.state;
        if *state.front() == FrontState::Exited {
            return;
        }
        self.generate_client_steps();
        if state.has_queued_client() && state.front().is_accepting() && state.can_accept() {
            self.steps.push(Step::FrontAccepts);
        }
        for (&id, connection) in state.connections() {
            self.generate_connection_steps(id, connection);
        }
        match state.front() {
            FrontState::Serving => self.generate_serving_steps(),
            FrontState::ShuttingDown(shutdown) => {
                let shutdown_step = self.shutdown_step(shutdown);
                self.steps.extend(shutdown_step);
            }
            FrontState::Exited => {}
        }
        self.generate_clock_steps();
    }

    /// What the clients may do.
    fn generate_client_steps(&mut self) {
        let clients = self.state.clients();
        let next_client = clients
            .iter()
            .position(|client| *client == ClientState::NotConnected);
        if let Some(client) = next_client.filter(|_| self.state.front().is_accepting()) {
            self.steps.push(Step::ClientConnects(client));
        }
        for (client, client_state) in clients.iter().enumerate() {
            let ClientState::Connected(id) = client_state else {
                continue;
            };
            if let Some(connection) = self.state.connections().get(id) {
                self.generate_connected_client_steps(client, connection);
            }
        }
    }

    /// What a client with a connection may do.
    fn generate_connected_client_steps(&mut self, client: usize, connection: &Connection) {
        let requests_left = connection.answered() < self.model.max_requests;
        let may_send = requests_left && !connection.is_closing();
        if may_send && connection.sent() < RequestProgress::Complete {
            self.steps.push(Step::ClientSendsPart(client));
            if connection.sent() < RequestProgress::Head {
                self.steps.push(Step::ClientSendsRest(client));
            }
        }
        self.steps.push(Step::ClientCloses(client));
    }

    /// What the front may do with a connection.
    fn generate_connection_steps(&mut self, id: ConnectionId, connection: &Connection) {
        if connection.is_closing() {
            self.steps.push(Step::LingeringEnds(id));
            return;
        }
        let now = self.state.now();
        let phase = connection.phase();
        if phase == Phase::Responding {
            self.steps.push(Step::FrontResponds(id));
        } else if connection.has_unread_bytes() {
            self.steps.push(Step::FrontReads(id));
        }
        if phase == Phase::ReadingBody && now >= connection.machine().request_deadline() {
            self.steps.push(Step::BodyTimesOut(id));
        }
        let has_no_open_request = matches!(
            phase,
            Phase::New | Phase::ReadingHead | Phase::ReadingBody | Phase::Idle
        );
        let is_draining = self.state.front().is_draining();
        if is_draining && has_no_open_request && !connection.is_arriving(now) {
            self.steps.push(Step::DrainedConnectionClosed(id));
        }
    }

    /// What may happen to a front that serves.
    fn generate_serving_steps(&mut self) {
        if self.state.any_timed_out() {
            self.steps.push(Step::TimeoutsChecked);
        }
        if self.model.may_shut_down {
            self.steps.push(Step::Sigterm);
        }
    }

    /// The step for which the shutdown waits, once its time has come.
    fn shutdown_step(&self, shutdown: &Shutdown) -> Option<Step> {
        let waited = self.state.now() - shutdown.step_since();
        match shutdown.step() {
            ShutdownStep::Accept(quiet_time) => {
                let is_quiet = !self.state.has_queued_client() && waited >= quiet_time;
                is_quiet.then_some(Step::AcceptTimesOut)
            }
            ShutdownStep::Wait(interval) => (waited >= interval).then_some(Step::ShutdownPolled),
            ShutdownStep::StopAccepting | ShutdownStep::Exit => None,
        }
    }

    /// The clock advances only after the front has done what it can do at once.
    fn generate_clock_steps(&mut self) {
        if self.steps.iter().any(Step::is_due) {
            return;
        }
        if self.state.front().is_shutting_down() {
            self.steps
                .extend(SHUTDOWN_CLOCK_STEPS.map(Step::ClockAdvances));
        } else if self.state.clock_steps() < self.model.max_clock_steps {
            self.steps
                .extend((0..CLOCK_STEPS.len()).map(Step::ClockAdvances));
        }
    }
}
