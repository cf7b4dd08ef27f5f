//! Versioned entries of many fronts under the faults of a schedule, in one process: what each holds of another is
//! what that one put, never older than it was, and after all has healed the same everywhere.

use std::collections::BTreeMap;

use fastrand::Rng;
use serde::Serialize;
use tulipbridge_membership::{GossipAction, GossipInput, Incarnation, Key, Nanos, PeerId};

use crate::network::{Agenda, Links, Message, Peer, Said, BEAT, LIFE, MS};
use crate::schedule::{Fault, Millis, Schedule};

/// Bytes a second; little, so that it binds.
const RATE: u64 = 4_000;
/// Keys that each front puts.
const KEYS: u64 = 12;

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// A front held what its origin had never put under that number, or something older than before.
    pub wrong: bool,
    /// A front took an entry for younger than it was.
    pub too_young: bool,
    /// After all had healed, some front did not know another's latest entries.
    pub lacking: bool,
    /// Most bytes of entries that a front sent within a second, encoded.
    pub most_bytes: u64,
    /// Messages with entries.
    pub messages: u64,
    /// Entries learnt.
    pub learnt: u64,
}

impl Verdict {
    /// Whether the run kept every bound: what is sent within a second may be that second's and what was saved up.
    pub fn holds(&self) -> bool {
        !self.wrong && !self.too_young && !self.lacking && self.most_bytes <= 2 * RATE
    }
}

struct Front {
    peer: Peer,
    put: u64,
    /// By origin: boot and version last seen here.
    seen: BTreeMap<PeerId, (Incarnation, u64)>,
    sent: Vec<(Nanos, u64)>,
}

enum Due {
    Round(usize, Incarnation),
    Deliver(Message),
    Step(usize),
    Start(usize),
}

type Put = (Key, Option<Vec<u8>>);

struct World<'a> {
    schedule: &'a Schedule,
    lot: Rng,
    now: Nanos,
    agenda: Agenda<Due>,
    fronts: Vec<Option<Front>>,
    links: Links,
    /// What was put: by boot and number.
    put: BTreeMap<(Incarnation, u64), Put>,
    /// When: by boot and number.
    put_at: BTreeMap<(Incarnation, u64), Nanos>,
    verdict: Verdict,
}

/// Runs a schedule; loads, rosters and second processes of a name say nothing here.
pub fn run(schedule: &Schedule) -> Verdict {
    let count = schedule.fronts;
    let mut world = World {
        schedule,
        lot: Rng::with_seed(schedule.seed ^ 0xe27),
        now: 0,
        agenda: Agenda::new(),
        fronts: (0..count).map(|_| None).collect(),
        links: Links::new(count),
        put: BTreeMap::new(),
        put_at: BTreeMap::new(),
        verdict: Verdict::default(),
    };
    for place in 0..count {
        world.agenda.put(0, Due::Start(place));
    }
    for (number, step) in schedule.steps.iter().enumerate() {
        world.agenda.put(step.at as Nanos * MS, Due::Step(number));
    }
    let end = schedule.millis as Nanos * MS;
    world.until(end);
    world.links.mend();
    for place in 0..count {
        if world.fronts[place].is_none() {
            world.agenda.put(end, Due::Start(place));
        }
    }
    // Until strangers are forgotten and boots proven, and then a beat for each front that may be asked; what the
    // budget lets through of all that may be new in the meantime comes on top.
    let bytes = (count * count) as u64 * KEYS * 60;
    let wait = 4 * LIFE + count as Nanos * BEAT * 21 / 20 + (bytes * 1_000_000_000 / RATE) as Nanos;
    world.until(end + wait);
    world.settle();
    world.verdict
}

