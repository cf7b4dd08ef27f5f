//! Requests and their attempts, from being taken to the one final answer: the machine behind the exchange.
//!
//! It stands between whoever asks (a front), whoever carries (a transport) and whoever decides (the decision
//! module, or anything else that implements [`Decisions`]). It holds what must be true whatever is decided: an
//! answer goes out once, an attempt is started once and ends once, and nothing is kept of what is over.
//! Feed it an [`Input`], carry out its [`Effect`]s in their order.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{
    Action, Event, FleetUpdate, Listed, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, UpdateScope,
};
use crate::mutations::{mutated, Mutation};
use crate::state::Scheduler;

/// Who decides: takes events in their order and appends what is to be done.
pub trait Decisions {
    /// Takes one event at a moment that is never before the last one's.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);

    /// Until when an attempt of a request that is placed now may begin; after that it may no longer be repeated.
    fn begins_by(&self, _id: RequestId) -> Nanos {
        Nanos::MAX
    }
}

impl Decisions for Scheduler {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, event, actions);
    }

    fn begins_by(&self, id: RequestId) -> Nanos {
        Scheduler::begins_by(self, id)
    }
}

/// What happens to requests and attempts.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was taken. Its id is one that [`Desk::number`] has given.
    RequestReceived(Request),
    /// Its client is gone.
    ClientGone(RequestId),
    /// Its client's time, and a slack, are over: see [`Effect::Answer`].
    Overdue(RequestId),
    /// An attempt has ended by itself.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended; what came back is an answer only where it is `Done`.
        outcome: Outcome,
        /// 1 + the volume's use in percent of its plan's rate; 0 is unknown.
        seen_use: f64,
        /// Units that the node served the volume through other fronts.
        foreign_units: f64,
    },
    /// The time of an attempt is over and it has been dropped.
    AttemptTimedOut {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt has been dropped as [`Effect::Stop`] said.
    AttemptCancelled {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// News of the node list.
    Endpoints {
        /// Kind of news.
        scope: UpdateScope,
        /// Its entries.
        nodes: Vec<NodeInfo>,
    },
    /// What the front is told beside lists and requests.
    FleetUpdate(FleetUpdate),
    /// A timer is due.
    Timer(u64),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt, once. It may run until the moment told, and is as if withdrawn (`Skipped`) where it has not
    /// begun by the other.
    Send {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Where to.
        node: NodeId,
        /// When its time is over.
        deadline: Nanos,
        /// When it must have begun.
        begin_by: Nanos,
    },
    /// Drop an attempt that is out, and say so with [`Input::Stopped`] unless it ended first.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Nobody wants an attempt any more: unless a byte of it has been written it ends now, with this outcome, and
    /// none is written. One that has begun goes on.
    Withdraw {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ends where it has not begun.
        outcome: Outcome,
    },
    /// The one final answer. `Served` comes only while [`Input::Ended`] is handled: with what that brought.
    Answer {
        /// The request.
        id: RequestId,
        /// What the client is told.
        answer: FinalAnswer,
    },
    /// Nothing of the request is left here; what is kept for it elsewhere may go.
    Release(RequestId),
    /// Ask for a timer.
    SetTimer {
        /// From now.
        after: Nanos,
        /// Comes back with the timer.
        cookie: u64,
    },
    /// Subscribe to the node list.
    Subscribe,
    /// A node is gone and nothing is out to it.
    ForgetNode(NodeId),
    /// A line for the operators.
    Log {
        /// The text.
        text: &'static str,
        /// The node it is about.
        node: NodeId,
    },
}

/// What a client is told in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// A node's answer.
    Served,
    /// It never ran, or repeating is harmless; the client may come back after the wait.
    Rejected(Nanos),
    /// Nothing is promised.
    Failed,
}

/// A request that is not answered yet, or has attempts out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlightRequest {
    /// When its client's time is over.
    pub deadline: Nanos,
    /// Whether its final answer has gone out, or nobody waits for one.
    pub answered: bool,
    /// Attempts started.
    pub attempts_started: u32,
    /// Those that are out.
    pub in_flight: Vec<InFlightAttempt>,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct InFlightAttempt {
    /// Its number.
    pub attempt: u32,
    /// Where it was sent.
    pub node: NodeId,
    /// When.
    pub sent_at: Nanos,
    /// Whether it is to be dropped.
    pub cancelled: bool,
}

/// All requests of one front, and who decides on them.
#[derive(Clone, Debug)]
pub struct RequestTracker<D> {
    decisions: D,
    requests: BTreeMap<RequestId, InFlightRequest>,
    next_id: RequestId,
    /// Kept between events, to spare allocations.
    actions: Vec<Action>,
}

