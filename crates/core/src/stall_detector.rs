//! When a request may have arrived, where this process itself was stalled.
//!
//! A client's patience runs from the moment at which it sent its request. A front that is paused,
//! starved of CPU or busy reads the request later, and would assume, and pass on to chunk servers,
//! more time than the client has left. The gaps between the front's events show how long it was
//! stalled: whatever is read right after a gap may have arrived at its beginning.
//!
//! No I/O and no clock: the caller passes the time.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// Without any event for this long, which is several ticks, the process was stalled.
pub const STALL_MIN: Nanos = 40 * MILLISECOND;
/// What is read within this time after a stall may have arrived during it.
pub const CATCH_UP_TIME: Nanos = 20 * MILLISECOND;

/// A time in which the process was stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stall {
    from: Nanos,
    until: Nanos,
}

/// Finds the times in which the process was stalled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallDetector {
    last_event_at: Option<Nanos>,
    latest: Option<Stall>,
}

impl StallDetector {
    /// Records that an event is handled now, if only a tick.
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
