//! The clock of the decision module.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tulipbridge_core::Nanos;

/// Unix time in nanoseconds. The system clock is read only once, at the start, and the time
/// advances monotonically from there, so that a step of the system clock cannot reorder events.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    unix_start: Nanos,
}

impl Clock {
    /// Starts a clock at the present system time.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix_start: unix.as_nanos() as Nanos,
        }
    }

    /// Returns the present time.
    pub fn now(&self) -> Nanos {
        self.unix_start + self.started.elapsed().as_nanos() as Nanos
    }

    /// Converts a time of this clock to an [`Instant`]; a time before the start becomes the start.
    pub(super) fn instant(&self, time: Nanos) -> Instant {
        self.started + Duration::from_nanos((time - self.unix_start).max(0) as u64)
    }
}