impl<D: Decisions> RequestTracker<D> {
    /// With no requests.
    pub fn new(decisions: D) -> RequestTracker<D> {
        RequestTracker { decisions, requests: BTreeMap::new(), next_id: 0, actions: Vec::new() }
    }

    /// A number for a request that will be asked: no other has had it.
    pub fn allocate_id(&mut self) -> RequestId {
        self.next_id += 1;
        self.next_id - 1
    }

    /// Requests not yet answered, or with attempts out.
    pub fn requests(&self) -> &BTreeMap<RequestId, InFlightRequest> {
        &self.requests
    }

    /// Who decides.
    pub fn decisions(&self) -> &D {
        &self.decisions
    }

    /// Who decides, to be told what is no event of a request: new settings.
    pub fn decisions_mut(&mut self) -> &mut D {
        &mut self.decisions
    }

    /// Takes what has happened and appends what is to be done.
    pub fn on(&mut self, now: Nanos, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::RequestReceived(request) => {
                let until = now + request.patience.max(0);
                let held = InFlightRequest {
                    deadline: until,
                    answered: false,
                    attempts_started: 0,
                    in_flight: Vec::new(),
                };
                self.requests.insert(request.id, held);
                self.decide(now, Event::Request(request), effects);
            }
            Input::ClientGone(id) => self.client_gone(now, id, effects),
            Input::Overdue(id) => {
                // A decision that does not come is overruled: the rule of one final answer stands above.
                if self.requests.get(&id).is_some_and(|h| !h.answered) {
                    effects.push(Effect::Answer { id, answer: FinalAnswer::Failed });
                    self.client_gone(now, id, effects);
                }
            }
            Input::AttemptEnded { id, attempt, outcome, seen_use, foreign_units } => {
                self.attempt_ended(now, (id, attempt), outcome, (seen_use, foreign_units), effects);
            }
            Input::AttemptTimedOut { id, attempt } => {
                let never = mutated(Mutation::TimeUpProvesNothingRan);
                let outcome = if never { Outcome::NotExecuted } else { Outcome::TimedOut };
                self.attempt_ended(now, (id, attempt), outcome, (0.0, 0.0), effects)
            }
            Input::AttemptCancelled { id, attempt } => {
                let never = mutated(Mutation::CancelProvesNothingRan);
                let outcome = if never { Outcome::NotExecuted } else { Outcome::Cancelled };
                self.attempt_ended(now, (id, attempt), outcome, (0.0, 0.0), effects)
            }
            Input::Endpoints { scope, nodes } => {
                self.withdraw_from_draining(scope, &nodes, effects);
                self.decide(now, Event::Endpoints { scope, nodes }, effects);
            }
            Input::FleetUpdate(told) => self.decide(now, Event::FleetUpdate(told), effects),
            Input::Timer(cookie) => self.decide(now, Event::Timer(cookie), effects),
        }
    }

    /// Carries out one decision. [`Desk::on`] does so for all that an event brings about; a checker that plays
    /// the one who decides calls it by itself.
    pub fn apply_decision(&mut self, now: Nanos, action: Action, effects: &mut Vec<Effect>) {
        let mut told = VecDeque::new();
        self.carry_out(now, action, &mut told, effects);
        for event in told {
            self.decide(now, event, effects);
        }
    }

    fn client_gone(&mut self, now: Nanos, id: RequestId, effects: &mut Vec<Effect>) {
        let Some(held) = self.requests.get_mut(&id).filter(|h| !h.answered) else { return };
        held.answered = !mutated(Mutation::AnswerToClientThatLeft);
        self.withdraw_attempts(id, effects);
        if !mutated(Mutation::LeftChargedForEver) {
            self.release(id, effects);
        }
        self.decide(now, Event::ClientGone(id), effects);
    }

    fn attempt_ended(
        &mut self,
        now: Nanos,
        (id, attempt): (RequestId, u32),
        outcome: Outcome,
        (seen_use, foreign_units): (f64, f64),
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        // An attempt ends once: what comes of it later was on its way already.
        let Some(at) = held.in_flight.iter().position(|o| o.attempt == attempt) else { return };
        let out = held.in_flight[at];
        if !mutated(Mutation::AttemptLeftInTable) {
            held.in_flight.remove(at);
        }
        if outcome == Outcome::Served && (!held.answered || mutated(Mutation::SecondFinalAnswer)) {
            held.answered = true;
            effects.push(Effect::Answer { id, answer: FinalAnswer::Served });
            self.withdraw_attempts(id, effects);
        }
        let Some(held) = self.requests.get(&id) else { return };
        let last = held.answered;
        self.release(id, effects);
        let (node, took) = (out.node, now - out.sent_at);
        let event = Event::AttemptEnded { id, attempt, node, outcome, took, last, seen_use, foreign_units };
        self.decide(now, event, effects);
    }

    /// Events and actions keep their order: what an action brings about is told after all actions beside it.
    fn decide(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
        let mut told = VecDeque::new();
        let mut next = Some(event);
        while let Some(event) = next {
            let mut actions = std::mem::take(&mut self.actions);
            self.decisions.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, &mut told, effects);
            }
            self.actions = actions;
            next = told.pop_front();
        }
    }

    fn carry_out(
        &mut self,
        now: Nanos,
        action: Action,
        told: &mut VecDeque<Event>,
        effects: &mut Vec<Effect>,
    ) {
        match action {
            Action::Send { id, node, timeout: patience } => {
                let Some(held) = self.requests.get_mut(&id) else { return };
                let attempt = held.attempts_started;
                held.attempts_started += 1;
                if held.answered && !mutated(Mutation::PlacedAfterAnswer) {
                    // Nothing goes out for what has been answered.
                    let (outcome, last) = (Outcome::NotSent, true);
                    let (took, seen_use, foreign_units) = (0, 0.0, 0.0);
                    told.push_back(Event::AttemptEnded {
                        id,
                        attempt,
                        node,
                        outcome,
                        took,
                        last,
                        seen_use,
                        foreign_units,
                    });
                    return;
                }
                held.in_flight.push(InFlightAttempt { attempt, node, sent_at: now, cancelled: false });
                let until = match patience {
                    0 if mutated(Mutation::UntilPastClient) => held.deadline + 1_000_000_000,
                    0 => held.deadline,
                    some => held.deadline.min(now + some.max(0)),
                };
                let begin_by = self.decisions.begins_by(id);
                effects.push(Effect::Send { id, attempt, node, deadline: until, begin_by });
            }
            Action::Cancel { id, attempt } => {
                let out = self
                    .requests
                    .get_mut(&id)
                    .and_then(|h| h.in_flight.iter_mut().find(|o| o.attempt == attempt));
                if let Some(out) = out.filter(|o| !o.cancelled) {
                    out.cancelled = true;
                    effects.push(Effect::Cancel { id, attempt });
                }
            }
            Action::Reject { id, retry_after: wait } => {
                self.answer(id, FinalAnswer::Rejected(wait.max(0)), effects)
            }
            Action::Fail(id) => self.answer(id, FinalAnswer::Failed, effects),
            Action::SetTimer { after, cookie } => effects.push(Effect::SetTimer { after, cookie }),
            Action::Subscribe => effects.push(Effect::Subscribe),
            Action::ForgetNode(node) => effects.push(Effect::ForgetNode(node)),
            Action::Log { text, node } => effects.push(Effect::Log { text, node }),
        }
    }

    /// The first final answer goes out; whatever comes after it does not.
    fn answer(&mut self, id: RequestId, verdict: FinalAnswer, effects: &mut Vec<Effect>) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if !held.answered {
            held.answered = true;
            effects.push(Effect::Answer { id, answer: verdict });
            self.withdraw_attempts(id, effects);
        }
        self.release(id, effects);
    }

    /// Nobody waits for a request any more: what has not begun of it never does, and says nothing of its node.
    fn withdraw_attempts(&self, id: RequestId, effects: &mut Vec<Effect>) {
        let out =
            self.requests.get(&id).filter(|_| !mutated(Mutation::LeftAttemptGoesOut)).map(|h| &h.in_flight);
        let wanted = out.into_iter().flatten().filter(|o| !o.cancelled);
        let outcome = Outcome::NotSent;
        effects.extend(wanted.map(|o| Effect::Withdraw { id, attempt: o.attempt, outcome }));
    }

    /// A node that is leaving wants nothing new: what has not begun at it never ran, and may go elsewhere.
    fn withdraw_from_draining(&self, scope: UpdateScope, nodes: &[NodeInfo], effects: &mut Vec<Effect>) {
        let stays = |node: NodeId| match nodes.iter().rev().find(|n| n.node == node) {
            Some(told) => told.listed == Listed::Up,
            None => scope != UpdateScope::Replace,
        };
        for (id, held) in self.requests.iter().filter(|_| !mutated(Mutation::DrainMissesDialling)) {
            for out in held.in_flight.iter().filter(|o| !o.cancelled && !stays(o.node)) {
                effects.push(Effect::Withdraw {
                    id: *id,
                    attempt: out.attempt,
                    outcome: Outcome::NotExecuted,
                });
            }
        }
    }

    fn release(&mut self, id: RequestId, effects: &mut Vec<Effect>) {
        if self
            .requests
            .get(&id)
            .is_some_and(|h| h.answered && (h.in_flight.is_empty() || mutated(Mutation::ReleasedWhileOut)))
        {
            self.requests.remove(&id);
            effects.push(Effect::Release(id));
        }
    }
}
