//! The machines of many fronts in one process, under a network and clocks of the simulation's own.
//!
//! Each front has its own clock, which runs fast or slow within the stated drift; a front that is stopped hears
//! nothing and sends nothing, and what waited for it comes at once when it goes on. After every event the rights of
//! all processes that run are added up.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fastrand::Rng;
use serde::Serialize;
use tulipbridge_fleet_limits::{
    Effect, Event, Heartbeat, Incarnation, Limit, LimitCoordinator, LimitsConfig, Nanos, PeerId, Share,
    FULL_SHARE,
};

use crate::network::Links;
use crate::schedule::{Fault, Millis, Schedule};

const MS: i128 = 1_000_000;
/// Clocks may differ by this in millionths; large, so that time matters.
const DRIFT: u32 = 40_000;
/// The volume that is asked for.
const VOLUME: Limit = Limit::Volume(7);

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// The most that all rights came to, in millionths of the limit.
    pub most: Share,
    /// When, in milliseconds.
    pub at: Millis,
    /// What the bound was at the moment of the largest excess; a failure is `most` above it.
    pub allowed: Share,
    /// Whether rights went over the bound.
    pub over: bool,
    /// Whether a front went on with more than its machine says that it may use.
    pub stale: bool,
    /// Once all was healed and had settled, the rights in use where any was asked for.
    pub healed: Option<Share>,
    /// What they should have been at least.
    pub owed: Share,
    /// Messages sent.
    pub messages: u64,
}

impl Verdict {
    /// Whether the run kept every bound.
    pub fn holds(&self) -> bool {
        !self.over && !self.stale && self.healed.is_none_or(|healed| healed >= self.owed)
    }
}

struct Process {
    place: usize,
    quota: LimitCoordinator,
    /// The clock: at the simulation's `began` it read `read`, and it gains `ppm` millionths.
    began: i128,
    read: i128,
    ppm: i128,
    stopped: bool,
    /// What came while it stood still.
    waiting: Vec<(usize, PeerId, Incarnation, Heartbeat)>,
    rights: BTreeMap<Limit, Share>,
    twin: bool,
}

impl Process {
    fn now(&self, at: i128) -> Nanos {
        let since = at - self.began;
        (self.read + since + since * self.ppm / 1_000_000) as Nanos
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Beat(usize),
    Ask(usize),
    Deliver(usize),
    Step(usize),
    Start(usize),
    Continue(usize),
    End(usize),
    Take(usize),
}

struct Message {
    /// The process it goes to.
    to: usize,
    /// The process it came from: where a reply goes.
    via: usize,
    from: PeerId,
    boot: Incarnation,
    beat: Heartbeat,
}

struct World<'a> {
    schedule: &'a Schedule,
    lot: Rng,
    now: i128,
    queue: BinaryHeap<Reverse<(i128, u64, Due)>>,
    number: u64,
    /// Every process there ever was; `None` has ended.
    processes: Vec<Option<Process>>,
    /// Which process has a place's address.
    address: Vec<Option<usize>>,
    messages: BTreeMap<usize, Message>,
    links: Links,
    rates: Vec<u32>,
    terms: Vec<LimitsConfig>,
    /// Twins there have been that may still be: each may add a floor and a bank.
    twins: u32,
    verdict: Verdict,
}

