//! When a starting front reports that it is ready.
//!
//! A front starts with the endpoint list that it stored last, which may name servers that have
//! drained or were removed since. Where discovery is reachable, a change must be known a few seconds
//! after discovery had it, whenever the front started. So a front is ready only once discovery has
//! confirmed or replaced its list, or is known to be unable to: then the last known list is the best
//! there is. The wait is bounded, as a front that is not ready serves nobody.
//!
//! No I/O and no clock: the caller passes the time.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// A call that fails within this time found no discovery, or one that rejects at once. One that
/// fails later was queued behind other callers, and discovery will answer the next.
pub const UNREACHABLE_WITHIN: Nanos = 500 * MILLISECOND;
/// An open watch without a message for this long has nothing to report: the list is that of
/// discovery.
pub const CONFIRMED_BY_SILENCE_AFTER: Nanos = 250 * MILLISECOND;
/// The longest time until a front is ready, where discovery is one service for all fronts.
pub const READY_WITHIN: Nanos = 5_000 * MILLISECOND;
/// The same where lists are pushed: the agent on the front's own machine answers at once, or has
/// nothing to report.
pub const READY_WITHIN_OF_AGENT: Nanos = 500 * MILLISECOND;

/// Whether a starting front is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupReadiness {
    /// Discovery has not confirmed the list yet.
    Unconfirmed {
        /// When it is ready at the latest.
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

    /// A call to discovery was abandoned without an answer. Discovery is then unreachable: where it
    /// is overloaded, it rejects a call earlier.
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
