//! A model of the connections from clients: clients connect, send all, a part or nothing of a
//! request, and close; the front accepts, reads, responds and evicts; SIGTERM arrives at any time.
//!
//! The state machines in it are those that ship: [`ConnectionLimiter`], [`ClientConnection`] and
//! [`GracefulShutdown`], driven as the listener of the front drives them.
//!
//! [`ConnectionLimiter`]: tulipbridge_core::connection_limiter::ConnectionLimiter
//! [`ClientConnection`]: tulipbridge_core::client_connection::ClientConnection
//! [`GracefulShutdown`]: tulipbridge_core::graceful_shutdown::GracefulShutdown

mod connection;
mod front;
mod state;
mod step;
mod step_generation;

use tulipbridge_core::Nanos;

use crate::model::{Model, ModelSummary};
use crate::properties::Violations;
use crate::time::MS;

pub use state::ClientConnectionState;
pub use step::Step;
use step_generation::StepGenerator;

/// The clock advances by one of these: a poll during shutdown, the quiet time after which a front
/// that shuts down stops accepting, and parts of the timeouts of a first and of a later request.
const CLOCK_STEPS: [Nanos; 4] = [20 * MS, 220 * MS, 700 * MS, 3_000 * MS];
/// Ages are hashed up to this one, which is past every timeout.
const MAX_HASHED_AGE: Nanos = 70_000 * MS;
/// How late the front may act: the longest clock step.
const MAX_DELAY: Nanos = 3_000 * MS;
/// From connecting until the first request must be complete, and from the first byte of a later
/// one.
const REQUEST_TIMEOUT: Nanos = 3_000 * MS;
/// The longest deadline of a request.
const LONGEST_DEADLINE: Nanos = 3_000 * MS;
/// The front exits within this after SIGTERM.
const MAX_EXIT_TIME: Nanos = 3_400 * MS;

/// A configuration of the model.
#[derive(Clone, Debug)]
pub struct ClientConnectionModel {
    /// How the commands list it.
    pub summary: ModelSummary,
    /// Number of clients, each with at most one connection.
    pub clients: usize,
    /// Largest number of requests that a client sends.
    pub max_requests: u8,
    /// Largest number of connections that the front serves.
    pub max_connections: usize,
    /// Largest number of further connections, which the front accepts only to reject their
    /// requests.
    pub max_rejected_connections: usize,
    /// Largest number of clock steps in one history before SIGTERM.
    pub max_clock_steps: u8,
    /// Whether SIGTERM may arrive.
    pub may_shut_down: bool,
}

impl ClientConnectionModel {
    /// Largest number of open connections, whether served or rejected.
    fn max_open_connections(&self) -> usize {
        self.max_connections + self.max_rejected_connections
    }
}

impl Model for ClientConnectionModel {
    type State = ClientConnectionState;
    type Step = Step;

    fn summary(&self) -> ModelSummary {
        self.summary
    }

    fn initial_state(&self) -> ClientConnectionState {
        ClientConnectionState::new(self)
    }

    fn generate_steps(&self, state: &ClientConnectionState, steps: &mut Vec<Step>) {
        StepGenerator::new(self, state, steps).generate();
    }

    fn apply(&self, state: &ClientConnectionState, step: &Step) -> ClientConnectionState {
        let mut next = state.clone();
        next.take(self, *step);
        next.check(self);
        next
    }

    fn violations(state: &ClientConnectionState) -> &Violations {
        state.violations()
    }
}

/// Time since a moment as the hash of a state holds it, limited to [`MAX_HASHED_AGE`].
fn hashed_age(now: Nanos, moment: Nanos) -> Nanos {
    (now - moment).min(MAX_HASHED_AGE)
}
