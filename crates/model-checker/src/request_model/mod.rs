//! A model of one front-end process with its clients, servers, network, endpoint list and clock.
//!
//! The state machines in it are those that ship:
//! [`RequestTracker`](tulipbridge_core::request_tracker::RequestTracker),
//! [`Attempt`](tulipbridge_core::attempt::Attempt),
//! [`ServerConnection`](tulipbridge_core::server_connection::ServerConnection) and
//! [`ConnectionPool`](tulipbridge_core::connection_pool::ConnectionPool), driven either by the real
//! [`Scheduler`](tulipbridge_core::Scheduler) or by every decision that the rules allow. The model
//! takes the place of the asynchronous code around them. It also records what the front cannot
//! know: which bytes really went out, and which requests a server really executed.

mod attempt;
mod checks;
mod clients;
mod config;
mod connection;
mod nodes;
mod servers;
mod state;
mod step;
mod step_generation;
mod timers;

use tulipbridge_core::Nanos;

use crate::model::{Model, ModelSummary};
use crate::properties::Violations;
use crate::time::MS;

pub use config::{ClientRequest, Fault, RequestModel, WatchUpdate};
pub use state::RequestState;
pub use step::Step;
use step_generation::StepGenerator;

/// Grace period after a client's deadline; then the request tracker answers the request itself.
const OVERDUE_GRACE: Nanos = 20 * MS;
/// How long the machine of the front stalls in [`Step::FrontStalls`].
const STALL: Nanos = 220 * MS;

impl Model for RequestModel {
    type State = RequestState;
    type Step = Step;

    fn summary(&self) -> ModelSummary {
        self.summary
    }

    fn initial_state(&self) -> RequestState {
        RequestState::new(self)
    }

    fn generate_steps(&self, state: &RequestState, steps: &mut Vec<Step>) {
        StepGenerator::new(self, state, steps).generate();
    }

    /// A panic of the state machines is a violation of its own, and leaves the rest of the state as
    /// it was.
    fn apply(&self, state: &RequestState, step: &Step) -> RequestState {
        let applied = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let mut next = state.clone();
            next.take(self, step);
            next.check(|state, violations| checks::check_state(self, state, violations));
            next
        }));
        applied.unwrap_or_else(|_| {
            let mut next = state.clone();
            next.record_panic();
            next
        })
    }

    fn violations(state: &RequestState) -> &Violations {
        state.violations()
    }
}
