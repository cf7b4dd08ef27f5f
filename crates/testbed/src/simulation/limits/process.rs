//! One simulated process: a limit coordinator with a clock of its own.

use std::collections::BTreeMap;

use tulipbridge_fleet_limits::{
    Heartbeat, Incarnation, Limit, LimitCoordinator, Nanos, PeerId, Share,
};

/// A clock that runs fast or slow by a constant rate.
pub struct DriftingClock {
    /// The simulated time at which the clock was started.
    pub started_at: Nanos,
    /// What it showed then.
    pub initial_reading: Nanos,
    /// What it gains, in millionths.
    pub drift_ppm: Nanos,
}

impl DriftingClock {
    /// What the clock shows at a simulated time.
    pub fn read(&self, now: Nanos) -> Nanos {
        let elapsed = now - self.started_at;
        self.initial_reading + elapsed + elapsed * self.drift_ppm / 1_000_000
    }
}

/// A heartbeat in transit.
pub struct Message {
    /// The number of the receiving process.
    pub to: usize,
    /// The number of the sending process, to which a reply goes.
    pub via: usize,
    /// The name of the sender.
    pub from: PeerId,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The heartbeat.
    pub heartbeat: Heartbeat,
}

/// A process that runs.
pub struct Process {
    /// The front whose name it has.
    pub front: usize,
    /// The state machine under test.
    pub coordinator: LimitCoordinator,
    /// Its clock.
    pub clock: DriftingClock,
    /// Whether it is paused.
    pub is_paused: bool,
    /// Messages that arrived while it was paused.
    pub pending: Vec<Message>,
    /// The shares it was last granted.
    pub shares: BTreeMap<Limit, Share>,
    /// Whether it is a second process of its name.
    pub is_duplicate: bool,
}
