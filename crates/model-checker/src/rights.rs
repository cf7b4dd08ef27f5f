//! Limits shared by a few fronts: every order of lost, late and repeated messages, stops, ends and starts within a
//! number of rounds, against the machine that the fronts run.
//!
//! A round is a beat: time passes, and every front that runs sends, one after another; what is not late arrives at
//! once. Troubles come between rounds, so many in all. Clocks do not drift here; the simulation of `tulipbridge-lab` has clocks that do.

use std::fmt::{Debug, Display};
use std::hash::{Hash, Hasher};

use tulipbridge_fleet_limits::{
    Effect, Event, Heartbeat, Limit, LimitCoordinator, LimitsConfig, Nanos, PeerId, Share, FULL_SHARE,
};

use crate::explore::{same, Card, Explored};
use crate::properties::Broken;

const BEAT: Nanos = 500_000_000;
const VOLUME: Limit = Limit::Volume(7);
/// So many rounds late is a message that is.
const LATE: u8 = 3;
/// Rounds before the search begins: by then every front holds its bank.
const BEFORE: u8 = 12;

/// A configuration.
#[derive(Clone, Debug)]
pub struct Rights {
    /// Its name.
    pub name: &'static str,
    /// What it is about.
    pub about: &'static str,
    /// How many fronts.
    pub fronts: PeerId,
    /// Rounds that are explored.
    pub rounds: u8,
    /// Troubles at the most.
    pub troubles: u8,
    /// Whether it is part of the quick run.
    pub quick: bool,
}

/// A process of a front.
#[derive(Clone, Debug)]
struct Process {
    quota: LimitCoordinator,
    stopped: bool,
    right: Share,
}

/// A message under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Message {
    from: PeerId,
    to: PeerId,
    boot: u64,
    beat: Heartbeat,
    /// It stays under way for so many more rounds.
    late: u8,
}

/// A state.
#[derive(Clone, Debug)]
pub struct State {
    round: u8,
    troubles: u8,
    boots: u64,
    processes: Vec<Option<Process>>,
    messages: Vec<Message>,
    cut: Vec<(PeerId, PeerId)>,
    /// Links on which the next message is late.
    hold: Vec<(PeerId, PeerId)>,
    broken: Broken,
}

impl State {
    fn now(&self) -> Nanos {
        Nanos::from(self.round) * BEAT
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, h: &mut H) {
        (self.round, self.troubles, self.boots, &self.messages, &self.cut, &self.hold, self.broken).hash(h);
        for process in &self.processes {
            match process {
                None => 0u8.hash(h),
                Some(p) => {
                    (1u8, p.stopped, p.right).hash(h);
                    p.quota.fingerprint(self.now(), h);
                }
            }
        }
    }
}

impl PartialEq for State {
    fn eq(&self, other: &State) -> bool {
        same(self, other)
    }
}

/// What may come next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A beat passes.
    Round,
    /// What one front sends another is lost from now on.
    Cut(PeerId, PeerId),
    /// Every link is whole again.
    Heal,
    /// The next message from one to another comes late.
    Late(PeerId, PeerId),
    /// A front and all others are cut off from each other.
    Isolate(PeerId),
    /// A front stands still.
    Stop(PeerId),
    /// It goes on.
    Continue(PeerId),
    /// A front is killed.
    Kill(PeerId),
    /// It starts again.
    Start(PeerId),
}

impl Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Step::Round => write!(f, "a beat passes"),
            Step::Cut(from, to) => write!(f, "cut {from} to {to}"),
            Step::Heal => write!(f, "heal"),
            Step::Late(from, to) => write!(f, "the next from {from} to {to} comes {LATE} rounds late"),
            Step::Isolate(front) => write!(f, "cut {front} off"),
            Step::Stop(front) => write!(f, "stop {front}"),
            Step::Continue(front) => write!(f, "continue {front}"),
            Step::Kill(front) => write!(f, "kill {front}"),
            Step::Start(front) => write!(f, "start {front}"),
        }
    }
}

