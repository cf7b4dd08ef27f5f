//! The clock of a listener, which the state machines of its connections take their times from.

use std::time::Duration;

use tokio::time::Instant;
use tulipbridge_core::Nanos;

/// Counts nanoseconds from the start of a listener. Copies share that origin.
#[derive(Clone, Copy, Debug)]
pub struct ListenerClock {
    started_at: Instant,
}

impl ListenerClock {
    /// A clock that starts at 0 now.
    pub fn start() -> ListenerClock {
        ListenerClock {
            started_at: Instant::now(),
        }
    }

    /// The time since the clock started.
    pub fn now(&self) -> Nanos {
        self.started_at.elapsed().as_nanos() as Nanos
    }

    /// The instant at which this clock shows `time`; a negative time becomes the start.
    pub fn instant(&self, time: Nanos) -> Instant {
        self.started_at + to_duration(time)
    }
}

/// A span of the state machines' time; a negative one becomes zero.
pub(super) fn to_duration(time: Nanos) -> Duration {
    Duration::from_nanos(time.max(0) as u64)
}
