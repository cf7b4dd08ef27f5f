//! A small world round the door: clients that connect, say something, half of something or nothing, and go; the
//! front that accepts, reads, answers and sends off; SIGTERM at any moment.
//!
//! The front in it is [`Door`], [`Visitor`] and [`Leaving`], as the listener runs them.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};

use tulipbridge_core::client_connection::{ClientConnection, ClientEvent, Phase};
use tulipbridge_core::connection_limiter::{Accept, ConnectionLimiter};
use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};
use tulipbridge_core::Nanos;

use crate::explore::{same, Card, Explored};
use crate::properties::Broken;
use crate::world::MS;

const BEGAN: Nanos = 100_000 * MS;
/// What the clock moves by: a look, a quiet moment, the time of a first request, that of a later one.
const CLOCK: [Nanos; 4] = [20 * MS, 220 * MS, 700 * MS, 3_000 * MS];
/// How late the front may be: one step of the clock.
const LATE: Nanos = 3_000 * MS;
/// From connecting until the first request is whole, and from the first byte of a later one until it is.
const FIRST: Nanos = 3_000 * MS;
const LATER: Nanos = 6_000 * MS;
/// The longest deadline of a request.
const LONGEST: Nanos = 3_000 * MS;
/// After SIGTERM everything is over by then.
const END: Nanos = 3_400 * MS;

/// What is explored.
#[derive(Clone, Debug)]
pub struct Entrance {
    /// Its name in commands.
    pub name: &'static str,
    /// What it is about.
    pub about: &'static str,
    /// Clients, each with one connection.
    pub clients: usize,
    /// Requests of each client at the most.
    pub requests: u8,
    /// Places, and those past them that may stand to be turned away.
    pub places: (usize, usize),
    /// Steps of the clock in one history at the most, before SIGTERM and after it.
    pub steps: u8,
    /// Whether SIGTERM may come.
    pub leaves: bool,
    /// Part of the quick run.
    pub quick: bool,
}

/// What a client's connection is, as the client and the kernel know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Line {
    /// What the client has sent of its present request.
    sent: Sent,
    /// How much of that the front has read.
    read: Sent,
    /// When the connection was accepted, or the first byte of the present request came.
    since: Nanos,
    /// Requests answered on it.
    answered: u8,
    /// The front has ended it and reads on for a while.
    ended: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Sent {
    Nothing,
    HalfHead,
    Head,
    Whole,
}

/// A client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Client {
    Away,
    /// In the queue of the front's socket.
    Queued,
    /// On the connection of this number.
    On(u64),
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Life {
    Serving,
    /// Since when it waits for what it was told last.
    Leaving(GracefulShutdown, ShutdownStep, Nanos),
    Over,
}

/// A state of the entrance.
#[derive(Clone, Debug)]
pub struct State {
    now: Nanos,
    steps: u8,
    door: ConnectionLimiter,
    visitors: BTreeMap<u64, ClientConnection>,
    lines: BTreeMap<u64, Line>,
    clients: Vec<Client>,
    life: Life,
    told: Nanos,
    broken: Broken,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client connects.
    Connect(usize),
    /// A client sends some more of its request.
    Send(usize),
    /// A client sends all the rest of its request.
    SendRest(usize),
    /// A client closes its connection.
    Close(usize),
    /// The front accepts the first in the queue.
    Accept,
    /// The front reads what has come.
    Read(u64),
    /// The front has answered the open request.
    Answer(u64),
    /// The body of a request has not come in time.
    BodyTimeUp(u64),
    /// The front has read on for long enough behind the end.
    Drained(u64),
    /// The front looks at its connections.
    Look,
    /// The clock moves on.
    Clock(usize),
    /// SIGTERM.
    Term,
    /// None came for as long as the front would wait.
    NoneCame,
    /// The front that leaves looks at what it holds.
    LookLeaving,
    /// A connection that is idle ends, since the front leaves.
    Graceful(u64),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Connect(c) => write!(f, "client {c} connects"),
            Step::Send(c) => write!(f, "client {c} sends some more"),
            Step::SendRest(c) => write!(f, "client {c} sends the rest"),
            Step::Close(c) => write!(f, "client {c} closes"),
            Step::Accept => write!(f, "the front accepts"),
            Step::Read(n) => write!(f, "the front reads from visitor {n}"),
            Step::Answer(n) => write!(f, "the front answers visitor {n}"),
            Step::BodyTimeUp(n) => write!(f, "the time of visitor {n}'s body is over"),
            Step::Drained(n) => write!(f, "the front stops reading from visitor {n}"),
            Step::Look => write!(f, "the front looks at its visitors"),
            Step::Clock(by) => write!(f, "the clock moves on by {} ms", CLOCK[*by] / MS),
            Step::Term => write!(f, "SIGTERM"),
            Step::NoneCame => write!(f, "no visitor comes any more"),
            Step::LookLeaving => write!(f, "the front looks whether it may end"),
            Step::Graceful(n) => write!(f, "visitor {n}, idle, is let go"),
        }
    }
}

