//! A model of limits that a fleet of fronts shares: every order of lost, late and repeated
//! heartbeats, and of fronts that are stopped, killed and restarted, within a number of rounds.
//!
//! A round is a heartbeat interval: time passes, and every running front sends its heartbeats, one
//! front after another. Heartbeats that are not delayed arrive at once. Faults occur between
//! rounds, up to a number of them. Clocks do not drift in this model; the simulations of the
//! testbed cover that.
//!
//! The state machine in it is the one that ships:
//! [`LimitCoordinator`](tulipbridge_fleet_limits::LimitCoordinator).

mod state;
mod step;
mod step_generation;

use crate::model::{Model, ModelSummary};
use crate::properties::Violations;

pub use state::FleetLimitsState;
pub use step::Step;

/// Number of rounds by which a delayed heartbeat is late.
const DELAY_ROUNDS: u8 = 3;
/// Rounds before the search begins: by then the shares are distributed.
const WARM_UP_ROUNDS: u8 = 12;

/// A configuration of the model.
#[derive(Clone, Debug)]
pub struct FleetLimitsModel {
    /// How the commands list it.
    pub summary: ModelSummary,
    /// Number of fronts.
    pub fronts: u16,
    /// Number of rounds to explore, after the warm-up.
    pub rounds: u8,
    /// Largest number of faults in one history.
    pub max_faults: u8,
}

impl Model for FleetLimitsModel {
    type State = FleetLimitsState;
    type Step = Step;

    fn summary(&self) -> ModelSummary {
        self.summary
    }

    fn initial_state(&self) -> FleetLimitsState {
        let mut state = FleetLimitsState::new(self.fronts, self.max_faults);
        for _ in 0..WARM_UP_ROUNDS {
            state.run_round();
        }
        state
    }

    fn generate_steps(&self, state: &FleetLimitsState, steps: &mut Vec<Step>) {
        self.generate(state, steps);
    }

    fn apply(&self, state: &FleetLimitsState, step: &Step) -> FleetLimitsState {
        let mut next = state.clone();
        next.take(step);
        next.check();
        next
    }

    fn violations(state: &FleetLimitsState) -> &Violations {
        state.violations()
    }
}
