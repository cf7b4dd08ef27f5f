//! The steps of the discovery model and their texts.

use std::fmt;

/// A transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    ClockAdvances,
    /// The timer of the machine is due.
    TimerDue,
    /// Discovery answers the call.
    CallSucceeds,
    /// The call fails.
    CallRefused,
    /// The watch sends a heartbeat.
    Heartbeat,
    /// The watch and the call fall silent.
    ChannelsFallSilent,
    /// The watch breaks.
    WatchBreaks,
    /// Discovery goes down.
    DiscoveryDown,
    /// Discovery comes back up.
    DiscoveryUp,
    /// A new configuration names another discovery.
    DiscoveryMoved,
    /// The scheduler requests the endpoint list.
    ListRequested,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::ClockAdvances => "the clock moves on",
            Step::TimerDue => "what is due is done",
            Step::CallSucceeds => "discovery answers the call",
            Step::CallRefused => "discovery refuses the call",
            Step::Heartbeat => "the watch says that nothing has changed",
            Step::ChannelsFallSilent => "all that is open falls silent",
            Step::WatchBreaks => "the watch breaks",
            Step::DiscoveryDown => "discovery goes down",
            Step::DiscoveryUp => "discovery comes back",
            Step::DiscoveryMoved => "a new configuration names a discovery",
            Step::ListRequested => "who decides wants the list",
        })
    }
}
