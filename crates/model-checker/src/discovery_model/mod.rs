//! A model of the watch on discovery: discovery is down, refuses calls, or responds late or never;
//! watches fall silent or break; a new configuration names another discovery; the scheduler
//! requests the endpoint list at any time or never.
//!
//! The state machine in it is the one that ships:
//! [`DiscoveryWatch`](tulipbridge_core::discovery_watch::DiscoveryWatch). The clock advances by a
//! fixed step, and only after everything that is due has been done.

mod state;
mod step;
mod step_generation;

use tulipbridge_core::Nanos;

use crate::model::{Model, ModelSummary};
use crate::properties::Violations;
use crate::time::MS;

pub use state::DiscoveryState;
pub use step::Step;

/// Time that passes in [`Step::ClockAdvances`].
const CLOCK_STEP: Nanos = 250 * MS;
/// Discovery answers a call within this.
const MAX_CALL_TIME: Nanos = 2_000 * MS;
/// A watch that works sends a heartbeat at least this often.
const HEARTBEAT_INTERVAL: Nanos = 2_000 * MS;

/// A configuration of the model.
#[derive(Clone, Debug)]
pub struct DiscoveryModel {
    /// How the commands list it.
    pub summary: ModelSummary,
    /// Position of the front's calls within their jitter, from 0 to 1.
    pub jitter: f64,
    /// Largest number of clock steps in one history.
    pub max_clock_steps: u8,
    /// Largest number of faults in one history.
    pub max_faults: u8,
}

impl Model for DiscoveryModel {
    type State = DiscoveryState;
    type Step = Step;

    fn summary(&self) -> ModelSummary {
        self.summary
    }

    fn initial_state(&self) -> DiscoveryState {
        DiscoveryState::new(self.jitter)
    }

    fn generate_steps(&self, state: &DiscoveryState, steps: &mut Vec<Step>) {
        self.generate(state, steps);
    }

    fn apply(&self, state: &DiscoveryState, step: &Step) -> DiscoveryState {
        let mut next = state.clone();
        next.take(*step);
        next
    }

    fn violations(state: &DiscoveryState) -> &Violations {
        state.violations()
    }
}
