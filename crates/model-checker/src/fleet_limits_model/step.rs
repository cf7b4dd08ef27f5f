//! The steps of the fleet limits model and their texts.

use std::fmt;

use tulipbridge_fleet_limits::PeerId;

use super::DELAY_ROUNDS;

/// A transition. Links are directed, from one front to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A heartbeat interval passes.
    Round,
    /// Heartbeats from one front to another are lost from now on.
    CutLink(PeerId, PeerId),
    /// All links work again.
    Heal,
    /// The next heartbeat from one front to another is delayed.
    DelayHeartbeat(PeerId, PeerId),
    /// All links from and to a front are cut.
    Isolate(PeerId),
    /// The process of a front is stopped.
    Stop(PeerId),
    /// A stopped process continues.
    Continue(PeerId),
    /// The process of a front is killed.
    Kill(PeerId),
    /// A new process of a front starts.
    Start(PeerId),
}

impl Step {
    /// Whether a step counts against
    /// [`FleetLimitsModel::max_faults`](super::FleetLimitsModel::max_faults).
    pub(super) fn is_fault(&self) -> bool {
        match self {
            Step::CutLink(..) | Step::DelayHeartbeat(..) | Step::Isolate(_) => true,
            Step::Stop(_) | Step::Kill(_) => true,
            Step::Round | Step::Heal | Step::Continue(_) | Step::Start(_) => false,
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Round => write!(f, "a beat passes"),
            Step::CutLink(from, to) => write!(f, "cut {from} to {to}"),
            Step::Heal => write!(f, "heal"),
            Step::DelayHeartbeat(from, to) => {
                write!(
                    f,
                    "the next from {from} to {to} comes {DELAY_ROUNDS} rounds late"
                )
            }
            Step::Isolate(front) => write!(f, "cut {front} off"),
            Step::Stop(front) => write!(f, "stop {front}"),
            Step::Continue(front) => write!(f, "continue {front}"),
            Step::Kill(front) => write!(f, "kill {front}"),
            Step::Start(front) => write!(f, "start {front}"),
        }
    }
}
