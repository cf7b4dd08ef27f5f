//! The steps that are possible in a state of the client connection model.
//!
//! The order in which steps are generated is part of the model: random walks choose by position.

use std::ops::Range;

use tulipbridge_core::client_connection::{ClientConnection, Phase};
use tulipbridge_core::graceful_shutdown::ShutdownStep;

use super::state::{ClientState, ConnectionId, FrontState, RequestProgress, Shutdown, Socket};
use super::{ClientConnectionModel, State, Step, CLOCK_STEPS};

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

impl ClientConnectionModel {
    /// Appends every step that is possible in a state.
    pub(super) fn generate(&self, state: &State, steps: &mut Vec<Step>) {
        if state.front == FrontState::Exited {
            return;
        }
        self.generate_client_steps(state, steps);
        if has_queued_client(state) && state.front.is_accepting() && state.can_accept() {
            steps.push(Step::FrontAccepts);
        }
        for (&id, socket) in &state.sockets {
            if let Some(connection) = state.connections.get(&id) {
                generate_connection_steps(state, id, socket, connection, steps);
            }
        }
        match &state.front {
            FrontState::Serving => {
                if state.connections.keys().any(|id| state.has_timed_out(*id)) {
                    steps.push(Step::TimeoutsChecked);
                }
                if self.may_shut_down {
                    steps.push(Step::Sigterm);
                }
            }
            FrontState::ShuttingDown(shutdown) => steps.extend(shutdown_step(state, shutdown)),
            FrontState::Exited => {}
        }
        self.generate_clock_steps(state, steps);
    }

    fn generate_client_steps(&self, state: &State, steps: &mut Vec<Step>) {
        let next_client = state
            .clients
            .iter()
            .position(|client| *client == ClientState::NotConnected);
        if let Some(client) = next_client.filter(|_| state.front.is_accepting()) {
            steps.push(Step::ClientConnects(client));
        }
        for (client, client_state) in state.clients.iter().enumerate() {
            let ClientState::Connected(id) = client_state else {
                continue;
            };
            let Some(socket) = state.sockets.get(id) else {
                continue;
            };
            let may_send = socket.answered < self.max_requests && !socket.closing;
            if may_send && socket.sent < RequestProgress::Complete {
                steps.push(Step::ClientSendsPart(client));
                if socket.sent < RequestProgress::Head {
                    steps.push(Step::ClientSendsRest(client));
                }
            }
            steps.push(Step::ClientCloses(client));
        }
    }

    /// The clock advances only after the front has done what it can do at once.
    fn generate_clock_steps(&self, state: &State, steps: &mut Vec<Step>) {
        if steps.iter().any(Step::is_due) {
            return;
        }
        if state.front.is_shutting_down() {
            steps.extend(SHUTDOWN_CLOCK_STEPS.map(Step::ClockAdvances));
        } else if state.clock_steps < self.max_clock_steps {
            steps.extend((0..CLOCK_STEPS.len()).map(Step::ClockAdvances));
        }
    }
}

fn has_queued_client(state: &State) -> bool {
    state.clients.contains(&ClientState::Queued)
}

fn generate_connection_steps(
    state: &State,
    id: ConnectionId,
    socket: &Socket,
    connection: &ClientConnection,
    steps: &mut Vec<Step>,
) {
    if socket.closing {
        steps.push(Step::LingeringEnds(id));
        return;
    }
    let phase = connection.phase().0;
    if phase == Phase::Responding {
        steps.push(Step::FrontResponds(id));
    } else if socket.has_unread_bytes() {
        steps.push(Step::FrontReads(id));
    }
    if phase == Phase::ReadingBody && state.now >= connection.request_deadline() {
        steps.push(Step::BodyTimesOut(id));
    }
    let has_no_open_request = matches!(
        phase,
        Phase::New | Phase::ReadingHead | Phase::ReadingBody | Phase::Idle
    );
    let is_arriving = connection.is_arriving(state.now, state.has_unread_bytes(id));
    if state.front.is_draining() && has_no_open_request && !is_arriving {
        steps.push(Step::DrainedConnectionClosed(id));
    }
}

/// The step for which the shutdown waits, once its time has come.
fn shutdown_step(state: &State, shutdown: &Shutdown) -> Option<Step> {
    match shutdown.step {
        ShutdownStep::Accept(quiet_time) => {
            let is_quiet = !has_queued_client(state) && state.now >= shutdown.since + quiet_time;
            is_quiet.then_some(Step::AcceptTimesOut)
        }
        ShutdownStep::Wait(interval) => {
            (state.now >= shutdown.since + interval).then_some(Step::ShutdownPolled)
        }
        ShutdownStep::StopAccepting | ShutdownStep::Exit => None,
    }
}
