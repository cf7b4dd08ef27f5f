//! Decides when a starting front reports that it is ready.
//!
//! A front starts with the endpoint list that it stored last, which may name servers that have
//! drained or were removed since then. If discovery is reachable, a change must be known a few
//! seconds after discovery has it, whenever the front started. Therefore a front is ready only once
//! discovery has confirmed or replaced its list, or is known to be unreachable, in which case the
//! last known list is the best available. The wait is bounded, because a front that is not ready
//! serves no clients.
//!
//! This module does no I/O and has no clock: the caller passes the time.

use crate::interface::Nanos;
use crate::time_unit::MILLISECOND;

/// A call that fails within this time found no discovery, or one that rejects calls at once. A call
/// that fails later was queued behind other callers, and discovery will answer the next one.
pub const UNREACHABLE_WITHIN: Nanos = 500 * MILLISECOND;
/// An open watch without a message for this long confirms the list, because discovery has no change
/// to report.
pub const CONFIRMED_BY_SILENCE_AFTER: Nanos = 250 * MILLISECOND;
/// The maximum time until a front is ready if discovery is one service for all fronts.
pub const MAX_STARTUP_WAIT: Nanos = 5_000 * MILLISECOND;
/// The maximum time until a front is ready if lists are pushed by the agent on its own machine,
/// which answers at once or has nothing to report.
pub const MAX_STARTUP_WAIT_WITH_AGENT: Nanos = 500 * MILLISECOND;

/// The state of a starting front, which tells whether it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartupReadiness {
    /// Discovery has not confirmed the list yet.
    Unconfirmed {
        /// The latest time at which the front becomes ready.
        ready_by: Nanos,
        /// When the latest watch opened; `None` if none has opened yet.
        opened_at: Option<Nanos>,
    },
    /// The front is ready, and stays so.
    Ready,
}

impl StartupReadiness {
    /// Creates the state of a front that starts at `now`. `polls_discovery` means that it shares
    /// discovery with other fronts.
    pub fn new(now: Nanos, polls_discovery: bool) -> StartupReadiness {
        let limit = if polls_discovery {
            MAX_STARTUP_WAIT
        } else {
            MAX_STARTUP_WAIT_WITH_AGENT
        };
        StartupReadiness::Unconfirmed {
            ready_by: now + limit,
            opened_at: None,
        }
    }

    /// Records that a watch has opened, whose first message may still arrive.
    pub fn watch_opened(&mut self, now: Nanos) {
        if let StartupReadiness::Unconfirmed { opened_at, .. } = self {
            *opened_at = Some(now);
        }
    }

    /// Records that a message of a watch was applied.
    pub fn list_confirmed(&mut self) {
        *self = StartupReadiness::Ready;
    }

    /// Records that a call to discovery has failed after the time `took`.
    pub fn call_failed(&mut self, took: Nanos) {
        if took < UNREACHABLE_WITHIN {
            *self = StartupReadiness::Ready;
        }
    }

    /// Records that a call to discovery was abandoned without an answer. Discovery is then
    /// unreachable, because an overloaded discovery rejects a call earlier.
    pub fn call_unanswered(&mut self) {
        *self = StartupReadiness::Ready;
    }

    /// Returns whether the front is ready at `now`.
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