impl Explored for Entrance {
    type State = State;
    type Step = Step;

    fn card(&self) -> Card {
        Card { name: self.name, about: self.about, quick: self.quick }
    }

    fn begin(&self) -> State {
        State {
            now: BEGAN,
            steps: 0,
            door: ConnectionLimiter::new(self.places.0 + self.places.1, self.places.1),
            visitors: BTreeMap::new(),
            lines: BTreeMap::new(),
            clients: vec![Client::Away; self.clients],
            life: Life::Serving,
            told: 0,
            broken: Broken::default(),
        }
    }

    fn next(&self, state: &State, steps: &mut Vec<Step>) {
        if state.broken.any() || state.life == Life::Over {
            return;
        }
        // The socket is closed once the front drains.
        let listens = matches!(state.life, Life::Serving | Life::Leaving(_, ShutdownStep::Accept(_), _));
        if let Some(c) = state.clients.iter().position(|c| *c == Client::Away).filter(|_| listens) {
            steps.push(Step::Connect(c));
        }
        for (c, client) in state.clients.iter().enumerate() {
            let Client::On(n) = client else { continue };
            let Some(line) = state.lines.get(n) else { continue };
            if line.answered < self.requests && line.sent < Sent::Whole && !line.ended {
                steps.push(Step::Send(c));
                if line.sent < Sent::Head {
                    steps.push(Step::SendRest(c));
                }
            }
            steps.push(Step::Close(c));
        }
        let queued = state.clients.contains(&Client::Queued);
        if queued && listens && state.may_accept() {
            steps.push(Step::Accept);
        }
        for (&n, line) in &state.lines {
            let Some(visitor) = state.visitors.get(&n) else { continue };
            let phase = visitor.phase().0;
            if line.ended {
                steps.push(Step::Drained(n));
                continue;
            }
            if line.read < line.sent && phase != Phase::Responding {
                steps.push(Step::Read(n));
            }
            if phase == Phase::Responding {
                steps.push(Step::Answer(n));
            }
            if phase == Phase::ReadingBody && state.now >= visitor.request_deadline() {
                steps.push(Step::BodyTimeUp(n));
            }
            let drains = matches!(state.life, Life::Leaving(_, ShutdownStep::Wait(_), _));
            let shut = matches!(phase, Phase::New | Phase::ReadingHead | Phase::ReadingBody | Phase::Idle);
            if drains && shut && !visitor.is_arriving(state.now, state.busy(n)) {
                steps.push(Step::Graceful(n));
            }
        }
        let mut due = state.visitors.keys().any(|n| state.is_over(*n));
        if due && state.life == Life::Serving {
            steps.push(Step::Look);
        }
        due &= state.life == Life::Serving;
        // What the front can do at once it has done before the clock moves on.
        due |= steps.iter().any(|s| matches!(s, Step::BodyTimeUp(_) | Step::Accept | Step::Read(_)));
        if let Life::Leaving(_, next, since) = state.life {
            match next {
                ShutdownStep::Accept(time) if !queued && state.now >= since + time => {
                    steps.push(Step::NoneCame)
                }
                ShutdownStep::Wait(time) if state.now >= since + time => steps.push(Step::LookLeaving),
                _ => {}
            }
            due |= steps.iter().any(|s| matches!(s, Step::NoneCame | Step::LookLeaving));
        }
        if state.life == Life::Serving && self.leaves {
            steps.push(Step::Term);
        }
        let leaving = matches!(state.life, Life::Leaving(..));
        if !due && (state.steps < self.steps || leaving) {
            // A look while leaving may be late as well: its 20 ms would only multiply the states.
            let steps_of_clock = if leaving { 1..3 } else { 0..CLOCK.len() };
            steps.extend(steps_of_clock.map(Step::Clock));
        }
    }

    fn after(&self, last: &State, step: &Step) -> State {
        let mut state = last.clone();
        state.take(self, *step);
        state.look(self);
        state
    }

    fn broken<'a>(&self, state: &'a State) -> &'a Broken {
        &state.broken
    }
}

impl State {
    fn busy(&self, n: u64) -> bool {
        self.lines.get(&n).is_some_and(|l| l.read < l.sent)
    }

    fn is_over(&self, n: u64) -> bool {
        let short = self.door.is_scarce(self.visitors.len());
        self.visitors
            .get(&n)
            .is_some_and(|v| v.has_timed_out(self.now, short, || self.busy(n) && v.phase().0 == Phase::Idle))
    }

