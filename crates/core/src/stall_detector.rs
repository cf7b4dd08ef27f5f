//! When a request may have arrived, where this process itself has been held up.
//!
//! A client counts the time that it waits from the moment at which it sent its request. A front
//! that is stopped, starved or busy for a while reads the request later, and would grant itself,
//! and tell chunk servers, more time than the client has left. The front's ticks tell how long it
//! has been held up: whatever is read right after a gap between them may have come at its
//! beginning.
//!
//! No I/O and no clock: the caller passes the time.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// Without any event for this long, several ticks, the process was held up.
pub const STALL_MIN: Nanos = 40 * MILLISECOND;
/// What is read within this time after a stall may have come in it.
pub const CATCH_UP_TIME: Nanos = 20 * MILLISECOND;

/// A time in which the process was held up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stall {
    from: Nanos,
    until: Nanos,
}

/// Finds the times in which the process was held up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallDetector {
    last_event_at: Option<Nanos>,
    latest: Option<Stall>,
}

impl StallDetector {
    /// An event is handled now, if only a tick.
    pub fn event(&mut self, now: Nanos) {
        if let Some(from) = self.last_event_at.filter(|at| now - at >= STALL_MIN) {
            self.latest = Some(Stall { from, until: now });
        }
        self.last_event_at = Some(now);
    }

    /// The earliest time at which a request that is read now may have arrived.
    pub fn earliest_arrival(&self, now: Nanos) -> Nanos {
        match self.latest {
            Some(stall) if now - stall.until <= CATCH_UP_TIME => stall.from,
            _ => now,
        }
    }
}
