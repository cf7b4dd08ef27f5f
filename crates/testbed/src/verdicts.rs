//! Verdicts of many fronts on servers, in one process: servers that are bad for all, for one zone or for one class of
//! work, fronts that lie or whose own network is bad, and the faults of a schedule.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use serde::Serialize;
use tulipbridge_membership::{GossipAction, GossipInput, Incarnation, Key, Nanos, PeerId};
use tulipbridge_outlier_detection::{
    Class, DetectorConfig, Effect, EjectionTarget, Event, OutlierDetector, SampleQuality, Scope, Server,
    Zone, EVIDENCE, VOTE,
};

use crate::network::{Agenda, Links, Message, Peer, Said, BEAT, LIFE, MS};
use crate::schedule::{Fault, Millis, Schedule};

const RATE: u64 = 20_000;
/// How many servers.
pub const SERVERS: u64 = 8;
const CLASSES: Class = 2;
/// Between two looks beside the rounds, as the shell has it.
const JUDGED: Nanos = 50 * MS;
/// Bad attempts at a server that is well, of a thousand.
const CHANCE: u32 = 10;

/// What is wrong with a server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Illness {
    /// So many attempts of a thousand are bad.
    All(u32),
    /// All of one zone are bad.
    Zone(Zone),
    /// All of one class are bad.
    Class(Class),
}

/// What is wrong with a front.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Defect {
    /// It takes every attempt for bad.
    AllBad,
    /// It takes every attempt for good, and has made many.
    AllGood,
    /// So many of its attempts anywhere are bad, of a thousand.
    Network(u32),
    /// It cannot reach one server.
    Link(Server),
}

/// What a run is about, drawn from its seed.
#[derive(Clone, Debug, Serialize)]
pub struct Setting {
    /// Servers that are ill from a moment on, in milliseconds, until the schedule ends.
    pub ill: Vec<(Millis, Server, Illness)>,
    /// A front with a defect of its own.
    pub faulty: Option<(usize, Defect)>,
    /// Attempts of each front, a second.
    pub load: u32,
    /// Whether nothing befalls links and processes.
    pub calm: bool,
}

impl Setting {
    /// From a seed, for so many fronts.
    pub fn draw(seed: u64, fronts: usize) -> Setting {
        let mut lot = Rng::with_seed(seed ^ 0x7e4d);
        let ill = (0..[0, 1, 1, 2, 2, 6][lot.usize(0..6)]).map(|_| {
            let illness = match lot.u8(0..6) {
                0..=2 => Illness::All([1_000, 600, 300][lot.usize(0..3)]),
                3 => Illness::Zone(lot.u8(0..2)),
                4 => Illness::Class(lot.u8(0..CLASSES)),
                _ => Illness::All(1_000),
            };
            (lot.u64(2_000..8_000), lot.u64(0..SERVERS), illness)
        });
        let ill = ill.collect();
        let faulty = (lot.u8(0..3) == 0).then(|| {
            let fault = match lot.u8(0..4) {
                0 => Defect::AllBad,
                1 => Defect::AllGood,
                2 => Defect::Link(lot.u64(0..SERVERS)),
                _ => Defect::Network(lot.u32(100..400)),
            };
            (lot.usize(0..fronts), fault)
        });
        Setting { ill, faulty, load: [4, 16, 40][lot.usize(0..3)], calm: lot.u8(0..4) == 0 }
    }
}

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// Most servers held out at a moment, over all fronts that run.
    pub most_out: usize,
    /// A server was held out for fronts or work for which it was never bad.
    pub innocent: Option<String>,
    /// Something was held out long after all was well.
    pub not_lapsed: bool,
    /// The same after the time that good trials take, with nothing in their way.
    pub not_back: bool,
    /// A front held a server out with too few assents that were young enough.
    pub unfounded: Option<String>,
    /// A front assented with too few witnesses whose evidence was young enough.
    pub unseen: Option<String>,
    /// Most servers that may be out at a moment, over all fronts.
    pub may_out: usize,
    /// Most trials of one server within half a turn, in a run with no faults of links and processes.
    pub trials: usize,
    /// Bad attempts at ill servers, of all fronts.
    pub paid: u64,
    /// Servers that were ill for all work of all fronts and were held out.
    pub found: u64,
    /// A server that did not answer at all was not held out, with nothing else in the way.
    pub missed: bool,
    /// Messages with entries.
    pub messages: u64,
}