    /// Whether accepting would not wait; asked on a copy.
    fn may_accept(&self) -> bool {
        self.clone().accept()
    }

    /// As the listener does, up to where it would wait.
    fn accept(&mut self) -> bool {
        let mut tried = None;
        loop {
            let next = self.door.accept(self.visitors.len(), tried);
            let idle = match next {
                Accept::Now => return true,
                Accept::Wait => return false,
                Accept::EvictIdle => true,
                Accept::EvictAny => false,
            };
            let visitors = self.visitors.iter().map(|(n, v)| (*n, *v));
            let idle_and_busy =
                |n: u64| self.busy(n) && self.visitors.get(&n).is_some_and(|v| v.phase().0 == Phase::Idle);
            let gone = self.door.eviction_candidate(self.now, idle, visitors, idle_and_busy);
            if let Some(n) = gone {
                self.close(n);
            }
            tried = Some((next, gone.is_some()));
        }
    }

    /// The front closes a connection of its own accord.
    fn close(&mut self, n: u64) {
        let (Some(visitor), Some(line)) = (self.visitors.remove(&n), self.lines.remove(&n)) else { return };
        let phase = visitor.phase().0;
        self.broken.open_request_cut |= phase == Phase::Responding;
        self.broken.closed_across_request |= phase == Phase::Idle && line.read < line.sent;
        for client in self.clients.iter_mut().filter(|c| **c == Client::On(n)) {
            *client = Client::Gone;
        }
    }

    fn on(&mut self, n: u64, event: ClientEvent) {
        let now = self.now;
        self.visitors.entry(n).and_modify(|v| v.on(now, event));
    }

    fn take(&mut self, world: &Entrance, step: Step) {
        match step {
            Step::Connect(c) => self.clients[c] = Client::Queued,
            Step::Send(c) => self.send(c, false),
            Step::SendRest(c) => self.send(c, true),
            Step::Close(c) => {
                if let Client::On(n) = self.clients[c] {
                    self.visitors.remove(&n);
                    self.lines.remove(&n);
                }
                self.clients[c] = Client::Gone;
            }
            Step::Accept => {
                self.accept();
                self.admit();
                self.leave(ShutdownEvent::Accepted);
            }
            Step::Read(n) => {
                let Some(line) = self.lines.get_mut(&n) else { return };
                line.read = line.sent;
                let event = match line.sent {
                    Sent::Nothing => return,
                    Sent::HalfHead => ClientEvent::HeadStarted,
                    Sent::Head => ClientEvent::BodyStarted,
                    Sent::Whole => ClientEvent::RequestReceived,
                };
                // A body is announced by its head, and a head by its first byte.
                let phase = self.visitors.get(&n).map(|v| v.phase().0);
                if matches!(phase, Some(Phase::New | Phase::Idle)) {
                    self.on(n, ClientEvent::HeadStarted);
                }
                if event == ClientEvent::RequestReceived && phase != Some(Phase::ReadingBody) {
                    self.on(n, ClientEvent::BodyStarted);
                }
                self.on(n, event);
            }
            Step::Answer(n) => {
                self.on(n, ClientEvent::Answered);
                let Some(line) = self.lines.get_mut(&n) else { return };
                (line.sent, line.read) = (Sent::Nothing, Sent::Nothing);
                line.answered += 1;
                // A front that drains ends each connection with its present answer, and so does one turned away.
                if matches!(self.life, Life::Leaving(_, ShutdownStep::Wait(_), _)) {
                    self.end(n);
                }
            }
            Step::BodyTimeUp(n) => {
                self.on(n, ClientEvent::RequestReceived);
                self.on(n, ClientEvent::Answered);
                self.end(n);
            }
            Step::Drained(n) => self.close(n),
            Step::Graceful(n) => {
                let begun = self.lines.get(&n).is_some_and(|l| l.sent > Sent::Nothing);
                self.broken.closed_across_request |= begun;
                self.close(n);
            }
            Step::Look => {
                let over: Vec<u64> = self.visitors.keys().copied().filter(|n| self.is_over(*n)).collect();
                for n in over {
                    self.close(n);
                }
            }
            Step::Clock(by) => {
                self.look_at_strangers();
                self.steps = self.steps.saturating_add(1).min(world.steps);
                self.now += CLOCK[by];
            }
            Step::Term => {
                let (leaving, next) = GracefulShutdown::new(self.now, LONGEST);
                self.told = self.now;
                self.life = Life::Leaving(leaving, next, self.now);
            }
            Step::NoneCame => self.leave(ShutdownEvent::AcceptTimedOut),
            Step::LookLeaving => self.leave_look(),
        }
    }

