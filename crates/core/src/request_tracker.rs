//! Tracks client requests and their attempts, from receipt to the one final answer.
//!
//! The [`RequestTracker`] connects three parties: the front that receives requests, the transport
//! that carries attempts, and the policy that decides (the [`Scheduler`](crate::Scheduler), or
//! another implementation of [`Decisions`]). It enforces what must hold whatever the policy
//! decides: each request gets one final answer, each attempt starts once and ends once, and the
//! state of a finished request is dropped. It does no I/O: feed it each [`Input`] and carry out the
//! [`Effect`]s in their order.

mod decisions;
mod in_flight;
mod messages;

use std::collections::{BTreeMap, VecDeque};

pub use self::decisions::Decisions;
pub use self::in_flight::{InFlightAttempt, InFlightRequest};
pub use self::messages::{Effect, FinalAnswer, Input};
use crate::interface::{
    Action, EndpointState, Event, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, UpdateScope,
};
use crate::mutations::{mutated, Mutation};

/// How far [`Mutation::TimeoutPastClientDeadline`] moves the deadline of an attempt past that of
/// its client.
const MUTATED_DEADLINE_EXCESS: Nanos = 1_000_000_000;

/// How an attempt ended, with the use of its volume that the chunk server reported.
struct AttemptEnd {
    id: RequestId,
    attempt: u32,
    outcome: Outcome,
    observed_use: f64,
    foreign_units: f64,
}

impl AttemptEnd {
    /// An end without a response, and so without a report of the volume's use.
    fn without_response(id: RequestId, attempt: u32, outcome: Outcome) -> AttemptEnd {
        AttemptEnd {
            id,
            attempt,
            outcome,
            observed_use: 0.0,
            foreign_units: 0.0,
        }
    }
}

/// All requests of one front, and the policy that decides on them.
#[derive(Clone, Debug)]
pub struct RequestTracker<D> {
    decisions: D,
    requests: BTreeMap<RequestId, InFlightRequest>,
    next_id: RequestId,
    /// Reused between events to avoid allocations.
    actions: Vec<Action>,
}

impl<D: Decisions> RequestTracker<D> {
    /// A tracker without requests.
    pub fn new(decisions: D) -> RequestTracker<D> {
        RequestTracker {
            decisions,
            requests: BTreeMap::new(),
            next_id: RequestId(0),
            actions: Vec::new(),
        }
    }

