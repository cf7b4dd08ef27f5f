//! A small world round one front: its clients, the nodes, the network between, the register and the clock.
//!
//! The front in it is the one that ships: [`Desk`], [`Attempt`], [`Link`] and [`Pool`], with the real
//! [`Scheduler`] or with any decisions that the rules' guards allow. The world plays the async code round them,
//! and knows what the front cannot: what a node has really received, and what has really run.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};

use tulipbridge_core::attempt::{Attempt, AttemptEvent, AttemptStep};
use tulipbridge_core::connection_pool::{Capacity, ConnectionPool};
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input, RequestTracker};
use tulipbridge_core::server_connection::{ConnectionEvent, Execution, ServerConnection};
use tulipbridge_core::{
    Action, CellId, Listed, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, Scheduler, Semantics,
    Settings, UpdateScope,
};

use crate::explore::{same, Card, Explored};
use crate::judge::Judge;
use crate::properties::Broken;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// When every world begins.
const BEGAN: Nanos = 100_000 * MS;
/// Past its client's time by this, a request is answered by the desk itself.
const OVERDUE: Nanos = 20 * MS;
/// How long this machine may stand still at once.
const STILL: Nanos = 220 * MS;

/// Of work whose connection is gone.
const NO_WIRE: u32 = u32::MAX;

/// Who decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The decision module.
    Module,
    /// Anything that the rules allow.
    Any,
}

/// A client's request.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its class.
    pub class: usize,
    /// The shard that holds its data.
    pub cell: Option<CellId>,
    /// How long its client waits.
    pub patience: Nanos,
}

/// News of the register, told in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum News {
    /// A node finishes its work.
    Drains(NodeId),
    /// A node is gone.
    Gone(NodeId),
    /// A node takes a cell over, just started.
    TakesOver(NodeId, CellId),
    /// A node has another address.
    Moves(NodeId),
    /// The watch broke.
    Lost,
}

/// What is explored.
#[derive(Clone, Debug)]
pub struct World {
    /// Its name in commands.
    pub name: &'static str,
    /// What it is about.
    pub about: &'static str,
    /// Who decides.
    pub mode: Mode,
    /// The settings, for the front.
    pub settings: Settings,
    /// The requests, each from a client of its own, in the order in which they may come.
    pub asks: Vec<Ask>,
    /// Whether a client asks only once the one before has its answer or has left.
    pub in_turn: bool,
    /// Nodes listed up at the start, one for each cell.
    pub nodes: usize,
    /// What the register has to tell.
    pub news: Vec<News>,
    /// At most so many troubles in one history.
    pub troubles: u8,
    /// Which troubles there are.
    pub kinds: &'static [Trouble],
    /// What the clock moves by.
    pub step: Nanos,
    /// Requests come within so many steps of the clock; all that were taken are seen to their end.
    pub steps: u8,
    /// Cap on connections to nodes.
    pub connections: usize,
    /// Idle connections are used again within this.
    pub idle: Nanos,
    /// Whether each history is seen to its return to health, which takes some hundred times as long.
    pub heals: bool,
    /// Part of the quick run.
    pub quick: bool,
}

/// What may go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Trouble {
    /// A client leaves.
    Leave,
    /// A connection is refused.
    Refuse,
    /// A connection breaks.
    Break,
    /// A node answers with an error.
    Error,
    /// A node turns a request away.
    TurnAway,
    /// A node's answer cannot be read.
    Spoil,
    /// A node closes an idle connection.
    Close,
    /// Bytes come that nobody asked for.
    Unasked,
    /// This machine stands still.
    Still,
}

/// What a connection is about, as both ends know together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Wire {
    machine: ServerConnection,
    node: NodeId,
    place: u32,
    /// What has really gone out of the present request.
    sent: Sent,
    /// The node has closed it.
    closed: bool,
    /// Bytes wait that are the answer to nothing.
    unasked: bool,
    /// It has been established.
    up: bool,
    /// When it was opened, or fell quiet.
    since: Nanos,
    /// The attempt on it.
    on: Option<(RequestId, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Sent {
    Nothing,
    Part,
    Whole,
}

/// An attempt in the front.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Try {
    node: NodeId,
    until: Nanos,
    machine: Attempt,
    /// Its connection.
    wire: Option<u32>,
    /// Connections that have taken a byte of it.
    touched: u8,
    /// To be dropped.
    stopped: bool,
    /// Withdrawn, to end so unless it has begun.
    withdrawn: Option<Outcome>,
}

/// A request as a node knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Work {
    client: usize,
    attempt: u32,
    wire: u32,
    ran: bool,
    /// Its connection is gone: what has not run may stop, or go on.
    orphan: bool,
}

/// What a client knows of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Client {
    /// It has not asked.
    Silent,
    /// It waits.
    Waits { id: RequestId, until: Nanos },
    /// It has its answer.
    Answered(FinalAnswer),
    /// It left.
    Left { id: RequestId },
}

/// What a node is, by what the front was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Told {
    listed: Listed,
    cell: CellId,
    came_up: Nanos,
    forgotten: bool,
}