/// Runs a schedule.
pub fn run(schedule: &Schedule) -> Verdict {
    let fronts = schedule.fronts;
    let mut world = World {
        lot: Rng::with_seed(schedule.seed ^ 0x5eed),
        now: 0,
        queue: BinaryHeap::new(),
        number: 0,
        processes: Vec::new(),
        address: vec![None; fronts],
        messages: BTreeMap::new(),
        links: Links::new(fronts),
        rates: vec![0; fronts],
        terms: (0..fronts)
            .map(|me| LimitsConfig {
                max_clock_drift: DRIFT,
                ..LimitsConfig::new(me as PeerId, fronts as PeerId, 1)
            })
            .collect(),
        twins: 0,
        verdict: Verdict::default(),
        schedule,
    };
    for place in 0..fronts {
        let at = i128::from(world.lot.u64(0..400)) * MS;
        world.due(at, Due::Start(place));
    }
    for (number, step) in schedule.steps.iter().enumerate() {
        world.due(i128::from(step.at) * MS, Due::Step(number));
    }
    let end = i128::from(schedule.millis) * MS;
    world.until(end);
    world.heal();
    world.until(end + 10_000 * MS);
    // Shares of the load move from moment to moment: the mean of four seconds.
    let looks: Vec<Option<Share>> = (0..40)
        .map(|look| {
            world.until(end + (10_000 + look * 100) * MS);
            world.in_use()
        })
        .collect();
    world.settle(&looks);
    world.verdict
}