    /// An id for a new request, unique within this tracker.
    pub fn allocate_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id = RequestId(id.0 + 1);
        id
    }

    /// Requests without a final answer, or with attempts in flight.
    pub fn requests(&self) -> &BTreeMap<RequestId, InFlightRequest> {
        &self.requests
    }

    /// The policy.
    pub fn decisions(&self) -> &D {
        &self.decisions
    }

    /// The policy, for changes that are no event of a request, such as new settings.
    pub fn decisions_mut(&mut self) -> &mut D {
        &mut self.decisions
    }

    /// Handles an input and appends the effects to carry out.
    pub fn on(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::RequestReceived(request) => self.request_received(now, request, effects),
            Input::ClientGone(id) => self.client_gone(now, id, effects),
            Input::Overdue(id) => self.overdue(now, id, effects),
            Input::AttemptEnded {
                id,
                attempt,
                outcome,
                observed_use: seen_use,
                foreign_units,
            } => {
                let end = AttemptEnd {
                    id,
                    attempt,
                    outcome,
                    observed_use: seen_use,
                    foreign_units,
                };
                self.attempt_ended(now, end, effects);
            }
            Input::AttemptTimedOut { id, attempt } => {
                let not_executed = mutated(Mutation::TimeoutCountsAsNotExecuted);
                let outcome = if not_executed {
                    Outcome::NotExecuted
                } else {
                    Outcome::TimedOut
                };
                self.attempt_ended(
                    now,
                    AttemptEnd::without_response(id, attempt, outcome),
                    effects,
                );
            }
            Input::AttemptCancelled { id, attempt } => {
                let not_executed = mutated(Mutation::CancelCountsAsNotExecuted);
                let outcome = if not_executed {
                    Outcome::NotExecuted
                } else {
                    Outcome::Cancelled
                };
                self.attempt_ended(
                    now,
                    AttemptEnd::without_response(id, attempt, outcome),
                    effects,
                );
            }
            Input::Endpoints { scope, nodes } => {
                self.withdraw_from_draining(scope, &nodes, effects);
                self.decide(now, Event::Endpoints { scope, nodes }, effects);
            }
            Input::FleetUpdate(update) => self.decide(now, Event::FleetUpdate(update), effects),
            Input::Timer(cookie) => self.decide(now, Event::Timer(cookie), effects),
        }
    }

    /// Carries out one action of the policy. [`RequestTracker::on`] does so for the actions that an
    /// input causes; a checker that takes the place of the policy calls it directly.
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

    /// Fails a request that the policy has left without a final answer past its deadline.
    fn overdue(&mut self, now: Nanos, id: RequestId, effects: &mut Vec<Effect>) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| !request.answered)
        {
            effects.push(Effect::Answer {
                id,
                answer: FinalAnswer::Failed,
            });
            self.client_gone(now, id, effects);
        }
    }

    fn client_gone(&mut self, now: Nanos, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self
            .requests
            .get_mut(&id)
            .filter(|request| !request.answered)
        else {
            return;
        };
        request.answered = !mutated(Mutation::AnswerAfterClientGone);
        self.withdraw_attempts(id, effects);
        if !mutated(Mutation::NoReleaseAfterClientGone) {
            self.release_if_finished(id, effects);
        }
        self.decide(now, Event::ClientGone(id), effects);
    }

    fn attempt_ended(&mut self, now: Nanos, end: AttemptEnd, effects: &mut Vec<Effect>) {
        let AttemptEnd {
            id,
            attempt,
            outcome,
            observed_use: seen_use,
            foreign_units,
        } = end;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // An attempt ends once; a second report of its end was already on its way.
        let position = request
            .in_flight
            .iter()
            .position(|in_flight| in_flight.attempt == attempt);
        let Some(position) = position else { return };
        let InFlightAttempt { node, sent_at, .. } = request.in_flight[position];
        if !mutated(Mutation::EndedAttemptRetained) {
            request.in_flight.remove(position);
        }
        if outcome == Outcome::Served && (!request.answered || mutated(Mutation::SecondFinalAnswer))
        {
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
        let last = request.answered;
        self.release_if_finished(id, effects);
        let took = now - sent_at;
        let event = Event::AttemptEnded {
            id,
            attempt,
            node,
            outcome,
            took,
            last,
            observed_use: seen_use,
            foreign_units,
        };
        self.decide(now, event, effects);
    }

    /// Passes an event to the policy and applies its actions. Events that the actions cause follow
    /// after all actions of the same batch.
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
            Action::SetTimer { after, cookie } => effects.push(Effect::SetTimer { after, cookie }),
            Action::Subscribe => effects.push(Effect::Subscribe),
            Action::ForgetNode(node) => effects.push(Effect::ForgetNode(node)),
            Action::Log { text, node } => effects.push(Effect::Log { text, node }),
        }
    }

    /// Starts an attempt. For a request that is answered already, returns the event that ends it
    /// unsent instead.
    fn send(
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
                last: true,
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
        let deadline = match timeout {
            0 if mutated(Mutation::TimeoutPastClientDeadline) => {
                request.deadline + MUTATED_DEADLINE_EXCESS
            }
            0 => request.deadline,
            timeout => request.deadline.min(now + timeout.max(0)),
        };
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

    fn cancel(&mut self, id: RequestId, attempt: u32, effects: &mut Vec<Effect>) {
        let in_flight = self
            .requests
            .get_mut(&id)
            .and_then(|request| request.attempt_mut(attempt));
        if let Some(in_flight) = in_flight.filter(|in_flight| !in_flight.cancelled) {
            in_flight.cancelled = true;
            effects.push(Effect::Cancel { id, attempt });
        }
    }

    /// Emits a final answer, unless the request has one.
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

    /// Withdraws the attempts of a request whose response nobody waits for. Their end says nothing
    /// about their chunk servers, hence [`Outcome::NotSent`].
    fn withdraw_attempts(&self, id: RequestId, effects: &mut Vec<Effect>) {
        if mutated(Mutation::WithdrawalOmitted) {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        for in_flight in request
            .in_flight
            .iter()
            .filter(|in_flight| !in_flight.cancelled)
        {
            let outcome = Outcome::NotSent;
            effects.push(Effect::Withdraw {
                id,
                attempt: in_flight.attempt,
                outcome,
            });
        }
    }

    /// Withdraws the attempts at chunk servers that drain or are removed: one that has not begun
    /// was not executed and may be retried elsewhere.
    fn withdraw_from_draining(
        &self,
        scope: UpdateScope,
        nodes: &[NodeInfo],
        effects: &mut Vec<Effect>,
    ) {
        if mutated(Mutation::DrainIgnoresDialing) {
            return;
        }
        let stays = |node: NodeId| match nodes.iter().rev().find(|info| info.node == node) {
            Some(info) => info.state == EndpointState::Up,
            None => scope != UpdateScope::Replace,
        };
        for (id, request) in &self.requests {
            for in_flight in request
                .in_flight
                .iter()
                .filter(|a| !a.cancelled && !stays(a.node))
            {
                let (id, attempt, outcome) = (*id, in_flight.attempt, Outcome::NotExecuted);
                effects.push(Effect::Withdraw {
                    id,
                    attempt,
                    outcome,
                });
            }
        }
    }

    /// Drops a request that is answered and has no attempt in flight.
    fn release_if_finished(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        let finished = self.requests.get(&id).is_some_and(|request| {
            request.answered
                && (request.in_flight.is_empty() || mutated(Mutation::ReleasedWithAttemptInFlight))
        });
        if finished {
            self.requests.remove(&id);
            effects.push(Effect::Release(id));
        }
    }
}