/// A state of the world.
#[derive(Clone, Debug)]
pub struct State {
    now: Nanos,
    steps: u8,
    troubles: u8,
    news: usize,
    pub(crate) desk: RequestTracker<Judge>,
    pool: ConnectionPool<u32>,
    wires: BTreeMap<u32, Wire>,
    tries: BTreeMap<(RequestId, u32), Try>,
    works: Vec<Work>,
    pub(crate) clients: Vec<Client>,
    /// Runs of each client's request, at all nodes together.
    pub(crate) runs: Vec<u8>,
    timers: Vec<(Nanos, u64)>,
    nodes: Vec<Told>,
    /// The properties broken so far.
    pub broken: Broken,
}

/// What comes next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The next client that has not asked sends its request.
    Ask(usize),
    /// A client leaves.
    Leave(usize),
    /// A connection is up.
    Up(u32),
    /// A connection is refused.
    Refused(u32),
    /// A connection takes some of the request.
    Part(u32),
    /// A connection takes the rest of the request.
    Rest(u32),
    /// A connection breaks.
    Break(u32),
    /// A node closes an idle connection.
    Close(u32),
    /// Bytes that nobody asked for lie on a connection.
    Unasked(u32),
    /// The front reads what nobody asked for.
    Hear(u32),
    /// A node runs a request.
    Run(usize),
    /// A node lets a cancelled request be.
    Stops(usize),
    /// A node's answer to a request arrives.
    Answer(usize),
    /// It arrives and cannot be read.
    Spoilt(usize),
    /// A node answers with an error.
    Error(usize),
    /// A node turns a request away.
    TurnedAway(usize),
    /// The front drops an attempt that was given up.
    Drop(RequestId, u32),
    /// The front ends an attempt that was withdrawn before it began.
    Withdraw(RequestId, u32),
    /// The register's next news arrives.
    News(usize),
    /// The clock moves on.
    Clock,
    /// The front stands still meanwhile.
    Still,
    /// A timer of the module is due.
    Timer(u64),
    /// The time of an attempt is over.
    TimeUp(RequestId, u32),
    /// A connection has not come up in time.
    DialTimeUp(u32),
    /// The time of a client, and the slack, are over.
    Overdue(usize),
    /// The one who decides decides.
    Decide(Action),
}

/// A decision as histories name it. Histories that were stored are replayed by these texts, so they stay whatever the
/// actions are called in the code.
struct DecisionText<'a>(&'a Action);

impl fmt::Display for DecisionText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Action::Send { id, node, timeout: patience } => {
                write!(f, "Place {{ id: {id}, node: {node}, patience: {patience} }}")
            }
            Action::Cancel { id, attempt } => write!(f, "Cancel {{ id: {id}, attempt: {attempt} }}"),
            Action::Reject { id, retry_after: wait } => write!(f, "Refuse {{ id: {id}, wait: {wait} }}"),
            Action::Fail(id) => write!(f, "Fail({id})"),
            Action::SetTimer { after, cookie } => write!(f, "Sleep {{ after: {after}, cookie: {cookie} }}"),
            Action::Subscribe => write!(f, "Subscribe"),
            Action::ForgetNode(node) => write!(f, "Forget({node})"),
            Action::Log { text, node } => write!(f, "Note {{ text: {text:?}, node: {node} }}"),
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Ask(c) => write!(f, "client {c} asks"),
            Step::Leave(c) => write!(f, "client {c} leaves"),
            Step::Up(w) => write!(f, "connection {w} is up"),
            Step::Refused(w) => write!(f, "connection {w} is refused"),
            Step::Part(w) => write!(f, "connection {w} takes a part of the request"),
            Step::Rest(w) => write!(f, "connection {w} takes the last byte of the request"),
            Step::Break(w) => write!(f, "connection {w} breaks"),
            Step::Close(w) => write!(f, "the node closes connection {w}"),
            Step::Unasked(w) => write!(f, "bytes that nobody asked for come on connection {w}"),
            Step::Hear(w) => write!(f, "the front reads them on connection {w}"),
            Step::Run(w) => write!(f, "the node runs work {w}"),
            Step::Stops(w) => write!(f, "the node drops cancelled work {w}"),
            Step::Answer(w) => write!(f, "the answer to work {w} comes"),
            Step::Spoilt(w) => write!(f, "the answer to work {w} comes spoilt"),
            Step::Error(w) => write!(f, "the node answers work {w} with an error"),
            Step::TurnedAway(w) => write!(f, "the node turns work {w} away"),
            Step::Drop(id, a) => write!(f, "attempt {a} of request {id} is dropped"),
            Step::Withdraw(id, a) => write!(f, "attempt {a} of request {id} ends before it began"),
            Step::News(n) => write!(f, "news {n} of the register arrives"),
            Step::Clock => write!(f, "the clock moves on"),
            Step::Still => write!(f, "the front stands still"),
            Step::Timer(c) => write!(f, "timer {c} is due"),
            Step::TimeUp(id, a) => write!(f, "the time of attempt {a} of request {id} is over"),
            Step::DialTimeUp(w) => write!(f, "connection {w} does not come up in time"),
            Step::Overdue(c) => write!(f, "the time of client {c} is over"),
            Step::Decide(action) => write!(f, "decided: {}", DecisionText(action)),
        }
    }
}

