//! The clock of a listener, which provides the times for the state machines of its connections.

use std::time::Duration;

use tokio::time::Instant;
use tulipbridge_core::Nanos;

/// A monotonic clock that counts nanoseconds from the start of a listener. Copies share that
/// origin.
#[derive(Clone, Copy, Debug)]
pub struct ListenerClock {
    started_at: Instant,
}

impl ListenerClock {
    /// Creates a clock that starts at 0 now.
    pub fn start() -> ListenerClock {
        ListenerClock {
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the clock started.
    pub fn now(&self) -> Nanos {
        self.started_at.elapsed().as_nanos() as Nanos
    }

    /// Returns the instant at which this clock shows `time`; that of a negative time is the start.
    pub fn instant(&self, time: Nanos) -> Instant {
        self.started_at + to_duration(time)
    }
}

/// Converts a time span of the state machines; a negative one becomes zero.
pub(super) fn to_duration(time: Nanos) -> Duration {
    Duration::from_nanos(time.max(0) as u64)
}