impl Rights {
    fn start(&self, place: PeerId, boots: &mut u64, now: Nanos) -> Process {
        *boots += 1;
        let terms = LimitsConfig {
            lease_duration: 4 * BEAT,
            heartbeat_interval: BEAT,
            max_clock_drift: 0,
            ..LimitsConfig::new(place, self.fronts, 1)
        };
        let quota = LimitCoordinator::new(terms, *boots, now).expect("the terms hold");
        Process { quota, stopped: false, right: 0 }
    }

    fn feed(&self, state: &mut State, front: PeerId, event: Event) {
        let (now, cut) = (state.now(), state.cut.clone());
        let Some(process) = &mut state.processes[usize::from(front)] else { return };
        let mut effects = Vec::new();
        process.quota.on(now, event, &mut effects);
        let boot = process.quota.incarnation();
        for effect in effects {
            match effect {
                Effect::ShareChanged { share: part, .. } => process.right = part,
                Effect::Forget(_) => process.right = 0,
                Effect::Send { to, heartbeat: beat } if !cut.contains(&(front, to)) => {
                    let held = state.hold.iter().position(|l| *l == (front, to));
                    let late = held.map_or(0, |at| {
                        state.hold.remove(at);
                        LATE
                    });
                    state.messages.push(Message { from: front, to, boot, beat: *beat, late });
                }
                // No two processes of a name run here.
                Effect::Send { .. } | Effect::Reply { .. } | Effect::Received(_) => {}
            }
        }
    }

    fn judge(&self, state: &mut State) {
        let now = state.now();
        let mut sum = 0;
        for front in 0..self.fronts {
            let process = state.processes[usize::from(front)].as_ref().filter(|p| !p.stopped);
            if process.is_some_and(|p| now >= p.quota.next_expiry()) {
                self.feed(state, front, Event::Poll);
            }
            let process = state.processes[usize::from(front)].as_ref().filter(|p| !p.stopped);
            sum += process.map_or(0, |p| p.right);
        }
        state.broken.over_the_limit |= sum > FULL_SHARE;
    }

    /// What is under way and not late arrives. For one that stands still it waits, and is there when it goes on.
    fn deliver(&self, state: &mut State) {
        let mut at = 0;
        while at < state.messages.len() {
            let Message { to, late, .. } = state.messages[at];
            let process = state.processes[usize::from(to)].as_ref();
            if late > 0 || process.is_some_and(|p| p.stopped) {
                at += 1;
                continue;
            }
            let Message { from, boot, beat, .. } = state.messages.remove(at);
            self.feed(state, to, Event::HeartbeatReceived { from, boot, heartbeat: Box::new(beat) });
            self.judge(state);
        }
    }

    fn round(&self, state: &mut State) {
        state.round += 1;
        state.messages.iter_mut().for_each(|m| m.late = m.late.saturating_sub(1));
        self.judge(state);
        self.deliver(state);
        for front in 0..self.fronts {
            if state.processes[usize::from(front)].as_ref().is_none_or(|p| p.stopped) {
                continue;
            }
            // All is asked for at the first front, and some at the last.
            if front == 0 || front + 1 == self.fronts {
                let units = if front == 0 { 8.0 } else { 1.0 };
                self.feed(state, front, Event::Demanded { limit: VOLUME, units });
            }
            self.feed(state, front, Event::HeartbeatDue);
            self.judge(state);
            self.deliver(state);
        }
    }
}

impl Explored for Rights {
    type State = State;
    type Step = Step;

    fn card(&self) -> Card {
        Card { name: self.name, about: self.about, quick: self.quick }
    }

    fn begin(&self) -> State {
        let mut state = State {
            round: 0,
            troubles: self.troubles,
            boots: 0,
            processes: Vec::new(),
            messages: Vec::new(),
            cut: Vec::new(),
            hold: Vec::new(),
            broken: Broken::default(),
        };
        let mut boots = 0;
        state.processes = (0..self.fronts).map(|p| Some(self.start(p, &mut boots, 0))).collect();
        state.boots = boots;
        for _ in 0..BEFORE {
            self.round(&mut state);
        }
        state
    }

