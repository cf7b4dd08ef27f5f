//! The commands that the API accepts for a single front.

use crate::control::agent::supervisor::{DesiredState, Phase};

/// A change to the desired state of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontCommand {
    /// Stops the front and keeps it stopped.
    Drain,
    /// Starts a drained front again.
    Resume,
    /// Stops the front and starts it again.
    Restart,
}

impl FrontCommand {
    /// Returns the command with this name in the API; `None` where there is none.
    pub fn from_name(name: &str) -> Option<FrontCommand> {
        let all = [
            FrontCommand::Drain,
            FrontCommand::Resume,
            FrontCommand::Restart,
        ];
        all.into_iter().find(|command| command.name() == name)
    }

    /// Returns the name of the command in the API.
    pub fn name(self) -> &'static str {
        match self {
            FrontCommand::Drain => "drain",
            FrontCommand::Resume => "resume",
            FrontCommand::Restart => "restart",
        }
    }

    /// Returns the phase that a front reaches once the command is carried out.
    pub fn resulting_phase(self) -> Phase {
        match self {
            FrontCommand::Drain => Phase::Drained,
            FrontCommand::Resume | FrontCommand::Restart => Phase::Ready,
        }
    }

    /// Changes the desired state as the command requires.
    pub fn apply(self, desired: &mut DesiredState) {
        match self {
            FrontCommand::Drain => desired.drained = true,
            FrontCommand::Resume => desired.drained = false,
            FrontCommand::Restart => desired.restarts += 1,
        }
    }
}