impl Explored for World {
    type State = State;
    type Step = Step;

    fn card(&self) -> Card {
        Card { name: self.name, about: self.about, quick: self.quick }
    }

    fn broken<'a>(&self, state: &'a State) -> &'a Broken {
        &state.broken
    }

    fn begin(&self) -> State {
        let judge = match self.mode {
            Mode::Any => Judge::any(),
            Mode::Module => {
                // The settings of every configuration hold; a test says so.
                Judge::Module(Box::new(
                    Scheduler::new(self.settings.clone(), 7, BEGAN).expect("settings hold"),
                ))
            }
        };
        let node = |n| Told { listed: Listed::Up, cell: n, came_up: 0, forgotten: false };
        let mut state = State {
            now: BEGAN,
            steps: 0,
            troubles: 0,
            news: 0,
            desk: RequestTracker::new(judge),
            pool: ConnectionPool::new(self.idle, self.connections),
            wires: BTreeMap::new(),
            tries: BTreeMap::new(),
            works: Vec::new(),
            clients: vec![Client::Silent; self.asks.len()],
            runs: vec![0; self.asks.len()],
            timers: Vec::new(),
            nodes: (0..self.nodes as CellId).map(node).collect(),
            broken: Broken::default(),
        };
        for n in 0..self.nodes {
            state.pool.add(n);
        }
        let nodes = (0..self.nodes).map(|n| state.info(n)).collect();
        state.feed(self, Input::Endpoints { scope: UpdateScope::Restored, nodes });
        state
    }

    fn next(&self, state: &State, steps: &mut Vec<Step>) {
        if state.broken.any() {
            return;
        }
        let trouble = |t: Trouble| state.troubles < self.troubles && self.kinds.contains(&t);
        let silent = state.clients.iter().position(|c| *c == Client::Silent);
        let waits = |c: &Client| matches!(c, Client::Waits { .. });
        let turn = !self.in_turn || !state.clients.iter().any(waits);
        let silent = silent.filter(|_| turn && state.steps <= self.steps);
        steps.extend(silent.map(Step::Ask));
        for (c, client) in state.clients.iter().enumerate() {
            if let Client::Waits { until, .. } = client {
                if trouble(Trouble::Leave) {
                    steps.push(Step::Leave(c));
                }
                if state.now >= until + OVERDUE {
                    steps.push(Step::Overdue(c));
                }
            }
        }
        for (&w, wire) in &state.wires {
            self.next_on_wire(state, w, wire, &trouble, steps);
        }
        for (i, work) in state.works.iter().enumerate() {
            if !work.ran {
                steps.push(Step::Run(i));
                if work.orphan {
                    steps.push(Step::Stops(i));
                }
            }
            if !work.orphan {
                steps.extend(work.ran.then_some(Step::Answer(i)));
                steps.extend((work.ran && trouble(Trouble::Spoil)).then_some(Step::Spoilt(i)));
                steps.extend(trouble(Trouble::Error).then_some(Step::Error(i)));
                steps.extend((!work.ran && trouble(Trouble::TurnAway)).then_some(Step::TurnedAway(i)));
            }
        }
        for (&(id, attempt), t) in &state.tries {
            if t.stopped {
                steps.push(Step::Drop(id, attempt));
            } else if t.withdrawn.is_some() && t.machine == Attempt::Dialing {
                steps.push(Step::Withdraw(id, attempt));
            }
            if state.now >= t.until {
                steps.push(Step::TimeUp(id, attempt));
            }
        }
        if state.news < self.news.len() {
            steps.push(Step::News(state.news));
        }
        for &(due, cookie) in &state.timers {
            if state.now >= due {
                steps.push(Step::Timer(cookie));
            }
        }
        // Whatever is due is late by a step at the most.
        let due = steps.iter().any(|s| {
            matches!(
                s,
                Step::Timer(_)
                    | Step::TimeUp(..)
                    | Step::DialTimeUp(_)
                    | Step::Overdue(_)
                    | Step::Drop(..)
                    | Step::Withdraw(..)
            )
        });
        if !due && (state.is_busy() || (silent.is_some() && state.steps < self.steps)) {
            steps.push(Step::Clock);
            if trouble(Trouble::Still) {
                steps.push(Step::Still);
            }
        }
        if self.mode == Mode::Any {
            self.decisions(state, steps);
        }
    }

    fn after(&self, last: &State, step: &Step) -> State {
        let taken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let mut state = last.clone();
            state.take(self, step);
            state.look(self);
            state
        }));
        taken.unwrap_or_else(|_| {
            let mut state = last.clone();
            state.broken.panicked = true;
            state
        })
    }
}

