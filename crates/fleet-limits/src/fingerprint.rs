//! Helpers for state fingerprints, by which a model checker recognizes equal states.

use crate::Nanos;

/// Returns the time from `now` until `at`, or -1 for any time that is not in the future.
pub(crate) fn time_until(now: Nanos, at: Nanos) -> Nanos {
    if at <= now {
        -1
    } else {
        at - now
    }
}
