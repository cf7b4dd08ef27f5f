//! Requests and their attempts, from being taken to the one final answer: the machine behind the exchange.
//!
//! It stands between whoever asks (a front), whoever carries (a transport) and whoever decides (the decision
//! module, or anything else that implements [`Decisions`]). It holds what must be true whatever is decided: an
//! answer goes out once, an attempt is started once and ends once, and nothing is kept of what is over.
//! Feed it an [`Input`], carry out its [`Effect`]s in their order.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{
    Action, Event, Listed, Nanos, NodeId, NodeInfo, Outcome, ReqId, Request, Scope, Told,
};
use crate::mutations::{mutated, Mutation};
use crate::state::Scheduler;

/// Who decides: takes events in their order and appends what is to be done.
pub trait Decisions {
    /// Takes one event at a moment that is never before the last one's.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);

    /// Until when an attempt of a request that is placed now may begin; after that it may no longer be repeated.
    fn begins_by(&self, _id: ReqId) -> Nanos {
        Nanos::MAX
    }
}

impl Decisions for Scheduler {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, event, actions);
    }

    fn begins_by(&self, id: ReqId) -> Nanos {
        Scheduler::begins_by(self, id)
    }
}

/// What happens to requests and attempts.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was taken. Its id is one that [`Desk::number`] has given.
    Asked(Request),
    /// Its client is gone.
    Left(ReqId),
    /// Its client's time, and a slack, are over: see [`Effect::Answer`].
    Overdue(ReqId),
    /// An attempt has ended by itself.
    Ended {
        /// The request.
        id: ReqId,
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
    TimeUp {
        /// The request.
        id: ReqId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt has been dropped as [`Effect::Stop`] said.
    Stopped {
        /// The request.
        id: ReqId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// News of the node list.
    Fleet {
        /// Kind of news.
        scope: Scope,
        /// Its entries.
        nodes: Vec<NodeInfo>,
    },
    /// What the front is told beside lists and requests.
    Told(Told),
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
        id: ReqId,
        /// Number of the attempt.
        attempt: u32,
        /// Where to.
        node: NodeId,
        /// When its time is over.
        until: Nanos,
        /// When it must have begun.
        begin_by: Nanos,
    },
    /// Drop an attempt that is out, and say so with [`Input::Stopped`] unless it ended first.
    Stop {
        /// The request.
        id: ReqId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Nobody wants an attempt any more: unless a byte of it has been written it ends now, with this outcome, and
    /// none is written. One that has begun goes on.
    Withdraw {
        /// The request.
        id: ReqId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ends where it has not begun.
        outcome: Outcome,
    },
    /// The one final answer. `Served` comes only while [`Input::Ended`] is handled: with what that brought.
    Answer {
        /// The request.
        id: ReqId,
        /// What the client is told.
        verdict: Verdict,
    },
    /// Nothing of the request is left here; what is kept for it elsewhere may go.
    Release(ReqId),
    /// Ask for a timer.
    Sleep {
        /// From now.
        after: Nanos,
        /// Comes back with the timer.
        cookie: u64,
    },
    /// Subscribe to the node list.
    Subscribe,
    /// A node is gone and nothing is out to it.
    Forget(NodeId),
    /// A line for the operators.
    Note {
        /// The text.
        text: &'static str,
        /// The node it is about.
        node: NodeId,
    },
}

/// What a client is told in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// A node's answer.
    Served,
    /// It never ran, or repeating is harmless; the client may come back after the wait.
    Refused(Nanos),
    /// Nothing is promised.
    Failed,
}

/// A request that is not answered yet, or has attempts out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// When its client's time is over.
    pub until: Nanos,
    /// Whether its final answer has gone out, or nobody waits for one.
    pub settled: bool,
    /// Attempts started.
    pub tries: u32,
    /// Those that are out.
    pub out: Vec<Out>,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Out {
    /// Its number.
    pub attempt: u32,
    /// Where it was sent.
    pub node: NodeId,
    /// When.
    pub at: Nanos,
    /// Whether it is to be dropped.
    pub stopped: bool,
}

/// All requests of one front, and who decides on them.
#[derive(Clone, Debug)]
pub struct Desk<D> {
    decisions: D,
    held: BTreeMap<ReqId, Held>,
    next: ReqId,
    /// Kept between events, to spare allocations.
    actions: Vec<Action>,
}

impl<D: Decisions> Desk<D> {
    /// With no requests.
    pub fn new(decisions: D) -> Desk<D> {
        Desk { decisions, held: BTreeMap::new(), next: 0, actions: Vec::new() }
    }

    /// A number for a request that will be asked: no other has had it.
    pub fn number(&mut self) -> ReqId {
        self.next += 1;
        self.next - 1
    }

    /// Requests not yet answered, or with attempts out.
    pub fn held(&self) -> &BTreeMap<ReqId, Held> {
        &self.held
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
            Input::Asked(request) => {
                let until = now + request.patience.max(0);
                let held = Held { until, settled: false, tries: 0, out: Vec::new() };
                self.held.insert(request.id, held);
                self.feed(now, Event::Request(request), effects);
            }
            Input::Left(id) => self.leave(now, id, effects),
            Input::Overdue(id) => {
                // A decision that does not come is overruled: the rule of one final answer stands above.
                if self.held.get(&id).is_some_and(|h| !h.settled) {
                    effects.push(Effect::Answer { id, verdict: Verdict::Failed });
                    self.leave(now, id, effects);
                }
            }
            Input::Ended { id, attempt, outcome, seen_use, foreign_units } => {
                self.ended(now, (id, attempt), outcome, (seen_use, foreign_units), effects);
            }
            Input::TimeUp { id, attempt } => {
                let never = mutated(Mutation::TimeUpProvesNothingRan);
                let outcome = if never { Outcome::Refused } else { Outcome::TimedOut };
                self.ended(now, (id, attempt), outcome, (0.0, 0.0), effects)
            }
            Input::Stopped { id, attempt } => {
                let never = mutated(Mutation::CancelProvesNothingRan);
                let outcome = if never { Outcome::Refused } else { Outcome::Canceled };
                self.ended(now, (id, attempt), outcome, (0.0, 0.0), effects)
            }
            Input::Fleet { scope, nodes } => {
                self.withdraw_from_leaving(scope, &nodes, effects);
                self.feed(now, Event::Fleet { scope, nodes }, effects);
            }
            Input::Told(told) => self.feed(now, Event::Told(told), effects),
            Input::Timer(cookie) => self.feed(now, Event::Timer(cookie), effects),
        }
    }

    /// Carries out one decision. [`Desk::on`] does so for all that an event brings about; a checker that plays
    /// the one who decides calls it by itself.
    pub fn act(&mut self, now: Nanos, action: Action, effects: &mut Vec<Effect>) {
        let mut told = VecDeque::new();
        self.carry_out(now, action, &mut told, effects);
        for event in told {
            self.feed(now, event, effects);
        }
    }

    fn leave(&mut self, now: Nanos, id: ReqId, effects: &mut Vec<Effect>) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.settled) else { return };
        held.settled = !mutated(Mutation::AnswerToClientThatLeft);
        self.withdraw(id, effects);
        if !mutated(Mutation::LeftChargedForEver) {
            self.release(id, effects);
        }
        self.feed(now, Event::Gone(id), effects);
    }

    fn ended(
        &mut self,
        now: Nanos,
        (id, attempt): (ReqId, u32),
        outcome: Outcome,
        (seen_use, foreign_units): (f64, f64),
        effects: &mut Vec<Effect>,
    ) {
        let Some(held) = self.held.get_mut(&id) else { return };
        // An attempt ends once: what comes of it later was on its way already.
        let Some(at) = held.out.iter().position(|o| o.attempt == attempt) else { return };
        let out = held.out[at];
        if !mutated(Mutation::AttemptLeftInTable) {
            held.out.remove(at);
        }
        if outcome == Outcome::Done && (!held.settled || mutated(Mutation::SecondFinalAnswer)) {
            held.settled = true;
            effects.push(Effect::Answer { id, verdict: Verdict::Served });
            self.withdraw(id, effects);
        }
        let Some(held) = self.held.get(&id) else { return };
        let last = held.settled;
        self.release(id, effects);
        let (node, took) = (out.node, now - out.at);
        let event = Event::Ended { id, attempt, node, outcome, took, last, seen_use, foreign_units };
        self.feed(now, event, effects);
    }

    /// Events and actions keep their order: what an action brings about is told after all actions beside it.
    fn feed(&mut self, now: Nanos, event: Event, effects: &mut Vec<Effect>) {
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
            Action::Place { id, node, patience } => {
                let Some(held) = self.held.get_mut(&id) else { return };
                let attempt = held.tries;
                held.tries += 1;
                if held.settled && !mutated(Mutation::PlacedAfterAnswer) {
                    // Nothing goes out for what has been answered.
                    let (outcome, last) = (Outcome::Skipped, true);
                    let (took, seen_use, foreign_units) = (0, 0.0, 0.0);
                    told.push_back(Event::Ended {
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
                held.out.push(Out { attempt, node, at: now, stopped: false });
                let until = match patience {
                    0 if mutated(Mutation::UntilPastClient) => held.until + 1_000_000_000,
                    0 => held.until,
                    some => held.until.min(now + some.max(0)),
                };
                let begin_by = self.decisions.begins_by(id);
                effects.push(Effect::Send { id, attempt, node, until, begin_by });
            }
            Action::Cancel { id, attempt } => {
                let out =
                    self.held.get_mut(&id).and_then(|h| h.out.iter_mut().find(|o| o.attempt == attempt));
                if let Some(out) = out.filter(|o| !o.stopped) {
                    out.stopped = true;
                    effects.push(Effect::Stop { id, attempt });
                }
            }
            Action::Refuse { id, wait } => self.settle(id, Verdict::Refused(wait.max(0)), effects),
            Action::Fail(id) => self.settle(id, Verdict::Failed, effects),
            Action::Sleep { after, cookie } => effects.push(Effect::Sleep { after, cookie }),
            Action::Subscribe => effects.push(Effect::Subscribe),
            Action::Forget(node) => effects.push(Effect::Forget(node)),
            Action::Note { text, node } => effects.push(Effect::Note { text, node }),
        }
    }

    /// The first final answer goes out; whatever comes after it does not.
    fn settle(&mut self, id: ReqId, verdict: Verdict, effects: &mut Vec<Effect>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if !held.settled {
            held.settled = true;
            effects.push(Effect::Answer { id, verdict });
            self.withdraw(id, effects);
        }
        self.release(id, effects);
    }

    /// Nobody waits for a request any more: what has not begun of it never does, and says nothing of its node.
    fn withdraw(&self, id: ReqId, effects: &mut Vec<Effect>) {
        let out = self.held.get(&id).filter(|_| !mutated(Mutation::LeftAttemptGoesOut)).map(|h| &h.out);
        let wanted = out.into_iter().flatten().filter(|o| !o.stopped);
        let outcome = Outcome::Skipped;
        effects.extend(wanted.map(|o| Effect::Withdraw { id, attempt: o.attempt, outcome }));
    }

    /// A node that is leaving wants nothing new: what has not begun at it never ran, and may go elsewhere.
    fn withdraw_from_leaving(&self, scope: Scope, nodes: &[NodeInfo], effects: &mut Vec<Effect>) {
        let stays = |node: NodeId| match nodes.iter().rev().find(|n| n.node == node) {
            Some(told) => told.listed == Listed::Up,
            None => scope != Scope::Replace,
        };
        for (id, held) in self.held.iter().filter(|_| !mutated(Mutation::DrainMissesDialling)) {
            for out in held.out.iter().filter(|o| !o.stopped && !stays(o.node)) {
                effects.push(Effect::Withdraw { id: *id, attempt: out.attempt, outcome: Outcome::Refused });
            }
        }
    }

    fn release(&mut self, id: ReqId, effects: &mut Vec<Effect>) {
        if self
            .held
            .get(&id)
            .is_some_and(|h| h.settled && (h.out.is_empty() || mutated(Mutation::ReleasedWhileOut)))
        {
            self.held.remove(&id);
            effects.push(Effect::Release(id));
        }
    }
}