impl World {
    fn next_on_wire(
        &self,
        state: &State,
        w: u32,
        wire: &Wire,
        trouble: &impl Fn(Trouble) -> bool,
        steps: &mut Vec<Step>,
    ) {
        if !wire.up {
            steps.push(Step::Up(w));
            if trouble(Trouble::Refuse) {
                steps.push(Step::Refused(w));
            }
            if state.now >= wire.since + self.dial_timeout() {
                steps.push(Step::DialTimeUp(w));
            }
            return;
        }
        if wire.on.is_some() {
            if wire.sent != Sent::Whole && !wire.closed {
                if wire.sent == Sent::Nothing {
                    steps.push(Step::Part(w));
                }
                steps.push(Step::Rest(w));
            }
            // What the node closed while it was quiet breaks once something is written to it.
            if wire.closed || trouble(Trouble::Break) {
                steps.push(Step::Break(w));
            }
            if wire.unasked {
                steps.push(Step::Hear(w));
            }
        } else if !wire.closed && trouble(Trouble::Close) {
            steps.push(Step::Close(w));
        }
        // Behind a request's last byte nothing tells what is unasked from its answer: see the design note.
        if !wire.unasked && !wire.closed && wire.sent != Sent::Whole && trouble(Trouble::Unasked) {
            steps.push(Step::Unasked(w));
        }
    }

    /// What may be decided, where anything may be: all that the rules allow, as far as the front can know.
    fn decisions(&self, state: &State, steps: &mut Vec<Step>) {
        let Judge::Any(known) = state.desk.decisions() else { return };
        for (node, told) in state.nodes.iter().enumerate() {
            let used = state.tries.values().any(|t| t.node == node);
            if told.listed == Listed::Removed && !told.forgotten && !used {
                steps.push(Step::Decide(Action::ForgetNode(node)));
            }
        }
        for (&id, held) in state.desk.requests() {
            let Some(about) = known.get(&id) else { continue };
            let class = &self.settings.classes[about.class];
            let once = class.semantics == Semantics::AtMostOnce;
            let doubt = about.maybe_ran || !held.in_flight.is_empty();
            for out in held.in_flight.iter().filter(|o| !o.cancelled) {
                steps.push(Step::Decide(Action::Cancel { id, attempt: out.attempt }));
            }
            if held.answered {
                // Who decides may be late; the desk must send nothing for what is answered.
                if held.attempts_started < self.settings.max_attempts {
                    steps.push(Step::Decide(Action::Send { id, node: 0, timeout: 0 }));
                }
                continue;
            }
            if held.in_flight.is_empty()
                && held.attempts_started < self.settings.max_attempts
                && !(once && about.maybe_ran)
            {
                for (node, told) in state.nodes.iter().enumerate() {
                    if told.listed == Listed::Up {
                        steps.push(Step::Decide(Action::Send { id, node, timeout: 0 }));
                    }
                }
            }
            if !once || !doubt {
                steps.push(Step::Decide(Action::Reject { id, retry_after: 50 * MS }));
            }
            steps.push(Step::Decide(Action::Fail(id)));
        }
    }

    /// Longest time for a connection to come up.
    fn dial_timeout(&self) -> Nanos {
        2 * self.step
    }

    /// The request of a client.
    fn request(&self, client: usize, id: RequestId) -> Request {
        let Ask { class, cell, patience } = self.asks[client];
        Request {
            id,
            class,
            plan: 0,
            volume: 1,
            key: Some(client as u64),
            patience,
            units: 2.0,
            cell,
            front_count: 1,
        }
    }
}

impl State {
    fn info(&self, node: NodeId) -> NodeInfo {
        let told = &self.nodes[node];
        NodeInfo {
            node,
            zone: node as u32 % 2,
            cell: told.cell,
            listed: told.listed,
            started_at: told.came_up,
        }
    }

    fn feed(&mut self, world: &World, input: Input) {
        let mut effects = Vec::new();
        self.desk.on(self.now, input, &mut effects);
        self.carry_out(world, effects, None);
    }

