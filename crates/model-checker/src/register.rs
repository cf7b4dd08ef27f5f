//! A small world round the watch on discovery: discovery that is down, refuses, answers late or not at all, watches that
//! fall silent or break, a new configuration, and who decides asking at any moment or never.
//!
//! The front in it is [`Watch`], as `discovery` runs it. The clock moves by a fixed step, and whatever is due has been
//! done before it moves.

use std::fmt;
use std::hash::{Hash, Hasher};

use tulipbridge_core::discovery_watch::{DiscoveryWatch, WatchEvent, WatchStep as Do, STALE_AFTER};
use tulipbridge_core::Nanos;

use crate::explore::{same, Card, Explored};
use crate::properties::Broken;
use crate::world::MS;

const BEGAN: Nanos = 100_000 * MS;
const CLOCK: Nanos = 250 * MS;
/// Discovery answers a call within this.
const ANSWERS: Nanos = 2_000 * MS;
/// A watch says something at least so often.
const BEATS: Nanos = 2_000 * MS;

/// What is explored.
#[derive(Clone, Debug)]
pub struct Register {
    /// Its name in commands.
    pub name: &'static str,
    /// What it is about.
    pub about: &'static str,
    /// Where the front's calls lie in the spread, from 0 to 1.
    pub phase: f64,
    /// Steps of the clock in one history at the most.
    pub steps: u8,
    /// Troubles in one history at the most.
    pub troubles: u8,
    /// Part of the quick run.
    pub quick: bool,
}

/// A connection to discovery, or a call for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Line {
    since: Nanos,
    /// When it last said something.
    said: Nanos,
    /// Nothing will come on it any more.
    silent: bool,
}

/// A state of it.
#[derive(Clone, Debug)]
pub struct State {
    now: Nanos,
    steps: u8,
    troubles: u8,
    machine: DiscoveryWatch,
    watch: Option<Line>,
    call: Option<Line>,
    up: bool,
    /// Since when the front may have missed something that it could have had: no watch works, and discovery can be
    /// reached.
    missed: Option<Nanos>,
    broken: Broken,
}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The clock moves on.
    Clock,
    /// What is due is done.
    Due,
    /// Discovery answers the call.
    Answer,
    /// It refuses it.
    Refuse,
    /// The watch says that nothing has changed.
    Beat,
    /// Everything that is open falls silent.
    Silence,
    /// The watch breaks.
    Break,
    /// Discovery goes down.
    Down,
    /// It comes back.
    Up,
    /// A new configuration names a discovery.
    Move,
    /// Who decides wants the list.
    Want,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Clock => "the clock moves on",
            Step::Due => "what is due is done",
            Step::Answer => "discovery answers the call",
            Step::Refuse => "discovery refuses the call",
            Step::Beat => "the watch says that nothing has changed",
            Step::Silence => "all that is open falls silent",
            Step::Break => "the watch breaks",
            Step::Down => "discovery goes down",
            Step::Up => "discovery comes back",
            Step::Move => "a new configuration names a discovery",
            Step::Want => "who decides wants the list",
        })
    }
}

impl Explored for Register {
    type State = State;
    type Step = Step;

    fn card(&self) -> Card {
        Card { name: self.name, about: self.about, quick: self.quick }
    }

    fn begin(&self) -> State {
        let machine = DiscoveryWatch::new(BEGAN, 0, self.phase);
        State {
            now: BEGAN,
            steps: 0,
            troubles: 0,
            machine,
            watch: None,
            call: None,
            up: true,
            missed: Some(BEGAN),
            broken: Broken::default(),
        }
    }

