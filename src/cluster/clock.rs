//! The monotonic clock that drives the cluster's state machines.

use nix::time::{clock_gettime, ClockId};
use tulipbridge_core::Nanos;

const NANOS_PER_SECOND: i64 = 1_000_000_000;
const NANOS_PER_MILLISECOND: i64 = 1_000_000;

/// Returns the time since the machine started, in nanoseconds; 0 if the clock cannot be read.
///
/// The clock is monotonic and, unlike `CLOCK_MONOTONIC`, also advances while the machine is
/// suspended. A front that was stopped or suspended therefore sees that its leases have expired.
pub(super) fn now() -> Nanos {
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .map_or(0, |time| time.tv_sec() * NANOS_PER_SECOND + time.tv_nsec())
}

/// Converts nanoseconds to whole milliseconds, rounding towards zero.
pub(super) fn millis(span: Nanos) -> i64 {
    span / NANOS_PER_MILLISECOND
}
