//! When a starting front may say that it is ready.
//!
//! A front starts with the endpoint list that it had last, which may name servers that have drained
//! or gone since. Where discovery can be reached, a change counts as known a few seconds after
//! discovery had it, whenever the front started. So a front is ready only once discovery has
//! confirmed or replaced its list, or has shown that it cannot do so: then the last known list is
//! the best there is. The wait is bounded, as a front that is not ready serves nobody.
//!
//! No I/O and no clock: the caller passes the time.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// A call that fails within this time has found no discovery, or one that refuses at once. One that
/// fails later has waited in a crowd of callers, and discovery has an answer for the next.
pub const UNREACHABLE_WITHIN: Nanos = 500 * MILLISECOND;
/// A watch that has opened and tells nothing for this long has nothing to tell: the list is that of
/// discovery.
pub const CONFIRMED_BY_SILENCE_AFTER: Nanos = 250 * MILLISECOND;
/// The longest time until a front is ready, where discovery is one service for all fronts.
pub const READY_WITHIN: Nanos = 5_000 * MILLISECOND;
/// The same where lists are pushed: the agent on the front's own machine answers at once, or has
/// nothing to tell.
pub const READY_WITHIN_OF_AGENT: Nanos = 500 * MILLISECOND;

/// Whether a starting front is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupReadiness {
    /// Discovery has not confirmed the list yet.
    Unconfirmed {
        /// By when it is ready all the same.
        ready_by: Nanos,
        /// When a watch opened, if one has.
        opened_at: Option<Nanos>,
    },
    /// The front is ready, and stays so.
    Ready,
}

impl StartupReadiness {
    /// A front that starts now. `polls_discovery` says that it shares discovery with other fronts.
    pub fn new(now: Nanos, polls_discovery: bool) -> StartupReadiness {
        let limit = if polls_discovery {
            READY_WITHIN
        } else {
            READY_WITHIN_OF_AGENT
        };
        StartupReadiness::Unconfirmed {
            ready_by: now + limit,
            opened_at: None,
        }
    }

    /// A watch has opened; its first message may be on its way.
    pub fn watch_opened(&mut self, now: Nanos) {
        if let StartupReadiness::Unconfirmed { opened_at, .. } = self {
            *opened_at = Some(now);
        }
    }

    /// A message of a watch has been applied.
    pub fn list_confirmed(&mut self) {
        *self = StartupReadiness::Ready;
    }

    /// A call to discovery has failed after a time.
    pub fn call_failed(&mut self, took: Nanos) {
        if took < UNREACHABLE_WITHIN {
            *self = StartupReadiness::Ready;
        }
    }

    /// A call to discovery was given up, for it had no answer: whoever waits in a crowd is turned
    /// away before.
    pub fn call_unanswered(&mut self) {
        *self = StartupReadiness::Ready;
    }

    /// Whether the front is ready now.
    pub fn is_ready(&self, now: Nanos) -> bool {
        match self {
            StartupReadiness::Unconfirmed {
                ready_by,
                opened_at,
            } => {
                let is_quiet = opened_at
                    .is_some_and(|opened_at| now - opened_at >= CONFIRMED_BY_SILENCE_AFTER);
                is_quiet || now >= *ready_by
            }
            StartupReadiness::Ready => true,
        }
    }
}
