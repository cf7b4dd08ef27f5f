//! The steps that are possible in a state of the fleet limits model.
//!
//! The order in which steps are generated is part of the model: random walks choose by position.

use super::state::Link;
use super::{FleetLimitsModel, FleetLimitsState, Step, WARM_UP_ROUNDS};

impl FleetLimitsModel {
    /// Appends every step that is possible in a state.
    pub(super) fn generate(&self, state: &FleetLimitsState, steps: &mut Vec<Step>) {
        if state.round() >= WARM_UP_ROUNDS + self.rounds {
            return;
        }
        steps.push(Step::Round);
        for front in state.fronts() {
            if !state.is_started(front) {
                steps.push(Step::Start(front));
            } else if !state.is_running(front) {
                steps.push(Step::Continue(front));
            }
        }
        if state.has_cut_links() {
            steps.push(Step::Heal);
        }
        if state.faults_left() > 0 {
            generate_faults(state, steps);
        }
    }
}

/// Appends every fault that may occur between two rounds.
fn generate_faults(state: &FleetLimitsState, steps: &mut Vec<Step>) {
    for from in state.fronts() {
        if state.is_running(from) {
            steps.push(Step::Stop(from));
            steps.push(Step::Kill(from));
            steps.push(Step::Isolate(from));
        }
        for to in state.fronts().filter(|to| *to != from) {
            let link = Link { from, to };
            if state.is_cut(link) {
                continue;
            }
            steps.push(Step::CutLink(from, to));
            if !state.is_delayed(link) {
                steps.push(Step::DelayHeartbeat(from, to));
            }
        }
    }
}
