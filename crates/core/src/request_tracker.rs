//! Tracks client requests and their attempts, from receipt to the final answer.
//!
//! The [`RequestTracker`] connects three parties: the front that receives requests, the transport
//! that sends attempts, and the policy, which is the [`Scheduler`](crate::Scheduler) or another
//! implementation of [`Decisions`]. It enforces what must hold whatever the policy decides: each
//! request gets exactly one final answer, each attempt starts once and ends once, and the state of
//! a finished request is dropped. It does no I/O: the caller passes it each [`Input`] and carries
//! out the resulting [`Effect`]s in their order.

mod attempts;
mod decisions;
mod in_flight;
mod messages;

use std::collections::{BTreeMap, VecDeque};

use self::attempts::AttemptEnd;
pub use self::decisions::Decisions;
pub use self::in_flight::{InFlightAttempt, InFlightRequest};
pub use self::messages::{Effect, FinalAnswer, Input};
use crate::interface::{Action, Event, Nanos, Outcome, Request, RequestId};
use crate::mutations::{mutated, Mutation};

/// The requests in progress at one front, and the policy that decides on them.
#[derive(Clone, Debug)]
pub struct RequestTracker<D> {
    decisions: D,
    requests: BTreeMap<RequestId, InFlightRequest>,
    next_id: RequestId,
    /// Buffer for the policy's actions, reused between events to avoid allocations.
    actions: Vec<Action>,
}

impl<D: Decisions> RequestTracker<D> {
    /// Creates a tracker without requests.
    pub fn new(decisions: D) -> RequestTracker<D> {
        RequestTracker {
            decisions,
            requests: BTreeMap::new(),
            next_id: RequestId(0),
            actions: Vec::new(),
        }
    }