    fn send(&mut self, c: usize, rest: bool) {
        let Client::On(n) = self.clients[c] else { return };
        let now = self.now;
        let Some(line) = self.lines.get_mut(&n) else { return };
        if line.sent == Sent::Nothing && line.answered > 0 {
            line.since = now;
        }
        line.sent = match line.sent {
            _ if rest => Sent::Whole,
            Sent::Nothing => Sent::HalfHead,
            Sent::HalfHead => Sent::Head,
            Sent::Head | Sent::Whole => Sent::Whole,
        };
    }

    /// The first in the queue has its connection.
    fn admit(&mut self) {
        let Some(c) = self.clients.iter().position(|c| *c == Client::Queued) else { return };
        let n = (0..).find(|n| !self.visitors.contains_key(n)).unwrap_or_default();
        let line =
            Line { sent: Sent::Nothing, read: Sent::Nothing, since: self.now, answered: 0, ended: false };
        self.visitors.insert(n, ClientConnection::new(self.now));
        self.lines.insert(n, line);
        self.clients[c] = Client::On(n);
    }

    fn end(&mut self, n: u64) {
        self.on(n, ClientEvent::Closing);
        self.lines.entry(n).and_modify(|l| l.ended = true);
    }

    fn leave(&mut self, event: ShutdownEvent) {
        let Life::Leaving(mut leaving, ..) = self.life else { return };
        let next = leaving.on(self.now, event);
        self.life = Life::Leaving(leaving, next, self.now);
        if next == ShutdownStep::StopAccepting {
            while self.clients.contains(&Client::Queued) && self.accept() {
                self.admit();
            }
            self.leave_look();
        }
    }

    fn leave_look(&mut self) {
        let Life::Leaving(mut leaving, ..) = self.life else { return };
        let owed = |(n, v): (&u64, &ClientConnection)| v.has_pending_work(self.now, self.busy(*n));
        let open = self.visitors.iter().filter(|entry| owed(*entry)).count();
        let next = leaving.on(self.now, ShutdownEvent::Poll { connections: self.visitors.len(), busy: open });
        if next == ShutdownStep::Exit {
            self.life = Life::Over;
            let taken = |l: &Line| l.sent > Sent::Nothing && !l.ended;
            let taken = self.lines.values().any(taken);
            self.broken.left_with_open_request |= taken && self.now < self.told + END;
        } else {
            self.life = Life::Leaving(leaving, next, self.now);
        }
    }

    /// Before the clock moves on all that was due has been done, so that whose time is over has gone.
    fn look_at_strangers(&mut self) {
        let serving = self.life == Life::Serving;
        for line in self.lines.values().filter(|l| !l.ended && serving) {
            let whole = line.sent == Sent::Whole || (line.answered > 0 && line.sent == Sent::Nothing);
            let time = if line.answered > 0 { LATER } else { FIRST };
            self.broken.stranger_kept |= !whole && self.now >= line.since + time;
        }
    }

    fn look(&mut self, world: &Entrance) {
        self.broken.too_many_visitors |= self.visitors.len() > world.places.0 + world.places.1;
        let leaving = matches!(self.life, Life::Leaving(..));
        self.broken.leaves_too_late |= leaving && self.now > self.told + END + 2 * LATE;
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        same(self, other)
    }
}

impl Hash for State {
    /// Moments count by how far they are from now, and past every limit no further.
    fn hash<H: Hasher>(&self, h: &mut H) {
        let ago = |t: Nanos| (self.now - t).min(70_000 * MS);
        (self.steps, self.broken, &self.clients, self.visitors.len()).hash(h);
        // Of a front that takes nobody any more, nobody is sent off for the time he has had.
        let serving = matches!(self.life, Life::Serving | Life::Leaving(_, ShutdownStep::Accept(_), _));
        for (n, v) in &self.visitors {
            (n, v.phase().0).hash(h);
            if serving {
                (ago(v.phase().1), ago(v.connected_at())).hash(h);
            }
            // What may come to be a body is bounded by this also later on.
            if serving || matches!(v.phase().0, Phase::New | Phase::ReadingHead | Phase::ReadingBody) {
                (self.now - v.request_deadline()).min(0).hash(h);
            }
        }
        for (n, l) in &self.lines {
            (n, l.sent, l.read, l.answered, l.ended).hash(h);
            if serving {
                ago(l.since).hash(h);
            }
        }
        match &self.life {
            Life::Leaving(leaving, next, since) => {
                (1, leaving.quiet_polls(), next, ago(*since), ago(self.told)).hash(h);
            }
            Life::Serving => 2.hash(h),
            Life::Over => 3.hash(h),
        }
    }
}