impl Verdict {
    /// Whether every bound held.
    pub fn holds(&self) -> bool {
        self.most_out <= self.may_out
            && !self.missed
            && !self.not_back
            && self.unfounded.is_none()
            && self.unseen.is_none()
            && self.innocent.is_none()
            && !self.not_lapsed
            && self.trials <= 3
    }
}

struct Front {
    peer: Peer,
    verdicts: OutlierDetector,
    /// When it may look again beside its rounds, and whether it is to.
    look_at: Nanos,
    due: bool,
}

enum Due {
    Round(usize, Incarnation),
    Attempt(usize, Incarnation),
    Look(usize, Incarnation),
    Deliver(Message),
    Step(usize),
    Start(usize),
}

struct World<'a> {
    schedule: &'a Schedule,
    setting: Setting,
    lot: Rng,
    now: Nanos,
    end: Nanos,
    agenda: Agenda<Due>,
    fronts: Vec<Option<Front>>,
    links: Links,
    trials: Vec<(Nanos, Server)>,
    held: BTreeSet<Server>,
    /// When each front last put which assent, and evidence of which server, that stands.
    assents: BTreeMap<(usize, EjectionTarget), Nanos>,
    evidence: BTreeMap<(usize, Server), Nanos>,
    verdict: Verdict,
}

/// Runs a schedule with the setting of its seed.
pub fn run(schedule: &Schedule) -> Verdict {
    let count = schedule.fronts;
    let end = schedule.millis as Nanos * MS;
    let mut world = World {
        setting: Setting::draw(schedule.seed, count),
        schedule,
        lot: Rng::with_seed(schedule.seed ^ 0x6e1),
        now: 0,
        end,
        agenda: Agenda::new(),
        fronts: (0..count).map(|_| None).collect(),
        links: Links::new(count),
        trials: Vec::new(),
        held: BTreeSet::new(),
        assents: BTreeMap::new(),
        evidence: BTreeMap::new(),
        verdict: Verdict::default(),
    };
    for place in 0..count {
        world.agenda.put(0, Due::Start(place));
    }
    if !world.setting.calm {
        for (number, step) in schedule.steps.iter().enumerate() {
            world.agenda.put(step.at as Nanos * MS, Due::Step(number));
        }
    }
    world.until(end);
    world.links.mend();
    for place in 0..count {
        if world.fronts[place].is_none() {
            world.agenda.put(end, Due::Start(place));
        }
    }
    // All is well by now: evidence and assents run out.
    let terms = DetectorConfig::new(0, count as PeerId, 0);
    world.verdict.may_out = count * terms.max_votes(SERVERS as usize) / terms.quorum();
    // Each front tries for nine turns, of which one may have been half over, and one waits before the first.
    let tried = 21 * terms.probe_turn + 2 * BEAT;
    world.until(end + tried);
    // Where more are bad than may be out, they take turns, and their triers with them.
    let few = world.setting.ill.len() <= terms.max_votes(SERVERS as usize);
    let busy = world.setting.calm && world.setting.faulty.is_none() && world.setting.load >= 16 && few;
    let holds = world.fronts.iter().flatten().any(|f| f.verdicts.ejected().next().is_some());
    world.verdict.not_back = busy && holds;
    let wait = terms.evidence_ttl + 2 * terms.vote_ttl + 4 * LIFE;
    world.until(end + wait);
    world.verdict.not_lapsed = world.fronts.iter().flatten().any(|f| f.verdicts.ejected().next().is_some());
    let ill = world.setting.ill.iter().filter(|(_, _, illness)| matches!(illness, Illness::All(_)));
    world.verdict.found = ill.filter(|(_, server, _)| world.held.contains(server)).count() as u64;
    if let [(_, server, Illness::All(1_000))] = world.setting.ill[..] {
        let seen = world.setting.load >= 16 && count >= 4 && world.setting.calm;
        world.verdict.missed = seen && !world.held.contains(&server);
    }
    // Fronts differ on since when one is out that fails now and then, and so on whose turn it is.
    let lasting = world.setting.ill.iter().all(|(_, _, illness)| *illness == Illness::All(1_000));
    world.verdict.trials = if world.setting.calm && few && lasting { world.most_trials() } else { 0 };
    world.verdict
}