    fn take(&mut self, world: &World, step: &Step) {
        match *step {
            Step::Ask(c) => {
                let id = self.desk.allocate_id();
                self.clients[c] = Client::Waits { id, until: self.now + world.asks[c].patience };
                let request = world.request(c, id);
                self.feed(world, Input::RequestReceived(request));
            }
            Step::Leave(c) => {
                self.troubles += 1;
                let Client::Waits { id, .. } = self.clients[c] else { return };
                self.clients[c] = Client::Left { id };
                self.feed(world, Input::ClientGone(id));
            }
            Step::Overdue(c) => {
                let Client::Waits { id, .. } = self.clients[c] else { return };
                self.feed(world, Input::Overdue(id));
            }
            Step::Up(w) => {
                let on = self.wires.get_mut(&w).and_then(|wire| {
                    wire.up = true;
                    wire.on
                });
                if let Some(on) = on {
                    self.drive(world, on, AttemptEvent::Connected);
                }
            }
            Step::Refused(w) => {
                self.troubles += 1;
                self.cut(world, w, AttemptEvent::ConnectFailed);
            }
            Step::DialTimeUp(w) => self.cut(world, w, AttemptEvent::ConnectFailed),
            Step::Part(w) => self.write(world, w, false),
            Step::Rest(w) => self.write(world, w, true),
            Step::Break(w) => {
                let Some(wire) = self.wires.get(&w) else { return };
                self.troubles += u8::from(!wire.closed);
                let (doubt, sent) = (wire.machine.execution(), wire.sent);
                self.doubted(doubt, sent);
                self.cut(world, w, AttemptEvent::ConnectionBroke(doubt));
            }
            Step::Close(w) => {
                self.troubles += 1;
                self.wires.entry(w).and_modify(|wire| wire.closed = true);
            }
            Step::Unasked(w) => {
                self.troubles += 1;
                self.wires.entry(w).and_modify(|wire| wire.unasked = true);
            }
            Step::Hear(w) => self.hear(world, w, None),
            Step::Run(i) => {
                let work = &mut self.works[i];
                work.ran = true;
                self.runs[work.client] += 1;
                if work.orphan {
                    self.works.remove(i);
                }
            }
            Step::Stops(i) => {
                self.works.remove(i);
            }
            Step::Answer(i) => self.answered(world, i, Some(Outcome::Served)),
            Step::Spoilt(i) => {
                self.troubles += 1;
                self.answered(world, i, None);
            }
            Step::Error(i) => {
                self.troubles += 1;
                self.answered(world, i, Some(Outcome::Error));
            }
            Step::TurnedAway(i) => {
                self.troubles += 1;
                self.answered(world, i, Some(Outcome::Rejected));
            }
            Step::Drop(id, attempt) => {
                self.dropped((id, attempt));
                self.feed(world, Input::AttemptCancelled { id, attempt });
            }
            Step::Withdraw(id, attempt) => {
                let key = (id, attempt);
                let Some(t) = self.tries.get_mut(&key) else { return };
                let (wire, outcome) = (t.wire.take(), t.withdrawn);
                wire.into_iter().for_each(|wire| self.close(wire));
                self.drive(world, key, AttemptEvent::Withdrawn(outcome.unwrap_or(Outcome::NotSent)));
            }
            Step::TimeUp(id, attempt) => {
                self.dropped((id, attempt));
                self.feed(world, Input::AttemptTimedOut { id, attempt });
            }
            Step::News(n) => {
                self.news += 1;
                self.told(world, world.news[n]);
            }
            Step::Clock => {
                self.steps = self.steps.saturating_add(1).min(world.steps + 1);
                self.now += world.step;
            }
            Step::Still => {
                self.steps = self.steps.saturating_add(1).min(world.steps + 1);
                self.troubles += 1;
                self.now += STILL;
            }
            Step::Timer(cookie) => {
                self.timers.retain(|(_, c)| *c != cookie);
                self.feed(world, Input::Timer(cookie));
            }
            Step::Decide(ref action) => {
                let mut effects = Vec::new();
                self.desk.apply_decision(self.now, action.clone(), &mut effects);
                self.carry_out(world, effects, None);
            }
        }
    }

    /// As the exchange does. `brought` is the client whose request was answered, where an answer came.
    fn carry_out(&mut self, world: &World, effects: Vec<Effect>, brought: Option<Option<usize>>) {
        for effect in effects {
            match effect {
                Effect::Send { id, attempt, node, deadline: until, .. } => {
                    self.check_send(world, id, node);
                    let time =
                        |c: &Client| matches!(c, Client::Waits { id: i, until: t } if *i == id && *t < until);
                    self.broken.too_much_time |= self.clients.iter().any(time);
                    let fresh = Try {
                        node,
                        until,
                        machine: Attempt::AcquiringConnection,
                        wire: None,
                        touched: 0,
                        stopped: false,
                        withdrawn: None,
                    };
                    self.tries.insert((id, attempt), fresh);
                    self.step_on(world, (id, attempt), AttemptStep::AcquireConnection);
                }
                Effect::Cancel { id, attempt } => {
                    self.tries.entry((id, attempt)).and_modify(|t| t.stopped = true);
                }
                Effect::Withdraw { id, attempt, outcome } => {
                    self.tries.entry((id, attempt)).and_modify(|t| t.withdrawn = Some(outcome));
                }
                Effect::Answer { id, answer: verdict } => self.answer(world, id, verdict, brought),
                Effect::Release(_) | Effect::Log { .. } | Effect::Subscribe => {}
                Effect::SetTimer { after, cookie } => {
                    self.timers.retain(|(_, c)| *c != cookie);
                    self.timers.push((self.now + after, cookie));
                }
                Effect::ForgetNode(node) => {
                    let used = self.tries.values().any(|t| t.node == node);
                    self.broken.node_forgotten_in_use |= used;
                    self.nodes[node].forgotten = true;
                    for (conn, _) in self.pool.remove(node) {
                        self.close(conn);
                    }
                }
            }
        }
    }

    fn check_send(&mut self, world: &World, id: RequestId, node: NodeId) {
        let told = &self.nodes[node];
        self.broken.work_to_leaving_node |= told.listed != Listed::Up;
        self.broken.node_forgotten_in_use |= told.forgotten;
        let held = self.desk.requests().get(&id);
        let (tries, out) = held.map_or((0, 0), |h| (h.attempts_started, h.in_flight.len()));
        let copies = if world.settings.hedging { 2 } else { 1 };
        self.broken.too_many_attempts |= tries > world.settings.max_attempts || out > copies;
        let waits = self.clients.iter().any(|c| matches!(c, Client::Waits { id: i, .. } if *i == id));
        self.broken.sent_for_nobody |= !waits;
    }