    /// Returns an id for a new request, unique within this tracker.
    pub fn allocate_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id = RequestId(id.0 + 1);
        id
    }

    /// Returns the requests that have no final answer or have attempts in flight.
    pub fn requests(&self) -> &BTreeMap<RequestId, InFlightRequest> {
        &self.requests
    }

    /// Returns the policy that decides on the requests.
    pub fn decisions(&self) -> &D {
        &self.decisions
    }

    /// Returns the policy, for changes that no [`Input`] covers, such as reloaded settings.
    pub fn decisions_mut(&mut self) -> &mut D {
        &mut self.decisions
    }

    /// Handles an input and appends the effects to carry out.
    pub fn on(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::RequestReceived(request) => self.request_received(now, request, effects),
            Input::ClientDisconnected(id) => self.client_disconnected(now, id, effects),
            Input::Overdue(id) => self.overdue(now, id, effects),
            Input::AttemptEnded {
                id,
                attempt,
                outcome,
                observed_use,
                foreign_units,
            } => {
                let end = AttemptEnd {
                    id,
                    attempt,
                    outcome,
                    observed_use,
                    foreign_units,
                };
                self.attempt_ended(now, end, effects);
            }
            Input::ResponseBegan { id, attempt, age } => {
                self.response_began(now, id, attempt, age, effects);
            }
            Input::ResponsePaused { id, attempt } => {
                self.response_paused(now, id, attempt, effects);
            }
            Input::ResponseStopped(node) => {
                self.decide(now, Event::ResponseStopped(node), effects);
            }
            Input::AttemptTimedOut { id, attempt } => {
                let outcome = if mutated(Mutation::TimeoutCountsAsNotExecuted) {
                    Outcome::NotExecuted
                } else {
                    Outcome::TimedOut
                };
                let end = AttemptEnd::without_response(id, attempt, outcome);
                self.attempt_ended(now, end, effects);
            }
            Input::AttemptCancelled { id, attempt } => {
                let outcome = if mutated(Mutation::CancelCountsAsNotExecuted) {
                    Outcome::NotExecuted
                } else {
                    Outcome::Cancelled
                };
                let end = AttemptEnd::without_response(id, attempt, outcome);
                self.attempt_ended(now, end, effects);
            }
            Input::Endpoints { scope, nodes } => {
                self.withdraw_from_draining(scope, &nodes, effects);
                self.decide(now, Event::Endpoints { scope, nodes }, effects);
            }
            Input::FleetUpdate(update) => self.decide(now, Event::FleetUpdate(update), effects),
            Input::Timer(cookie) => self.decide(now, Event::Timer(cookie), effects),
        }
    }

    /// Applies one action of the policy. [`RequestTracker::on`] does so for the actions that an
    /// input causes; a model checker that takes the place of the policy calls this directly.
    pub fn apply_decision(&mut self, now: Nanos, action: Action, effects: &mut Vec<Effect>) {
        let mut follow_ups = VecDeque::new();
        self.apply_action(now, action, &mut follow_ups, effects);
        for event in follow_ups {
            self.decide(now, event, effects);
        }
    }

    fn request_received(&mut self, now: Nanos, request: Request, effects: &mut Vec<Effect>) {
        let deadline = now + request.client_timeout.max(0);
        self.requests
            .insert(request.id, InFlightRequest::new(deadline));
        self.decide(now, Event::Request(request), effects);
    }

    /// Fails a request that the policy has not answered by its deadline.
    fn overdue(&mut self, now: Nanos, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !request.answered {
            effects.push(Effect::Answer {
                id,
                answer: FinalAnswer::Failed,
            });
            self.client_disconnected(now, id, effects);
        }
    }

    /// Handles the disconnect of a client whose request has no final answer.
    fn client_disconnected(&mut self, now: Nanos, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.answered {
            return;
        }
        request.answered = !mutated(Mutation::AnswerAfterDisconnect);
        self.withdraw_attempts(id, effects);
        if !mutated(Mutation::NoReleaseAfterDisconnect) {
            self.release_if_finished(id, effects);
        }
        self.decide(now, Event::ClientDisconnected(id), effects);
    }

    /// Passes an event to the policy and applies its actions. An event that an action causes is
    /// passed on only after all actions of the same batch have been applied.
    fn decide(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
        let mut follow_ups = VecDeque::new();
        let mut next = Some(event);
        while let Some(event) = next {
            let mut actions = std::mem::take(&mut self.actions);
            self.decisions.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(now, action, &mut follow_ups, effects);
            }
            self.actions = actions;
            next = follow_ups.pop_front();
        }
    }

    fn apply_action(
        &mut self,
        now: Nanos,
        action: Action,
        follow_ups: &mut VecDeque<Event>,
        effects: &mut Vec<Effect>,
    ) {
        match action {
            Action::Send { id, node, timeout } => {
                follow_ups.extend(self.send(now, id, node, timeout, effects));
            }
            Action::Cancel { id, attempt } => self.cancel(id, attempt, effects),
            Action::Reject { id, retry_after } => {
                self.answer(id, FinalAnswer::Rejected(retry_after.max(0)), effects);
            }
            Action::Fail(id) => self.answer(id, FinalAnswer::Failed, effects),
            Action::Runtime(command) => effects.push(Effect::Runtime(command)),
        }
    }

    /// Emits a final answer, unless the request already has one.
    fn answer(&mut self, id: RequestId, answer: FinalAnswer, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.answered {
            request.answered = true;
            effects.push(Effect::Answer { id, answer });
            self.withdraw_attempts(id, effects);
        }
        self.release_if_finished(id, effects);
    }

    /// Drops a request that is answered or disconnected and has no attempt in flight.
    fn release_if_finished(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let none_in_flight = request.in_flight.is_empty();
        let releasable = none_in_flight || mutated(Mutation::ReleasedWithAttemptInFlight);
        if request.answered && releasable {
            self.requests.remove(&id);
            effects.push(Effect::Release(id));
        }
    }
}
