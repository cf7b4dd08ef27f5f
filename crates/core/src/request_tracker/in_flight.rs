//! State of the requests and attempts that the tracker holds.

use crate::interface::{Nanos, NodeId};
use crate::mutations::{mutated, Mutation};

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlightRequest {
    /// When its client gives up.
    pub deadline: Nanos,
    /// Whether its final answer was emitted, or its client is gone.
    pub answered: bool,
    /// Number of attempts started so far; also the number of the next one.
    pub attempts_started: u32,
    /// Its attempts in flight.
    pub in_flight: Vec<InFlightAttempt>,
}

impl InFlightRequest {
    /// A request without attempts.
    pub(super) fn new(deadline: Nanos) -> InFlightRequest {
        InFlightRequest {
            deadline,
            answered: false,
            attempts_started: 0,
            in_flight: Vec::new(),
        }
    }

    /// Counts one more attempt and returns its number.
    pub(super) fn allocate_attempt(&mut self) -> u32 {
        self.attempts_started += 1;
        self.attempts_started - 1
    }

    /// The attempt of a number, while it is in flight.
    pub(super) fn attempt_mut(&mut self, attempt: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight
            .iter_mut()
            .find(|in_flight| in_flight.attempt == attempt)
    }

    /// The attempts in flight whose cancellation was not requested.
    pub(super) fn uncancelled_attempts(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.in_flight
            .iter()
            .filter(|in_flight| !in_flight.cancelled)
    }

    /// Removes an attempt that has ended. `None` if it has ended before: a second report of its end
    /// was already on its way.
    pub(super) fn end_attempt(&mut self, attempt: u32) -> Option<InFlightAttempt> {
        let position = self
            .in_flight
            .iter()
            .position(|in_flight| in_flight.attempt == attempt)?;
        let ended = self.in_flight[position];
        if !mutated(Mutation::EndedAttemptRetained) {
            self.in_flight.remove(position);
        }
        Some(ended)
    }
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InFlightAttempt {
    /// Its number, counted within the request.
    pub attempt: u32,
    /// The chunk server that it was sent to.
    pub node: NodeId,
    /// When it was started.
    pub sent_at: Nanos,
    /// Whether its cancellation was requested.
    pub cancelled: bool,
}