    fn answer(&mut self, world: &World, id: RequestId, verdict: FinalAnswer, brought: Option<Option<usize>>) {
        let about = |c: &Client| match c {
            Client::Waits { id: i, .. } | Client::Left { id: i } => *i == id,
            _ => false,
        };
        let Some(c) = self.clients.iter().position(about) else {
            self.broken.second_final_answer = true;
            return;
        };
        if matches!(self.clients[c], Client::Left { .. }) {
            self.broken.answer_after_leaving = true;
            return;
        }
        if verdict == FinalAnswer::Served {
            self.broken.foreign_answer |= brought != Some(Some(c));
        }
        let once = world.settings.classes[world.asks[c].class].semantics == Semantics::AtMostOnce;
        if once && matches!(verdict, FinalAnswer::Rejected(_)) {
            let may_run = self.works.iter().any(|w| w.client == c && !w.ran);
            let writing = self.wires.values().any(|w| w.on.is_some_and(|(i, _)| i == id));
            self.broken.harmful_refusal |= self.runs[c] > 0 || may_run || writing;
        }
        self.clients[c] = Client::Answered(verdict);
    }

    /// An attempt takes what has happened, as the upstream does.
    fn drive(&mut self, world: &World, key: (RequestId, u32), event: AttemptEvent) {
        let Some(t) = self.tries.get_mut(&key) else { return };
        let next = t.machine.on(event);
        self.step_on(world, key, next);
    }

    fn step_on(&mut self, world: &World, key: (RequestId, u32), mut next: AttemptStep) {
        loop {
            let Some(t) = self.tries.get_mut(&key) else { return };
            next = match next {
                AttemptStep::AcquireConnection => {
                    t.wire = None;
                    let wires = &self.wires;
                    let quiet = |w: &u32| {
                        wires
                            .get(w)
                            .is_some_and(|w| w.machine == ServerConnection::Idle && !w.closed && !w.unasked)
                    };
                    let (found, useless) = self.pool.take(t.node, self.now, quiet);
                    for conn in useless {
                        self.close(conn);
                    }
                    let room = found.is_none() && self.room(key);
                    let Some(t) = self.tries.get_mut(&key) else { return };
                    t.wire = found;
                    t.machine.on(if found.is_some() {
                        AttemptEvent::PooledConnectionFound
                    } else {
                        AttemptEvent::NoPooledConnection { may_open: room }
                    })
                }
                AttemptStep::Dial => {
                    let node = t.node;
                    // The lowest free one, so that histories that differ in numbers alone meet.
                    let number = (0..).find(|n| !self.wires.contains_key(n)).unwrap_or_default();
                    t.wire = Some(number);
                    let wire = Wire {
                        machine: ServerConnection::Idle,
                        node,
                        place: self.pool.address_epoch(node).unwrap_or_default(),
                        sent: Sent::Nothing,
                        closed: false,
                        unasked: false,
                        up: false,
                        since: self.now,
                        on: Some(key),
                    };
                    self.wires.insert(number, wire);
                    self.broken.too_many_connections |= self.wires.len() > world.connections;
                    return;
                }
                AttemptStep::Send => {
                    let Some(wire) = t.wire.and_then(|w| self.wires.get_mut(&w)) else { return };
                    let reused = wire.on.is_none();
                    wire.machine.on(ConnectionEvent::RequestAssigned);
                    wire.sent = Sent::Nothing;
                    wire.on = Some(key);
                    self.broken.idle_too_long |= reused && self.now - wire.since >= world.idle;
                    self.broken.sent_to_old_place |=
                        reused && Some(wire.place) != self.pool.address_epoch(wire.node);
                    return;
                }
                AttemptStep::End(outcome) => {
                    let touched = self.tries.remove(&key).is_some_and(|t| t.touched > 0);
                    self.broken.doubt_is_wrong |= outcome == Outcome::Reset && !touched;
                    let (id, attempt) = key;
                    let (seen_use, foreign_units) = (0.0, 0.0);
                    self.feed(world, Input::AttemptEnded { id, attempt, outcome, seen_use, foreign_units });
                    return;
                }
            };
        }
    }

    fn room(&mut self, key: (RequestId, u32)) -> bool {
        let Some(t) = self.tries.get(&key) else { return false };
        if self.pool.address_epoch(t.node).is_none() {
            return false;
        }
        match self.pool.capacity(self.wires.len()) {
            Capacity::Available => true,
            Capacity::AfterClosing(conn) => {
                self.close(conn);
                true
            }
            Capacity::Exhausted => false,
        }
    }

    /// The front closes a connection, or it is gone: what the node has of it goes on alone, or stops.
    fn close(&mut self, conn: u32) {
        self.wires.remove(&conn);
        for work in self.works.iter_mut().filter(|w| w.wire == conn) {
            (work.orphan, work.wire) = (true, NO_WIRE);
        }
        self.works.sort_unstable();
        self.works.retain(|w| !(w.orphan && w.ran));
    }