impl World<'_> {
    fn until(&mut self, end: Nanos) {
        while let Some((at, due)) = self.agenda.next(end) {
            self.now = at;
            self.happen(due);
        }
        self.now = end;
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Start(place) if self.fronts[place].is_none() => {
                let boot = self.lot.u64(1..u64::MAX);
                let peer = Peer::new(place, self.fronts.len(), boot, RATE, self.now);
                self.fronts[place] = Some(Front { peer, put: 0, seen: BTreeMap::new(), sent: Vec::new() });
                self.agenda.put(self.now, Due::Round(place, boot));
            }
            Due::Start(_) => {}
            Due::Round(place, boot) => self.round(place, boot),
            Due::Deliver(message) => self.deliver(message),
            Due::Step(number) => self.strike(self.schedule.steps[number].fault.clone()),
        }
    }

    fn round(&mut self, place: usize, boot: Incarnation) {
        let now = self.now;
        let Some(front) = self.fronts[place].as_mut().filter(|f| f.peer.boot == boot) else { return };
        let wait = front.peer.stopped_until.max(now + BEAT + self.lot.i64(-20..20) * MS);
        if now < front.peer.stopped_until {
            self.agenda.put(wait, Due::Round(place, boot));
            return;
        }
        // Now and then an entry is put, or taken away.
        if self.lot.u8(0..3) == 0 && now < self.schedule.millis as Nanos * MS {
            let key = Key { kind: 1, id: self.lot.u64(0..KEYS) };
            let value = (self.lot.u8(0..5) > 0).then(|| vec![self.lot.u8(..); self.lot.usize(0..60)]);
            let peer = &mut front.peer;
            let before = peer.entries.known(place as PeerId).map_or(0, |(_, v)| v);
            let _ =
                peer.entries.on(now, &peer.contacts, GossipInput::Put(key, value.clone()), &mut Vec::new());
            let after = peer.entries.known(place as PeerId).map_or(0, |(_, v)| v);
            if after > before {
                front.put = after;
                self.put.insert((boot, after), (key, value));
                self.put_at.insert((boot, after), now);
            }
        }
        let hellos = front.peer.hellos(now);
        let acts = front.peer.round(now);
        for (to, hello) in hellos {
            self.send(place, to, hello);
        }
        self.carry_out(place, acts);
        self.agenda.put(wait, Due::Round(place, boot));
    }

    fn carry_out(&mut self, place: usize, acts: Vec<GossipAction>) {
        for act in acts {
            match act {
                GossipAction::Send { to, message: exchange } => {
                    let bytes: u64 = exchange.deltas.iter().map(|d| size(d) as u64).sum();
                    if let Some(front) = &mut self.fronts[place] {
                        let now = self.now;
                        front.sent.retain(|(at, _)| *at > now - 1_000 * MS);
                        front.sent.push((now, bytes));
                        let sum = front.sent.iter().map(|(_, b)| b).sum();
                        self.verdict.most_bytes = self.verdict.most_bytes.max(sum);
                    }
                    self.verdict.messages += 1;
                    self.send(place, to, Said::Entries(exchange));
                }
                GossipAction::Changed(..) => self.verdict.learnt += 1,
                GossipAction::Dropped(_) | GossipAction::Rejected(_) => {}
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
        self.carry_out(to, acts);
        self.judge(to);
    }

    /// What a front holds was put by that boot under that number, and its numbers only grow.
    fn judge(&mut self, place: usize) {
        let Some(front) = &mut self.fronts[place] else { return };
        for origin in front.peer.contacts.others() {
            let Some((boot, version)) = front.peer.entries.known(origin) else { continue };
            let before = front.seen.insert(origin, (boot, version));
            if before.is_some_and(|(b, v)| b == boot && version < v) {
                self.verdict.wrong = true;
            }
            for id in 0..KEYS {
                let key = Key { kind: 1, id };
                // The latest of that key that the boot had put by then.
                let mut put = self.put.range((boot, 0)..=(boot, version)).rev();
                let latest = put.find(|(_, (k, _))| *k == key).and_then(|(_, (_, value))| value.as_deref());
                let got = front.peer.entries.get(self.now, origin, key);
                let held = got.map(|(value, _)| value);
                let number = self.put.range((boot, 0)..=(boot, version)).rev().find(|(_, (k, _))| *k == key);
                let put_at = number.filter(|_| held == latest).and_then(|(id, _)| self.put_at.get(id));
                if let Some(((_, age), put_at)) = got.zip(put_at) {
                    self.verdict.too_young |= age < self.now - put_at;
                }
                if version > 0 && held != latest {
                    // One that has been put again since is on its way in its place; until then it is as it was.
                    let mut later = self.put.range((boot, version + 1)..=(boot, u64::MAX));
                    let mut earlier = self.put.range((boot, 0)..=(boot, version));
                    let was = |(_, (k, value)): (_, &Put)| *k == key && value.as_deref() == held;
                    let again = later.any(|(_, (k, _))| *k == key);
                    if !again || !(held.is_none() || earlier.any(was)) {
                        self.verdict.wrong = true;
                    }
                }
            }
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
                self.fronts[front].iter_mut().for_each(|f| f.peer.stopped_until = until);
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

    /// Everyone that runs knows all that everyone that runs has put.
    fn settle(&mut self) {
        for place in 0..self.fronts.len() {
            for origin in 0..self.fronts.len() {
                let (Some(here), Some(there)) = (&self.fronts[place], &self.fronts[origin]) else { continue };
                let known = here.peer.entries.known(origin as PeerId);
                if place != origin && there.put > 0 && known != Some((there.peer.boot, there.put)) {
                    self.verdict.lacking = true;
                }
            }
        }
    }
}

/// How many bytes a delta takes in a message.
fn size(delta: &tulipbridge_membership::Delta) -> usize {
    postcard::to_stdvec(delta).map_or(usize::MAX, |bytes| bytes.len())
}
