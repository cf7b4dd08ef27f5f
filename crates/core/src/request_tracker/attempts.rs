//! Attempts of the tracked requests: their start, cancellation, withdrawal and end.

use super::{Decisions, Effect, FinalAnswer, InFlightAttempt, RequestTracker};
use crate::interface::{
    EndpointState, Event, Nanos, NodeId, NodeInfo, Outcome, RequestId, UpdateScope,
};
use crate::mutations::{mutated, Mutation};

/// Nanoseconds by which [`Mutation::TimeoutPastClientDeadline`] moves the deadline of an attempt
/// past that of its client.
const MUTATED_DEADLINE_EXCESS: Nanos = 1_000_000_000;

/// How an attempt ended, with the use of its volume that the chunk server reported.
pub(super) struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The number of the attempt within the request, from 0.
    pub attempt: u32,
    pub outcome: Outcome,
    /// The volume's use in percent of its plan's rate, plus 1; 0 if unknown.
    pub observed_use: f64,
    /// Units that the chunk server served for the volume through other fronts.
    pub foreign_units: f64,
}

impl AttemptEnd {
    /// Creates an end without a response, and so without a report of the volume's use.
    pub fn without_response(id: RequestId, attempt: u32, outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            id,
            attempt,
            outcome,
            observed_use: 0.0,
            foreign_units: 0.0,
        }
    }
}

impl<D: Decisions> RequestTracker<D> {
    /// Starts an attempt. If the request is already answered, returns the event that ends the
    /// attempt unsent instead.
    pub(super) fn send(
        &mut self,
        now: Nanos,
        id: RequestId,
        node: NodeId,
        timeout: Nanos,
        effects: &mut Vec<Effect>,
    ) -> Option<Event> {
        let request = self.requests.get_mut(&id)?;
        let attempt = request.allocate_attempt();
        if request.answered && !mutated(Mutation::AttemptAfterAnswer) {
            return Some(Event::AttemptEnded {
                id,
                attempt,
                node,
                outcome: Outcome::NotSent,
                took: 0,
                is_answered: true,
                observed_use: 0.0,
                foreign_units: 0.0,
            });
        }
        request.in_flight.push(InFlightAttempt {
            attempt,
            node,
            sent_at: now,
            cancelled: false,
        });
        let deadline = attempt_deadline(now, timeout, request.deadline);
        let begin_by = self.decisions.begin_deadline(id);
        effects.push(Effect::Send {
            id,
            attempt,
            node,
            deadline,
            begin_by,
        });
        None
    }

    /// Requests the cancellation of an attempt in flight, at most once.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(in_flight) = request.attempt_mut(attempt) else {
            return;
        };
        if !in_flight.cancelled {
            in_flight.cancelled = true;
            effects.push(Effect::Cancel { id, attempt });
        }
    }

    /// Handles a response that began the time `age` ago and is not complete yet.
    pub(super) fn response_began(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u32,
        age: Nanos,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(node) = self.node_of(id, attempt) {
            let event = Event::ResponseBegan {
                id,
                attempt,
                node,
                began_at: now - age,
            };
            self.decide(now, event, effects);
        }
    }

    /// Handles a response that is passed on although its server pauses.
    pub(super) fn response_paused(
        &mut self,
        now: Nanos,
        id: RequestId,
        attempt: u32,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(node) = self.node_of(id, attempt) {
            self.decide(now, Event::ResponsePaused { id, attempt, node }, effects);
        }
    }

    /// Returns the server of an attempt in flight.
    fn node_of(&self, id: RequestId, attempt: u32) -> Option<NodeId> {
        let request = self.requests.get(&id)?;
        request.attempt(attempt).map(|in_flight| in_flight.node)
    }

    /// Returns whether a request would be sent again at once if its attempt in flight ended now
    /// without a complete response.
    pub fn would_retry(&self, now: Nanos, id: RequestId, attempt: u32) -> bool {
        let request = self.requests.get(&id).filter(|request| !request.answered);
        let in_flight = request.and_then(|request| request.attempt(attempt));
        in_flight.is_some_and(|in_flight| self.decisions.would_retry(now, id, in_flight))
    }

    /// Handles the end of an attempt. The first attempt that is served answers its request.
    pub(super) fn attempt_ended(&mut self, now: Nanos, end: AttemptEnd, effects: &mut Vec<Effect>) {
        let id = end.id;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(ended) = request.end_attempt(end.attempt) else {
            return;
        };
        let answerable = !request.answered || mutated(Mutation::SecondFinalAnswer);
        if end.outcome == Outcome::Served && answerable {
            request.answered = true;
            effects.push(Effect::Answer {
                id,
                answer: FinalAnswer::Served,
            });
            self.withdraw_attempts(id, effects);
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let is_answered = request.answered;
        self.release_if_finished(id, effects);
        let event = Event::AttemptEnded {
            id,
            attempt: end.attempt,
            node: ended.node,
            outcome: end.outcome,
            took: now - ended.sent_at,
            is_answered,
            observed_use: end.observed_use,
            foreign_units: end.foreign_units,
        };
        self.decide(now, event, effects);
    }

    /// Withdraws the attempts of a request whose client is answered or disconnected. The outcome is
    /// [`Outcome::NotSent`], as the withdrawal says nothing about the chunk servers.
    pub(super) fn withdraw_attempts(&self, id: RequestId, effects: &mut Vec<Effect>) {
        if mutated(Mutation::WithdrawalOmitted) {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        for in_flight in request.uncancelled_attempts() {
            effects.push(Effect::Withdraw {
                id,
                attempt: in_flight.attempt,
                outcome: Outcome::NotSent,
            });
        }
    }

    /// Withdraws the attempts at chunk servers that are draining or removed: an attempt that has
    /// not begun was not executed and may be retried elsewhere.
    pub(super) fn withdraw_from_draining(
        &self,
        scope: UpdateScope,
        nodes: &[NodeInfo],
        effects: &mut Vec<Effect>,
    ) {
        if mutated(Mutation::DrainIgnoresDialing) {
            return;
        }
        for (&id, request) in &self.requests {
            for in_flight in request.uncancelled_attempts() {
                if stays_up(in_flight.node, scope, nodes) {
                    continue;
                }
                effects.push(Effect::Withdraw {
                    id,
                    attempt: in_flight.attempt,
                    outcome: Outcome::NotExecuted,
                });
            }
        }
    }
}

/// Returns when an attempt times out: `timeout` nanoseconds from `now`, unless that is 0, but no
/// later than the client's deadline.
fn attempt_deadline(now: Nanos, timeout: Nanos, client_deadline: Nanos) -> Nanos {
    match timeout {
        0 if mutated(Mutation::TimeoutPastClientDeadline) => {
            client_deadline + MUTATED_DEADLINE_EXCESS
        }
        0 => client_deadline,
        timeout => client_deadline.min(now + timeout.max(0)),
    }
}

/// Returns whether a chunk server that was up is still up after an update of the endpoint list. The
/// last entry of a server counts; a complete list removes the servers that it does not contain.
fn stays_up(node: NodeId, scope: UpdateScope, nodes: &[NodeInfo]) -> bool {
    match nodes.iter().rev().find(|info| info.node == node) {
        Some(info) => info.state == EndpointState::Up,
        None => scope != UpdateScope::Replace,
    }
}
