//! The interface between a model and the tools that explore it: an initial state, the steps that
//! are enabled in a state, the transition that a step makes, and the properties that a state
//! violates.

use std::fmt::{Debug, Display};
use std::hash::Hash;

use crate::properties::{self, Violations};

/// How the commands list a configuration of a model.
#[derive(Clone, Copy, Debug)]
pub struct ModelSummary {
    /// Name of the configuration, unique among all models.
    pub name: &'static str,
    /// What the configuration covers, in one line.
    pub description: &'static str,
    /// Whether `explore --quick` includes it.
    pub quick: bool,
}

/// A transition system that can be explored.
///
/// Models are deterministic: the same step applied to the same state always leads to the same
/// state, and steps are generated in a fixed order. Searches, random walks and stored histories
/// depend on that.
pub trait Model: Clone + Send + Sync + 'static {
    /// A state. Two states with the same hash are treated as one.
    type State: Clone + Debug + Hash + Send + Sync + 'static;
    /// A transition. Its text identifies it among the steps that are enabled in one state.
    type Step: Clone + Debug + Display + PartialEq + Send + Sync + 'static;

    /// How the commands list this configuration.
    fn summary(&self) -> ModelSummary;

    /// The state in which every history begins.
    fn initial_state(&self) -> Self::State;

    /// Appends every step that is possible in a state without violations.
    fn generate_steps(&self, state: &Self::State, steps: &mut Vec<Self::Step>);

    /// The state after `step`, which must be enabled in `state`.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Self::State;

    /// The properties that were violated on the way to a state.
    fn violations(state: &Self::State) -> &Violations;

    /// Appends every step that is enabled in a state. None is once a property is violated.
    fn enabled_steps(&self, state: &Self::State, steps: &mut Vec<Self::Step>) {
        if !Self::violations(state).any() {
            self.generate_steps(state, steps);
        }
    }

    /// Names of the properties that were violated on the way to a state, in the order of
    /// [`properties::ALL`].
    fn violated_properties(state: &Self::State) -> Vec<&'static str> {
        let violations = Self::violations(state);
        let violated = properties::ALL
            .iter()
            .filter(|property| (property.is_violated)(violations));
        violated.map(|property| property.name).collect()
    }
}