    /// A connection ends, and its attempt is told.
    fn cut(&mut self, world: &World, conn: u32, event: AttemptEvent) {
        let on = self.wires.get(&conn).and_then(|w| w.on);
        self.close(conn);
        if let Some(on) = on {
            self.drive(world, on, event);
        }
    }

    /// An attempt is dropped with what it holds.
    fn dropped(&mut self, key: (RequestId, u32)) {
        if let Some(wire) = self.tries.remove(&key).and_then(|t| t.wire) {
            self.close(wire);
        }
    }

    /// The front looks at the socket, and writes.
    fn write(&mut self, world: &World, conn: u32, last: bool) {
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        let on = wire.on.and_then(|key| self.tries.get(&key));
        let withdrawn = on.and_then(|t| t.withdrawn.or(t.stopped.then_some(Outcome::Cancelled)));
        if !wire.machine.may_write(wire.unasked, withdrawn.is_some()) {
            let (doubt, sent) = (wire.machine.execution(), wire.sent);
            self.doubted(doubt, sent);
            let ends = withdrawn.filter(|_| doubt == Execution::NotStarted).map(AttemptEvent::Withdrawn);
            self.cut(world, conn, ends.unwrap_or(AttemptEvent::ConnectionBroke(doubt)));
            return;
        }
        let Some(key) = wire.on else { return };
        let first = wire.sent == Sent::Nothing;
        let waits = |c: &Client| matches!(c, Client::Waits { id, .. } if *id == key.0);
        self.broken.sent_for_nobody |= first && !self.clients.iter().any(waits);
        wire.sent = if last { Sent::Whole } else { Sent::Part };
        wire.machine.on(ConnectionEvent::BytesWritten { last });
        let told = &self.nodes[wire.node];
        self.broken.work_to_leaving_node |= first && told.listed != Listed::Up;
        if let Some(t) = self.tries.get_mut(&key) {
            t.touched += u8::from(first);
            self.broken.resent |= t.touched > 1;
        }
        if last {
            if let Some(client) = self.client_of(key.0) {
                let work = Work { client, attempt: key.1, wire: conn, ran: false, orphan: false };
                self.works.push(work);
                self.works.sort_unstable();
            }
        }
    }

    /// Which client has asked the request of this number: numbers are given in the order of asking.
    fn client_of(&self, id: RequestId) -> Option<usize> {
        usize::try_from(id).ok().filter(|c| *c < self.clients.len())
    }

    fn doubted(&mut self, doubt: Execution, sent: Sent) {
        let ran = sent == Sent::Whole;
        self.broken.doubt_is_wrong |= (doubt == Execution::MayHaveRun) != ran;
    }

    /// The node's answer comes whole, or cannot be read.
    fn answered(&mut self, world: &World, work: usize, outcome: Option<Outcome>) {
        let work = self.works.remove(work);
        let Some(wire) = self.wires.get_mut(&work.wire) else { return };
        wire.machine.on(ConnectionEvent::BytesReceived);
        match outcome {
            Some(outcome) => self.hear(world, work.wire, Some((work.client, outcome))),
            // What cannot be read closes the connection, and it may have run.
            None => {
                let (doubt, sent) = (wire.machine.execution(), wire.sent);
                self.doubted(doubt, sent);
                self.cut(world, work.wire, AttemptEvent::ConnectionBroke(doubt));
            }
        }
    }

    /// The front reads what it takes for an answer: that of a client's request, or bytes of nobody's.
    fn hear(&mut self, world: &World, conn: u32, answer: Option<(usize, Outcome)>) {
        let Some(wire) = self.wires.get_mut(&conn) else { return };
        if answer.is_none() {
            wire.unasked = false;
            wire.machine.on(ConnectionEvent::BytesReceived);
        }
        let Some(key) = wire.on else { return };
        if !wire.machine.is_reading_response() {
            let (doubt, sent) = (wire.machine.execution(), wire.sent);
            self.doubted(doubt, sent);
            self.cut(world, conn, AttemptEvent::ConnectionBroke(doubt));
            return;
        }
        wire.machine.on(ConnectionEvent::ResponseComplete);
        wire.on = None;
        wire.since = self.now;
        let (node, place) = (wire.node, wire.place);
        // What lies on the socket is looked for where the connection is taken again.
        let quiet = wire.machine == ServerConnection::Idle;
        let outcome = answer.map_or(Outcome::Served, |(_, outcome)| outcome);
        if let Some(t) = self.tries.get_mut(&key) {
            t.machine.on(AttemptEvent::Answered(outcome));
        }
        self.tries.remove(&key);
        if let Some(conn) = self.pool.release(node, place, conn, self.now, quiet) {
            self.close(conn);
        }
        let (id, attempt) = key;
        let mut effects = Vec::new();
        let (seen_use, foreign_units) = (0.0, 0.0);
        self.desk.on(
            self.now,
            Input::AttemptEnded { id, attempt, outcome, seen_use, foreign_units },
            &mut effects,
        );
        self.carry_out(world, effects, Some(answer.map(|(client, _)| client)));
    }

