//! The state of the requests and attempts that the tracker holds.

use crate::interface::{Nanos, NodeId};
use crate::mutations::{mutated, Mutation};

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlightRequest {
    /// When the client stops waiting for an answer.
    pub deadline: Nanos,
    /// Whether the final answer was emitted or the client has disconnected.
    pub answered: bool,
    /// The number of attempts started so far, which is also the number of the next one.
    pub attempts_started: u32,
    /// The attempts that have not ended.
    pub in_flight: Vec<InFlightAttempt>,
}

impl InFlightRequest {
    /// Creates a request without attempts.
    pub(super) fn new(deadline: Nanos) -> InFlightRequest {
        InFlightRequest {
            deadline,
            answered: false,
            attempts_started: 0,
            in_flight: Vec::new(),
        }
    }

    /// Returns the number of a new attempt and counts it.
    pub(super) fn allocate_attempt(&mut self) -> u32 {
        self.attempts_started += 1;
        self.attempts_started - 1
    }

    /// Returns the attempt with a number, if it is in flight.
    pub(super) fn attempt(&self, attempt: u32) -> Option<&InFlightAttempt> {
        self.in_flight
            .iter()
            .find(|in_flight| in_flight.attempt == attempt)
    }

    /// Returns the attempt with a number for changes, if it is in flight.
    pub(super) fn attempt_mut(&mut self, attempt: u32) -> Option<&mut InFlightAttempt> {
        self.in_flight
            .iter_mut()
            .find(|in_flight| in_flight.attempt == attempt)
    }

    /// Returns the attempts in flight whose cancellation was not requested.
    pub(super) fn uncancelled_attempts(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.in_flight
            .iter()
            .filter(|in_flight| !in_flight.cancelled)
    }

    /// Removes an attempt that has ended. Returns `None` if it ended before, as a second report of
    /// its end may already be under way.
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
    /// The number of the attempt within its request, from 0.
    pub attempt: u32,
    /// The chunk server that the attempt was sent to.
    pub node: NodeId,
    /// When the attempt was started.
    pub sent_at: Nanos,
    /// Whether the cancellation was requested.
    pub cancelled: bool,
}
