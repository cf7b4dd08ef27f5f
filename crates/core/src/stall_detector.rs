//! Estimates when a request arrived if this process was stalled.
//!
//! The timeout of a client runs from the moment at which it sent its request. A front that is
//! paused, starved of CPU or busy reads the request later, and would assume, and pass on to chunk
//! servers, more time than the client has left. The gaps between the front's events show how long
//! it was stalled: a request that is read right after a gap may have arrived at the start of the
//! gap.
//!
//! This module does no I/O and has no clock: the caller passes the time.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// The minimum time without any event that counts as a stall. It spans several ticks.
pub const MIN_STALL: Nanos = 40 * MILLISECOND;
/// A request that is read within this time after a stall may have arrived during the stall.
pub const CATCH_UP_TIME: Nanos = 20 * MILLISECOND;

/// An interval in which the process was stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stall {
    from: Nanos,
    until: Nanos,
}

/// Detects the latest interval in which the process was stalled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallDetector {
    last_event_at: Option<Nanos>,
    latest: Option<Stall>,
}

impl StallDetector {
    /// Records that an event, possibly just a tick, is handled at `now`.
    pub fn event(&mut self, now: Nanos) {
        if let Some(from) = self.last_event_at.filter(|at| now - at >= MIN_STALL) {
            self.latest = Some(Stall { from, until: now });
        }
        self.last_event_at = Some(now);
    }

    /// Returns the earliest time at which a request that is read at `now` may have arrived.
    pub fn earliest_arrival(&self, now: Nanos) -> Nanos {
        match self.latest {
            Some(stall) if now - stall.until <= CATCH_UP_TIME => stall.from,
            _ => now,
        }
    }
}