    fn told(&mut self, world: &World, news: News) {
        let now = self.now;
        let (scope, node) = match news {
            News::Lost => {
                self.feed(world, Input::Endpoints { scope: UpdateScope::Unavailable, nodes: Vec::new() });
                return;
            }
            News::Drains(node) => {
                self.nodes[node].listed = Listed::Draining;
                (UpdateScope::Update, node)
            }
            News::Gone(node) => {
                self.nodes[node].listed = Listed::Removed;
                (UpdateScope::Update, node)
            }
            News::TakesOver(node, cell) => {
                let fresh = Told { listed: Listed::Up, cell, came_up: now, forgotten: false };
                if node == self.nodes.len() {
                    self.nodes.push(fresh);
                } else {
                    self.nodes[node] = fresh;
                }
                self.pool.add(node);
                (UpdateScope::Update, node)
            }
            News::Moves(node) => {
                for (conn, _) in self.pool.address_changed(node) {
                    self.close(conn);
                }
                return;
            }
        };
        let nodes = vec![self.info(node)];
        self.feed(world, Input::Endpoints { scope, nodes });
    }

    /// What can be seen of a state, whatever led to it.
    fn look(&mut self, world: &World) {
        for (c, runs) in self.runs.iter().enumerate() {
            let class = &world.settings.classes[world.asks[c].class];
            self.broken.submit_ran_twice |= class.semantics == Semantics::AtMostOnce && *runs > 1;
            let refused = matches!(self.clients[c], Client::Answered(FinalAnswer::Rejected(_)));
            self.broken.harmful_refusal |= class.semantics == Semantics::AtMostOnce && *runs > 0 && refused;
        }
        // A step of the clock is how late a timer may be.
        let late = OVERDUE + world.step.max(STILL);
        let waits = |c: &Client| matches!(c, Client::Waits { until, .. } if self.now > until + late);
        self.broken.not_answered |= self.clients.iter().any(waits);
        let out =
            self.desk.requests().iter().flat_map(|(id, h)| h.in_flight.iter().map(|o| (*id, o.attempt)));
        self.broken.attempt_unknown |= !out.eq(self.tries.keys().copied());
        self.broken.node_forgotten_in_use |=
            self.pool.idle_connections().any(|(n, _)| self.nodes[n].forgotten);
        let waits = |c: &Client| matches!(c, Client::Waits { .. });
        if !self.clients.iter().any(waits) && self.tries.is_empty() {
            let held = self.wires.values().any(|w| w.on.is_some());
            let stray = self.pool.idle_connections().count() != self.wires.len();
            self.broken.left_at_rest |= held || stray || !self.desk.requests().is_empty();
            self.broken.left_at_rest |= !self.desk.decisions().is_at_rest();
            // Asked once of each history, where nothing more will come of clients.
            if world.heals && !self.clients.contains(&Client::Silent) && !self.broken.any() {
                let well = |t: &&Told| t.listed == Listed::Up && t.came_up == 0;
                let cells: Vec<CellId> = self.nodes.iter().filter(well).map(|t| t.cell).collect();
                self.broken.does_not_recover |= !self.desk.decisions().recovers(self.now, &cells);
            }
        }
    }

    /// How many clients have their answer.
    pub fn answered_clients(&self) -> usize {
        self.clients.iter().filter(|c| matches!(c, Client::Answered(_))).count()
    }

    /// Whether a request is waiting, or anything is out.
    fn is_busy(&self) -> bool {
        let waits = |c: &Client| matches!(c, Client::Waits { .. });
        self.clients.iter().any(waits) || !self.tries.is_empty() || !self.desk.requests().is_empty()
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        same(self, other)
    }
}

impl Hash for State {
    /// Moments count by how far they are from now: what happens next hangs on nothing else.
    fn hash<H: Hasher>(&self, h: &mut H) {
        let ago = |t: Nanos| self.now - t;
        (self.steps, self.troubles, self.news, self.broken).hash(h);
        for (id, held) in self.desk.requests() {
            (id, ago(held.deadline), held.answered, held.attempts_started).hash(h);
            for out in &held.in_flight {
                (out.attempt, out.node, ago(out.sent_at), out.cancelled).hash(h);
            }
        }
        self.desk.decisions().fingerprint(self.now, h);
        for (node, conn) in self.pool.idle_connections() {
            (node, conn).hash(h);
        }
        for (number, w) in &self.wires {
            let since = if w.up && w.on.is_some() { 0 } else { ago(w.since) };
            (number, w.machine, w.node, w.place, w.sent, w.closed, w.unasked, w.up, since, w.on).hash(h);
        }
        for (key, t) in &self.tries {
            (key, t.node, ago(t.until), t.machine, t.wire, t.touched, t.stopped, t.withdrawn).hash(h);
        }
        self.works.hash(h);
        for client in &self.clients {
            match client {
                Client::Waits { id, until } => (1, id, ago(*until)).hash(h),
                Client::Answered(FinalAnswer::Rejected(_)) => 2.hash(h),
                other => other.hash(h),
            }
        }
        self.runs.hash(h);
        for (due, cookie) in &self.timers {
            (ago(*due), cookie).hash(h);
        }
        for told in &self.nodes {
            (told.listed, told.cell, told.forgotten).hash(h);
        }
    }
}