    fn next(&self, state: &State, steps: &mut Vec<Step>) {
        if state.broken.any() || state.round >= BEFORE + self.rounds {
            return;
        }
        steps.push(Step::Round);
        let fronts = || 0..self.fronts;
        for front in fronts() {
            match &state.processes[usize::from(front)] {
                None => steps.push(Step::Start(front)),
                Some(p) if p.stopped => steps.push(Step::Continue(front)),
                Some(_) => {}
            }
        }
        if !state.cut.is_empty() {
            steps.push(Step::Heal);
        }
        if state.troubles == 0 {
            return;
        }
        for front in fronts() {
            if state.processes[usize::from(front)].as_ref().is_some_and(|p| !p.stopped) {
                steps.push(Step::Stop(front));
                steps.push(Step::Kill(front));
                steps.push(Step::Isolate(front));
            }
            for to in fronts().filter(|to| *to != front && !state.cut.contains(&(front, *to))) {
                steps.push(Step::Cut(front, to));
                if !state.hold.contains(&(front, to)) {
                    steps.push(Step::Late(front, to));
                }
            }
        }
    }

    fn after(&self, last: &State, step: &Step) -> State {
        let mut state = last.clone();
        match step {
            Step::Round => self.round(&mut state),
            Step::Heal => state.cut.clear(),
            Step::Continue(front) => {
                if let Some(process) = &mut state.processes[usize::from(*front)] {
                    process.stopped = false;
                }
                self.feed(&mut state, *front, Event::Poll);
                self.judge(&mut state);
                self.deliver(&mut state);
            }
            Step::Start(front) => {
                let mut boots = state.boots;
                state.processes[usize::from(*front)] = Some(self.start(*front, &mut boots, state.now()));
                state.boots = boots;
            }
            trouble => {
                state.troubles -= 1;
                match trouble {
                    Step::Cut(from, to) => {
                        // What is late is on its way already.
                        state.messages.retain(|m| (m.from, m.to) != (*from, *to) || m.late > 0);
                        state.cut.push((*from, *to));
                        state.cut.sort_unstable();
                    }
                    Step::Isolate(front) => {
                        let others = (0..self.fronts).filter(|other| other != front);
                        state.cut.extend(others.flat_map(|other| [(*front, other), (other, *front)]));
                        state.cut.sort_unstable();
                        state.cut.dedup();
                        state.messages.retain(|m| (m.from != *front && m.to != *front) || m.late > 0);
                    }
                    Step::Late(from, to) => {
                        state.hold.push((*from, *to));
                        state.hold.sort_unstable();
                    }
                    Step::Stop(front) => {
                        if let Some(process) = &mut state.processes[usize::from(*front)] {
                            process.stopped = true;
                        }
                    }
                    Step::Kill(front) => {
                        state.processes[usize::from(*front)] = None;
                        state.messages.retain(|m| m.to != *front);
                    }
                    _ => {}
                }
            }
        }
        self.judge(&mut state);
        state
    }

    fn broken<'a>(&self, state: &'a State) -> &'a Broken {
        &state.broken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A search in which nothing is lent would hold whatever the machines do.
    #[test]
    fn what_is_asked_for_at_the_first_front_is_lent_to_it_before_the_search_begins() {
        for fronts in [2, 3] {
            let world = Rights { name: "t", about: "t", fronts, rounds: 1, troubles: 0, quick: true };
            let state = world.begin();
            let rights: Vec<Share> = state.processes.iter().flatten().map(|p| p.right).collect();
            assert!(rights[0] > FULL_SHARE / 4 * 3, "{rights:?}");
            let borrowed = state.processes[0].as_ref().map(|p| p.quota.peer_report(state.now(), 1).leased);
            assert!(borrowed.is_some_and(|b| b > 0));
        }
    }
}