impl World<'_> {
    fn until(&mut self, end: Nanos) {
        while let Some((at, due)) = self.agenda.next(end) {
            self.now = at;
            match due {
                Due::Start(place) => self.start(place),
                Due::Round(place, boot) => self.round(place, boot),
                Due::Attempt(place, boot) => self.attempt(place, boot),
                Due::Look(place, boot) => self.look(place, boot),
                Due::Deliver(message) => self.deliver(message),
                Due::Step(number) => self.strike(self.schedule.steps[number].fault.clone()),
            }
        }
        self.now = end;
    }

    fn zone(place: usize) -> Zone {
        (place % 2) as Zone
    }

    fn start(&mut self, place: usize) {
        if self.fronts[place].is_some() {
            return;
        }
        let (boot, count, now) = (self.lot.u64(1..u64::MAX), self.fronts.len(), self.now);
        let peer = Peer::new(place, count, boot, RATE, now);
        let terms = DetectorConfig::new(place as PeerId, count as PeerId, Self::zone(place));
        let mut verdicts = OutlierDetector::new(terms).expect("the terms hold");
        let servers = (0..SERVERS).map(|s| (s, true)).collect();
        verdicts.on(now, &peer.entries, Event::Servers(servers), &mut Vec::new());
        self.fronts[place] = Some(Front { peer, verdicts, look_at: now, due: false });
        self.agenda.put(now, Due::Round(place, boot));
        self.agenda.put(now, Due::Attempt(place, boot));
    }

    /// A front that runs, is this boot, and does not stand still; else when it goes on.
    fn running(&mut self, place: usize, boot: Incarnation) -> Result<&mut Front, Option<Nanos>> {
        let now = self.now;
        match self.fronts[place].as_mut().filter(|f| f.peer.boot == boot) {
            Some(front) if now < front.peer.stopped_until => Err(Some(front.peer.stopped_until)),
            Some(front) => Ok(front),
            None => Err(None),
        }
    }

    fn attempt(&mut self, place: usize, boot: Incarnation) {
        let wait = -(1.0 - self.lot.f64()).ln() / f64::from(self.setting.load) * 1e9;
        let held = match self.running(place, boot) {
            Ok(front) => front.verdicts.ejected().collect::<Vec<EjectionTarget>>(),
            Err(again) => {
                if let Some(at) = again {
                    self.agenda.put(at, Due::Attempt(place, boot));
                }
                return;
            }
        };
        self.agenda.put(self.now + wait as Nanos + 1, Due::Attempt(place, boot));
        let class = self.lot.u8(0..CLASSES);
        let is_out = |server: &Server| {
            held.iter().any(|s| {
                s.server == *server
                    && match s.scope {
                        Scope::Class(c) => c == class,
                        Scope::All | Scope::Zone(_) => true,
                    }
            })
        };
        let open: Vec<Server> = (0..SERVERS).filter(|s| !is_out(s)).collect();
        let server = open[self.lot.usize(0..open.len())];
        let worth = self.worth(place, server, class);
        let liar = self.setting.faulty == Some((place, Defect::AllGood)) && self.now < self.end;
        for _ in 0..if liar { 50 } else { 1 } {
            self.feed(place, Event::Attempt { server, class, quality: worth });
        }
        if worth == SampleQuality::Failed {
            self.look_soon(place);
        }
    }

    /// As the shell does: a look beside the rounds, at most one in a while.
    fn look_soon(&mut self, place: usize) {
        let now = self.now;
        if let Some(front) = self.fronts[place].as_mut().filter(|f| !f.due) {
            front.due = true;
            self.agenda.put(front.look_at.max(now), Due::Look(place, front.peer.boot));
        }
    }

    fn look(&mut self, place: usize, boot: Incarnation) {
        let now = self.now;
        match self.running(place, boot) {
            Ok(front) => (front.look_at, front.due) = (now + JUDGED, false),
            Err(again) => {
                if let Some(at) = again {
                    self.agenda.put(at, Due::Look(place, boot));
                }
                return;
            }
        }
        if self.feed(place, Event::Evaluate) {
            let acts = self.fronts[place].as_mut().map_or_else(Vec::new, |front| front.peer.round(now));
            self.carry_out(place, acts);
        }
        if self.fronts[place].as_ref().is_some_and(|f| f.verdicts.is_waiting(now)) {
            self.look_soon(place);
        }
    }

    /// What an attempt comes to, as the front takes it.
    fn worth(&mut self, place: usize, server: Server, class: Class) -> SampleQuality {
        let (now, end, zone) = (self.now, self.end, Self::zone(place));
        let lot = self.lot.u32(0..1_000);
        let ill = |(at, s, illness): &(Millis, Server, Illness)| {
            let there = *s == server && now >= *at as Nanos * MS && now < end;
            there
                && match illness {
                    Illness::All(part) => lot < *part,
                    Illness::Zone(z) => *z == zone,
                    Illness::Class(c) => *c == class,
                }
        };
        let ill = self.setting.ill.iter().any(ill);
        self.verdict.paid += u64::from(ill);
        let own = self.setting.faulty.filter(|(front, _)| *front == place && now < end).map(|(_, f)| f);
        // At the end all is well.
        let lot = if now < end { lot } else { 1_000 };
        let bad = match own {
            Some(Defect::AllBad) => true,
            Some(Defect::AllGood) => false,
            Some(Defect::Network(part)) => ill || self.lot.u32(0..1_000) < part,
            Some(Defect::Link(to)) => ill || server == to || lot < CHANCE,
            None => ill || lot < CHANCE,
        };
        if bad {
            SampleQuality::Failed
        } else {
            SampleQuality::Healthy
        }
    }

    fn round(&mut self, place: usize, boot: Incarnation) {
        let now = self.now;
        let shake = self.lot.i64(-20..20) * MS;
        let hellos = match self.running(place, boot) {
            Ok(front) => front.peer.hellos(now),
            Err(again) => {
                if let Some(at) = again {
                    self.agenda.put(at, Due::Round(place, boot));
                }
                return;
            }
        };
        for (to, hello) in hellos {
            self.send(place, to, hello);
        }
        self.feed(place, Event::Evaluate);
        let acts = self.fronts[place].as_mut().map_or_else(Vec::new, |front| front.peer.round(now));
        self.carry_out(place, acts);
        self.agenda.put(now + BEAT + shake, Due::Round(place, boot));
    }

    /// Whether there is something to tell the others.
    fn feed(&mut self, place: usize, event: Event) -> bool {
        let now = self.now;
        let (mut tries, mut puts, mut tells) = (Vec::new(), Vec::new(), false);
        if let Some(front) = &mut self.fronts[place] {
            let mut effects = Vec::new();
            front.verdicts.on(now, &front.peer.entries, event, &mut effects);
            for effect in effects {
                match effect {
                    Effect::Put(key, value) => {
                        tells = true;
                        puts.push((key, value.clone()));
                        Self::put(&mut front.peer, now, key, value);
                    }
                    Effect::Probe(server) => tries.push(server),
                    Effect::Ejected(subject) => {
                        let told = innocent(&self.setting, subject);
                        self.verdict.innocent = self.verdict.innocent.take().or(told);
                        self.held.insert(subject.server);
                    }
                    Effect::Readmitted { .. } | Effect::Suspect(_) => {}
                }
            }
        }
        for (key, value) in puts {
            self.note(place, key, value);
        }
        for server in tries {
            self.trials.push((now, server));
            let class = self.lot.u8(0..CLASSES);
            let worth = self.worth(place, server, class);
            self.feed(place, Event::Probed { server, class, quality: worth });
            self.look_soon(place);
        }
        self.judge();
        tells
    }

    /// Notes what a front tells, and holds a new assent against the evidence there is.
    fn note(&mut self, place: usize, key: Key, value: Option<Vec<u8>>) {
        let now = self.now;
        let subject = value.as_ref().and_then(|v| postcard::from_bytes::<(EjectionTarget, Zone)>(v).ok());
        match (key.kind, value.is_some(), subject) {
            (EVIDENCE, true, _) => {
                self.evidence.insert((place, key.id), now);
            }
            (VOTE, true, Some((subject, _))) => {
                let terms = DetectorConfig::new(0, 1, 0);
                let fresh = self.evidence.iter().filter(|((_, server), at)| {
                    *server == subject.server && now - **at <= terms.evidence_ttl + BEAT
                });
                let first = !self.assents.contains_key(&(place, subject));
                if first && fresh.count() < terms.witnesses {
                    let told = format!("{subject:?} by {place} at {} ms", now / MS);
                    self.verdict.unseen = self.verdict.unseen.take().or(Some(told));
                }
                self.assents.insert((place, subject), now);
            }
            (VOTE, false, _) => {
                self.assents.retain(|(front, subject), at| {
                    // Taken back, it counts nowhere once that is heard; until then it counts by its age.
                    *front != place
                        || subject.id() != key.id
                        || now - *at <= DetectorConfig::new(0, 1, 0).vote_ttl
                });
            }
            _ => {}
        }
    }

    fn put(peer: &mut Peer, now: Nanos, key: Key, value: Option<Vec<u8>>) {
        let _ = peer.entries.on(now, &peer.contacts, GossipInput::Put(key, value), &mut Vec::new());
    }

    /// What all fronts that run hold out together.
    fn judge(&mut self) {
        let now = self.now;
        let there = self.fronts.iter().flatten().filter(|f| now >= f.peer.stopped_until);
        let out: BTreeSet<Server> = there.flat_map(|f| f.verdicts.ejected().map(|s| s.server)).collect();
        self.verdict.most_out = self.verdict.most_out.max(out.len());
        if self.verdict.unfounded.is_some() {
            return;
        }
        // A front that stood still looks at its next beat.
        let looked = |f: &&Front| now >= f.peer.stopped_until + 2 * BEAT;
        let unfounded = self.fronts.iter().flatten().filter(looked).find_map(|front| {
            let terms = front.verdicts.config();
            let oldest = now - terms.vote_span() - 2 * BEAT;
            let stands = |place: &usize, subject: EjectionTarget| {
                let whole = EjectionTarget { scope: Scope::All, ..subject };
                let put = [subject, whole].into_iter().filter_map(|s| self.assents.get(&(*place, s)));
                put.max().is_some_and(|at| *at >= oldest)
            };
            front.verdicts.ejected().find(|subject| {
                (0..self.fronts.len()).filter(|place| stands(place, *subject)).count() < terms.quorum()
            })
        });
        self.verdict.unfounded = unfounded.map(|s| format!("{s:?} at {} ms", now / MS));
    }

    fn most_trials(&self) -> usize {
        let turn = DetectorConfig::new(0, 1, 0).probe_turn;
        let near = |(at, server): &(Nanos, Server)| {
            self.trials.iter().filter(|(t, s)| s == server && *t >= *at && *t < at + turn / 2).count()
        };
        self.trials.iter().map(near).max().unwrap_or(0)
    }

    fn carry_out(&mut self, place: usize, acts: Vec<GossipAction>) {
        for act in acts {
            if let GossipAction::Send { to, message: exchange } = act {
                self.verdict.messages += 1;
                self.send(place, to, Said::Entries(exchange));
            }
        }
    }

    fn send(&mut self, from: usize, to: PeerId, said: Said) {
        let to = usize::from(to);
        let Some(boot) = self.fronts[from].as_ref().map(|f| f.peer.boot) else { return };
        for wait in self.links.copies(&mut self.lot, from, to) {
            let message = Message { to, from: from as PeerId, boot, said: said.clone() };
            self.agenda.put(self.now + wait, Due::Deliver(message));
        }
    }

    fn deliver(&mut self, message: Message) {
        let Some(front) = &mut self.fronts[message.to] else { return };
        if self.now < front.peer.stopped_until {
            self.agenda.put(front.peer.stopped_until, Due::Deliver(message));
            return;
        }
        let Message { to, from, boot, said } = message;
        let acts = front.peer.hear(self.now, from, boot, said);
        let changed = acts.iter().any(|a| matches!(a, GossipAction::Changed(..)));
        self.carry_out(to, acts);
        if changed {
            self.look_soon(to);
        }
    }

    fn strike(&mut self, fault: Fault) {
        let after = |millis: Millis| self.now + millis as Nanos * MS;
        match fault {
            Fault::Cut { .. } | Fault::Split { .. } | Fault::Heal | Fault::Weather { .. } => {
                self.links.strike(&fault);
            }
            Fault::Stop { front, millis } => {
                let until = after(millis);
                let stopped = self.fronts[front].iter_mut();
                stopped.for_each(|f| f.peer.stopped_until = f.peer.stopped_until.max(until));
            }
            Fault::Kill { front, back } => {
                self.fronts[front] = None;
                if let Some(at) = back.map(after) {
                    self.agenda.put(at, Due::Start(front));
                }
            }
            Fault::Leave { front, back } => {
                let at = after(back);
                self.fronts[front] = None;
                self.agenda.put(at, Due::Start(front));
            }
            Fault::Twin { .. } | Fault::Load { .. } | Fault::Roster { .. } => {}
            Fault::Wire { .. } | Fault::Server { .. } => {}
            Fault::Upgrade { .. } | Fault::Register { .. } | Fault::Replace { .. } => {}
        }
    }
}

/// What is wrong with a verdict on a server that was never bad for what it is held out for.
fn innocent(setting: &Setting, subject: EjectionTarget) -> Option<String> {
    let guilty = |(_, server, illness): &(Millis, Server, Illness)| {
        *server == subject.server
            && match (subject.scope, illness) {
                (_, Illness::All(_)) => true,
                (Scope::Zone(z), Illness::Zone(ill)) => z == *ill,
                (Scope::Class(c), Illness::Class(ill)) => c == *ill,
                // All work of one class is part of all work; fronts of another zone are not.
                (Scope::All | Scope::Zone(_), Illness::Class(_)) => true,
                _ => false,
            }
    };
    let zones = |zone: Zone| {
        let ill = |(_, server, illness): &(Millis, Server, Illness)| {
            *server == subject.server && *illness == Illness::Zone(zone)
        };
        setting.ill.iter().any(ill)
    };
    // A front that cannot reach a server which is ill for the other zone sees what that zone sees.
    let joined = matches!(setting.faulty, Some((_, Defect::Link(server))) if server == subject.server);
    let everywhere = (zones(0) && zones(1)) || (joined && (zones(0) || zones(1)));
    (!everywhere && !setting.ill.iter().any(guilty)).then(|| format!("{subject:?}"))
}