impl World<'_> {
    fn due(&mut self, at: i128, due: Due) {
        self.number += 1;
        self.queue.push(Reverse((at, self.number, due)));
    }

    fn until(&mut self, end: i128) {
        while self.queue.peek().is_some_and(|Reverse((at, _, _))| *at <= end) {
            let Some(Reverse((at, _, due))) = self.queue.pop() else { return };
            self.now = at;
            self.happen(due);
            self.judge();
        }
        self.now = end;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Beat(process) => {
                let Some(running) = &self.processes[process] else { return };
                let beat = i128::from(running.quota.config().heartbeat_interval);
                let stopped = running.stopped;
                let wait = beat + i128::from(self.lot.i64(-20_000_000..20_000_000));
                self.due(self.now + wait, Due::Beat(process));
                if !stopped {
                    self.feed(process, process, Event::HeartbeatDue);
                }
            }
            Due::Ask(place) => {
                let rate = self.rates[place];
                if rate == 0 {
                    return;
                }
                let wait = -(1.0 - self.lot.f64()).ln() / f64::from(rate) * 1e9;
                self.due(self.now + wait as i128 + 1, Due::Ask(place));
                if let Some(process) = self.address[place] {
                    if self.processes[process].as_ref().is_some_and(|p| !p.stopped) {
                        self.feed(process, process, Event::Demanded { limit: VOLUME, units: 2.0 });
                    }
                }
            }
            Due::Deliver(number) => {
                let Some(message) = self.messages.remove(&number) else { return };
                let Some(process) = &mut self.processes[message.to] else { return };
                if process.stopped {
                    process.waiting.push((message.via, message.from, message.boot, message.beat));
                    return;
                }
                let event = Event::HeartbeatReceived {
                    from: message.from,
                    boot: message.boot,
                    heartbeat: Box::new(message.beat),
                };
                self.feed(message.to, message.via, event);
            }
            Due::Step(number) => {
                let fault = self.schedule.steps[number].fault.clone();
                self.strike(fault);
            }
            Due::Start(place) => {
                if self.address[place].is_none() {
                    self.address[place] = Some(self.start(place, false));
                }
            }
            Due::Continue(process) => {
                let Some(running) = &mut self.processes[process] else { return };
                running.stopped = false;
                // The shell looks at the clock before it does anything else; what waited comes then.
                let waiting = std::mem::take(&mut running.waiting);
                self.feed(process, process, Event::Poll);
                self.judge();
                for (via, from, boot, beat) in waiting {
                    self.feed(
                        process,
                        via,
                        Event::HeartbeatReceived { from, boot, heartbeat: Box::new(beat) },
                    );
                }
            }
            Due::End(process) => {
                if self.processes[process].as_ref().is_some_and(|p| p.twin) {
                    self.twins -= 1;
                }
                self.processes[process] = None;
                for address in &mut self.address {
                    if *address == Some(process) {
                        *address = None;
                    }
                }
            }
            Due::Take(place) => {
                let terms = self.terms[place].clone();
                if let Some(process) = self.address[place] {
                    if self.processes[process].as_ref().is_some_and(|p| !p.stopped) {
                        self.feed(process, process, Event::Reconfigure(terms));
                    } else {
                        self.due(self.now + 50 * MS, Due::Take(place));
                    }
                }
            }
        }
    }

    fn start(&mut self, place: usize, twin: bool) -> usize {
        let (process, ppm) = (self.processes.len(), self.lot.i32(-19_000..19_000));
        // Each process has a clock of its own, that shows any time.
        let read = i128::from(self.lot.u32(1..4_000_000)) * MS;
        let boot = self.lot.u64(1..u64::MAX);
        let quota =
            LimitCoordinator::new(self.terms[place].clone(), boot, read as Nanos).expect("terms hold");
        let (began, ppm) = (self.now, i128::from(ppm));
        let (stopped, waiting, rights) = (false, Vec::new(), BTreeMap::new());
        self.processes.push(Some(Process { place, quota, began, read, ppm, stopped, waiting, rights, twin }));
        self.due(self.now + 1, Due::Beat(process));
        process
    }

    fn strike(&mut self, fault: Fault) {
        let fronts = self.schedule.fronts;
        let after = |millis: Millis| i128::from(millis) * MS;
        match fault {
            Fault::Cut { .. } | Fault::Split { .. } | Fault::Heal | Fault::Weather { .. } => {
                self.links.strike(&fault);
            }
            Fault::Stop { front, millis } => {
                let Some(process) = self.address[front] else { return };
                if let Some(running) = self.processes[process].as_mut().filter(|p| !p.stopped) {
                    running.stopped = true;
                    self.due(self.now + after(millis), Due::Continue(process));
                }
            }
            Fault::Kill { front, back } => {
                if let Some(process) = self.address[front] {
                    self.happen(Due::End(process));
                }
                if let Some(back) = back {
                    self.due(self.now + after(back), Due::Start(front));
                }
            }
            Fault::Leave { front, back } => {
                let Some(process) = self.address[front] else { return };
                if self.processes[process].as_ref().is_some_and(|p| p.stopped) {
                    return;
                }
                self.feed(process, process, Event::Shutdown);
                self.feed(process, process, Event::HeartbeatDue);
                self.happen(Due::End(process));
                self.due(self.now + after(back), Due::Start(front));
            }
            Fault::Twin { front, millis } => {
                self.twins += 1;
                let process = self.start(front, true);
                self.due(self.now + after(millis), Due::End(process));
            }
            // The machines here have no servers.
            Fault::Wire { .. } | Fault::Server { .. } | Fault::Register { .. } | Fault::Replace { .. } => {}
            // The second version is absent until the first has ended: a start, as the machines see it.
            Fault::Upgrade { front } => self.strike(Fault::Leave { front, back: 20 }),
            Fault::Load { front, rate } => {
                let idle = std::mem::replace(&mut self.rates[front], rate) == 0;
                if idle && rate > 0 {
                    self.due(self.now, Due::Ask(front));
                }
            }
            Fault::Roster { each, floor } => {
                for place in 0..fronts {
                    let terms = &mut self.terms[place];
                    terms.revision += 1;
                    terms.roster = terms.roster.wrapping_mul(31).wrapping_add(u64::from(floor));
                    terms.floor = FULL_SHARE / 100 * Share::from(floor);
                    // Files are laid first; each front takes its own when it is told to, or when it starts.
                    self.due(self.now + after(each * place as Millis), Due::Take(place));
                }
            }
        }
    }

    fn feed(&mut self, process: usize, via: usize, event: Event) {
        let Some(running) = &mut self.processes[process] else { return };
        let mut effects = Vec::new();
        let (now, boot) = (running.now(self.now), running.quota.incarnation());
        running.quota.on(now, event, &mut effects);
        let place = running.place;
        for effect in effects {
            match effect {
                Effect::ShareChanged { limit, share: part, .. } => {
                    if let Some(running) = &mut self.processes[process] {
                        running.rights.insert(limit, part);
                    }
                }
                Effect::Send { to, heartbeat: beat } => {
                    if let Some(to) = self.address[usize::from(to)] {
                        self.send(process, to, place, boot, *beat);
                    }
                }
                Effect::Reply { heartbeat: beat } => self.send(process, via, place, boot, *beat),
                Effect::Forget(limit) => {
                    if let Some(running) = &mut self.processes[process] {
                        running.rights.remove(&limit);
                    }
                }
                Effect::Received(_) => {}
            }
        }
        if let Some(running) = &self.processes[process] {
            let told = running.rights.get(&VOLUME).copied().unwrap_or(0);
            self.verdict.stale |= told > running.quota.share(now, VOLUME);
        }
    }

    fn send(&mut self, via: usize, to: usize, from: usize, boot: Incarnation, beat: Heartbeat) {
        self.verdict.messages += 1;
        let Some(place) = self.processes[to].as_ref().map(|p| p.place) else { return };
        for wait in self.links.copies(&mut self.lot, from, place) {
            let number = self.number as usize;
            let (from, beat) = (from as PeerId, beat.clone());
            self.messages.insert(number, Message { to, via, from, boot, beat });
            self.due(self.now + i128::from(wait), Due::Deliver(number));
        }
    }

    /// Adds up what all processes that run may use now.
    fn judge(&mut self) {
        let mut sum = 0;
        for number in 0..self.processes.len() {
            let Some(process) = self.processes[number].as_ref().filter(|p| !p.stopped) else { continue };
            if process.now(self.now) >= process.quota.next_expiry() {
                self.feed(number, number, Event::Poll);
            }
            sum += self.processes[number].as_ref().and_then(|p| p.rights.get(&VOLUME)).copied().unwrap_or(0);
        }
        // What each copy of a name may add: a bank where n is even and it has half of the roster, and a floor.
        let least = self.terms.iter().map(|t| t.floor_share() + t.issuer_share()).max().unwrap_or(0);
        let allowed = FULL_SHARE + self.twins * least;
        let excess = |most: Share, allowed: Share| i64::from(most) - i64::from(allowed);
        if excess(sum, allowed) > excess(self.verdict.most, self.verdict.allowed.max(1)) {
            (self.verdict.most, self.verdict.allowed) = (sum, allowed);
            self.verdict.at = (self.now / MS) as Millis;
        }
        self.verdict.over |= sum > allowed;
    }

    fn heal(&mut self) {
        self.links.mend();
        for number in 0..self.processes.len() {
            if self.processes[number].as_ref().is_some_and(|p| p.twin) {
                self.happen(Due::End(number));
            }
        }
    }

    /// What is in use of what is asked for, where that tells whether all is well: a roster that not all have taken
    /// leaves everybody at floors, and so does a fleet of which half is gone.
    fn in_use(&self) -> Option<Share> {
        let there = || self.address.iter().filter_map(|a| self.processes[(*a)?].as_ref());
        let asked = (0..self.schedule.fronts).any(|p| self.rates[p] > 0 && self.address[p].is_some());
        let settled = there().all(|p| p.quota.is_settled() && p.quota.config() == &self.terms[p.place]);
        let most = 2 * there().count() > self.schedule.fronts;
        (asked && settled && most).then(|| there().filter_map(|p| p.rights.get(&VOLUME)).sum())
    }

    /// Once all has been whole for long, what is asked for must be had.
    fn settle(&mut self, looks: &[Option<Share>]) {
        let seen: Vec<Share> = looks.iter().copied().flatten().collect();
        if seen.len() < looks.len() {
            return;
        }
        let mean = seen.iter().map(|s| u64::from(*s)).sum::<u64>() / seen.len().max(1) as u64;
        self.verdict.healed = Some(mean as Share);
        let gone = self.address.iter().filter(|a| a.is_none()).count() as Share;
        self.verdict.owed = FULL_SHARE - self.terms[0].floor_share() * gone - FULL_SHARE / 10;
    }
}
