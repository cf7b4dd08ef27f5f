//! The steps that are possible in a state of the discovery model.
//!
//! The order in which steps are generated is part of the model: random walks choose by position.

use super::{DiscoveryModel, DiscoveryState, Step};

impl DiscoveryModel {
    /// Appends every step that is possible in a state.
    pub(super) fn generate(&self, state: &DiscoveryState, steps: &mut Vec<Step>) {
        if state.is_timer_due() {
            steps.push(Step::TimerDue);
        }
        if state.live_call().is_some() {
            steps.push(if state.is_discovery_up() {
                Step::CallSucceeds
            } else {
                Step::CallRefused
            });
        }
        if state.is_heartbeat_due() {
            steps.push(Step::Heartbeat);
        }
        steps.push(Step::ListRequested);
        if !state.is_discovery_up() {
            steps.push(Step::DiscoveryUp);
        }
        if state.faults() < self.max_faults {
            generate_faults(state, steps);
        }
        let anything_due =
            state.is_timer_due() || state.is_heartbeat_due() || state.is_call_answer_due();
        if !anything_due && state.clock_steps() < self.max_clock_steps {
            steps.push(Step::ClockAdvances);
        }
    }
}

/// Appends every fault that may occur.
fn generate_faults(state: &DiscoveryState, steps: &mut Vec<Step>) {
    if state.has_channel() {
        steps.push(Step::ChannelsFallSilent);
    }
    if state.live_watch().is_some() {
        steps.push(Step::WatchBreaks);
    }
    if state.is_discovery_up() {
        steps.push(Step::DiscoveryDown);
    }
    steps.push(Step::DiscoveryMoved);
}