    fn next(&self, state: &State, steps: &mut Vec<Step>) {
        if state.broken.any() {
            return;
        }
        let now = state.now;
        let due = state.machine.due().is_some_and(|t| now >= t);
        let speaks = |line: &Option<Line>| line.filter(|l| !l.silent);
        let call = speaks(&state.call);
        if due {
            steps.push(Step::Due);
        }
        if call.is_some() {
            steps.push(if state.up { Step::Answer } else { Step::Refuse });
        }
        let must_beat = speaks(&state.watch).is_some_and(|l| now - l.said >= BEATS);
        if must_beat {
            steps.push(Step::Beat);
        }
        steps.push(Step::Want);
        if !state.up {
            steps.push(Step::Up);
        }
        if state.troubles < self.troubles {
            if state.watch.is_some() || state.call.is_some() {
                steps.push(Step::Silence);
            }
            if speaks(&state.watch).is_some() {
                steps.push(Step::Break);
            }
            if state.up {
                steps.push(Step::Down);
            }
            steps.push(Step::Move);
        }
        // A call is answered in time where discovery can be reached, and refused at once where it is down.
        let must_answer = call.is_some_and(|l| !state.up || now - l.since >= ANSWERS);
        if !due && !must_beat && !must_answer && state.steps < self.steps {
            steps.push(Step::Clock);
        }
    }

    fn after(&self, last: &State, step: &Step) -> State {
        let mut state = last.clone();
        state.take(*step);
        state
    }

    fn broken<'a>(&self, state: &'a State) -> &'a Broken {
        &state.broken
    }
}

impl State {
    fn take(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Clock => {
                self.now += CLOCK;
                self.steps += 1;
                self.broken.told_too_late |= self.missed.is_some_and(|since| self.now - since > STALE_AFTER);
            }
            Step::Due => self.feed(WatchEvent::TimerDue),
            Step::Want => self.feed(WatchEvent::ListWanted),
            Step::Answer => {
                self.feed(WatchEvent::Opened);
            }
            Step::Refuse => {
                self.call = None;
                self.feed(WatchEvent::Failed);
            }
            Step::Beat => {
                if let Some(line) = self.watch.as_mut() {
                    line.said = now;
                }
                self.feed(WatchEvent::MessageReceived);
            }
            Step::Silence => {
                self.troubles += 1;
                for line in [&mut self.watch, &mut self.call].into_iter().flatten() {
                    line.silent = true;
                }
                // What falls silent now is counted from now: a fault that comes on top of another.
                self.missed = self.up.then_some(now);
            }
            Step::Break => {
                self.troubles += 1;
                self.watch = None;
                self.missed = self.missed.or(self.up.then_some(now));
                self.feed(WatchEvent::Ended);
            }
            Step::Down => {
                self.troubles += 1;
                (self.up, self.missed) = (false, None);
                let stood = self.watch.is_some_and(|l| !l.silent);
                if stood {
                    self.watch = None;
                    self.feed(WatchEvent::Ended);
                }
            }
            Step::Up => (self.up, self.missed) = (true, Some(now)),
            Step::Move => {
                self.troubles += 1;
                self.missed = self.up.then_some(now);
                self.feed(WatchEvent::Moved);
            }
        }
        // As long as one works, nothing is missed.
        if self.watch.is_some_and(|l| !l.silent) && step != Step::Move {
            self.missed = None;
        }
    }

    fn feed(&mut self, event: WatchEvent) {
        let now = self.now;
        for step in self.machine.on(now, event) {
            match step {
                Do::Call => self.call = Some(Line { since: now, said: now, silent: false }),
                Do::CancelCall => self.call = None,
                Do::Adopt => self.watch = self.call.take().map(|l| Line { said: now, ..l }),
                Do::CloseWatch => self.watch = None,
                Do::ReportLost => {}
            }
        }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        same(self, other)
    }
}

impl Hash for State {
    /// Moments count by how far they are from now.
    fn hash<H: Hasher>(&self, h: &mut H) {
        let line = |l: &Option<Line>| l.map(|l| (self.now - l.since, self.now - l.said, l.silent));
        (self.steps, self.troubles, self.broken, self.up, self.missed.map(|t| self.now - t)).hash(h);
        (line(&self.watch), line(&self.call)).hash(h);
        self.machine.fingerprint(self.now, h);
    }
}
