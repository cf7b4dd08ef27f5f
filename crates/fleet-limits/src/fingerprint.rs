//! Fingerprints of states, by which a model checker recognizes equal ones.

use crate::Nanos;

/// The time from `now` until `at`, in which all moments that are not in the future are alike.
pub(crate) fn time_until(now: Nanos, at: Nanos) -> Nanos {
    if at <= now {
        -1
    } else {
        at - now
    }
}
