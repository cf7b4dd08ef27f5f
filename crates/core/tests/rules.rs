//! A seeded property test: random requests, outcomes, lists and restarts, and an oracle for each of the seven rules
//! that knows nothing of how the module decides.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use tulipbridge_core::*;

const SLACK: Nanos = 8 * MS;

struct Try {
    node: NodeId,
    at: Nanos,
    ends: Nanos,
    outcome: Outcome,
    ended: bool,
}

struct Asked {
    request: Request,
    at: Nanos,
    number: usize,
    tries: Vec<Try>,
    over: bool,
    answers: u32,
}

impl Asked {
    fn unsure(&self) -> impl Iterator<Item = &Try> {
        self.tries.iter().filter(|t| {
            !t.ended || !matches!(t.outcome, Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent)
        })
    }
}

struct World {
    rig: Rig,
    set: Settings,
    random: fastrand::Rng,
    asked: BTreeMap<RequestId, Asked>,
    listed: Vec<(Listed, Nanos)>,
    told: Vec<Nanos>,
    sent: Vec<VecDeque<(Nanos, f64)>>,
    /// Units answered by each node within the last second, and the most of it so far.
    served: Vec<(VecDeque<(Nanos, f64)>, f64)>,
    stores: BTreeMap<VolumeId, (f64, Nanos)>,
    rests: BTreeMap<KeyId, Nanos>,
    extras: Vec<Nanos>,
    taken: Vec<Nanos>,
    next: RequestId,
    silent: Vec<bool>,
}

const NODES: usize = 4;

impl World {
    fn new(seed: u64) -> World {
        let mut set = settings();
        let mut random = fastrand::Rng::with_seed(seed);
        set.hedging = random.bool();
        if let Some(budget) = &mut set.retry_budget {
            budget.ratio = 0.02;
        }
        if random.bool() {
            set.retry_budget = None;
        }
        let rig = Rig::new(set.clone(), NODES);
        World {
            rig,
            set,
            random,
            asked: BTreeMap::new(),
            listed: vec![(Listed::Up, 0); NODES],
            told: vec![0; NODES],
            sent: vec![VecDeque::new(); NODES],
            served: vec![(VecDeque::new(), 0.0); NODES],
            stores: BTreeMap::new(),
            rests: BTreeMap::new(),
            extras: Vec::new(),
            taken: Vec::new(),
            next: 0,
            silent: vec![false; NODES],
        }
    }

    fn step(&mut self) {
        self.rig.now += 2 * MS;
        let now = self.rig.now;
        if now % (10 * MS) == 0 {
            let done = self.rig.event(Event::Timer(1));
            self.take(done);
        }
        let due: Vec<(RequestId, usize)> = self
            .asked
            .iter()
            .flat_map(|(id, a)| {
                let ripe = |t: &Try| !t.ended && t.ends <= now;
                a.tries.iter().enumerate().filter(move |(_, t)| ripe(t)).map(|(i, _)| (*id, i))
            })
            .collect();
        for (id, i) in due {
            self.finish_try(id, i);
        }
        match self.random.u32(0..100) {
            0..=29 => self.ask(),
            30 => self.news(),
            31 => {
                let n = self.random.usize(0..NODES);
                self.silent[n] = !self.silent[n];
            }
            32 => self.gone(),
            33 if self.random.u32(0..20) == 0 => self.restart(),
            _ => {}
        }
        self.overdue();
    }

    fn ask(&mut self) {
        let r = &mut self.random;
        let mut request = request(self.next, r.usize(0..5), Some(r.u32(0..NODES as u32 + 1)));
        if r.u32(0..4) == 0 {
            request.cell = None;
        }
        request.plan = r.usize(0..2);
        request.volume = request.plan as u64 * 10 + r.u64(0..2);
        request.front_count = 1;
        request.key = if r.u32(0..8) == 0 { None } else { Some(r.u64(0..12)) };
        request.units = f64::from(r.u32(1..8));
        request.patience = if r.u32(0..5) == 0 { r.i64(0..40) * MS } else { S };
        let (id, at) = (self.next, self.rig.now);
        self.next += 1;
        self.taken.push(at);
        let asked = Asked {
            request: request.clone(),
            at,
            number: id as usize,
            tries: vec![],
            over: false,
            answers: 0,
        };
        self.asked.insert(id, asked);
        let done = self.rig.ask(request);
        self.take(done);
    }

    fn news(&mut self) {
        let n = self.random.usize(0..NODES);
        let now = self.rig.now;
        let listed = [Listed::Up, Listed::Up, Listed::Draining, Listed::Removed][self.random.usize(0..4)];
        let came_up = match listed {
            Listed::Up if self.random.bool() => now - self.random.i64(0..3000) * MS,
            _ => self.listed[n].1,
        };
        self.listed[n] = (listed, came_up.max(self.listed[n].1));
        self.told[n] = now;
        let scope =
            [UpdateScope::Update, UpdateScope::Replace, UpdateScope::Unavailable][self.random.usize(0..3)];
        let full = (0..NODES).filter(|i| self.listed[*i].0 != Listed::Removed);
        let nodes = match scope {
            UpdateScope::Replace => full.map(|i| node(i, self.listed[i].0, self.listed[i].1)).collect(),
            _ => vec![node(n, self.listed[n].0, self.listed[n].1)],
        };
        let nodes = if scope == UpdateScope::Unavailable {
            let done = self.rig.event(Event::Endpoints { scope, nodes: vec![] });
            self.take(done);
            vec![node(n, self.listed[n].0, self.listed[n].1)]
        } else {
            nodes
        };
        let scope = if scope == UpdateScope::Unavailable { UpdateScope::Update } else { scope };
        let done = self.rig.event(Event::Endpoints { scope, nodes });
        self.take(done);
    }

    fn gone(&mut self) {
        let open: Vec<RequestId> = self.asked.iter().filter(|(_, a)| !a.over).map(|(id, _)| *id).collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.random.usize(0..open.len())];
        if let Some(asked) = self.asked.get_mut(&id) {
            asked.over = true;
            asked.answers = 1;
        }
        let done = self.rig.event(Event::ClientGone(id));
        self.take(done);
    }

    fn restart(&mut self) {
        let seed = self.random.u64(..);
        let now = self.rig.now;
        self.rig.scheduler = Scheduler::new(self.set.clone(), seed, now).expect("settings hold");
        self.asked.clear();
        self.rests.clear();
        self.extras.clear();
        self.taken.clear();
        let nodes = (0..NODES).map(|i| node(i, self.listed[i].0, self.listed[i].1)).collect();
        let done = self.rig.event(Event::Endpoints { scope: UpdateScope::Restored, nodes });
        self.take(done);
    }

    fn finish_try(&mut self, id: RequestId, i: usize) {
        let now = self.rig.now;
        let Some(asked) = self.asked.get_mut(&id) else { return };
        let t = &mut asked.tries[i];
        t.ended = true;
        let (at, outcome, took) = (t.node, t.outcome, now - t.at);
        if outcome == Outcome::Served && !asked.over {
            asked.over = true;
            asked.answers += 1;
        }
        let last = asked.over;
        if outcome == Outcome::Served {
            let (log, most) = &mut self.served[at];
            log.push_back((now, asked.request.units));
            while log.front().is_some_and(|(t, _)| *t <= now - S) {
                log.pop_front();
            }
            *most = most.max(log.iter().map(|(_, u)| u).sum());
        }
        let settles = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let (true, 3, Some(key)) = (settles, asked.request.class, asked.request.key) {
            self.rests.insert(key, now + self.set.order_settle_time);
        }
        let done = self.rig.event(ended(id, i as u32, at, outcome, took, last));
        self.take(done);
    }

    fn take(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, node, .. } => self.placed(id, node),
                Action::Reject { id, .. } => self.answered(id, true),
                Action::Fail(id) => self.answered(id, false),
                _ => {}
            }
        }
    }

    fn answered(&mut self, id: RequestId, refused: bool) {
        let class = &self.set.classes;
        let Some(asked) = self.asked.get_mut(&id) else { panic!("rule 1: an answer for an unknown request") };
        assert!(!asked.over, "rule 1: request {id} answered twice");
        asked.over = true;
        asked.answers += 1;
        let class = &class[asked.request.class];
        let unsure = asked.unsure().count() > 0;
        if refused && unsure {
            let fine = match class.semantics {
                Semantics::Idempotent => true,
                Semantics::Deduplicated => class.group == Group::All,
                Semantics::AtMostOnce => false,
            };
            assert!(fine, "rule 2: request {id} refused though it may have run");
        }
    }

    fn overdue(&mut self) {
        let now = self.rig.now;
        for (id, a) in &self.asked {
            assert!(a.over || now <= a.at + a.request.patience + SLACK, "rule 1: request {id} got no answer");
            assert!(a.answers <= 1, "rule 1: request {id} got {} answers", a.answers);
        }
        self.asked.retain(|_, a| !a.over || a.tries.iter().any(|t| !t.ended));
    }

    fn placed(&mut self, id: RequestId, at: NodeId) {
        let now = self.rig.now;
        let Some(asked) = self.asked.get(&id) else { panic!("rule 1: sent for an unknown request") };
        assert!(!asked.over, "rule 1: request {id} sent after its end");
        self.check_repeat(id, at);
        assert!(self.listed[at].0 == Listed::Up, "rule 3: sent to a node that is leaving");
        self.check_cold(at, self.asked[&id].request.units);
        self.check_limit(id);
        self.check_order(id);
        self.check_budget(id);
        let silent = self.silent[at];
        let (outcome, took) = self.fate(id, silent);
        if let Some(asked) = self.asked.get_mut(&id) {
            asked.tries.push(Try { node: at, at: now, ends: now + took, outcome, ended: false });
        }
    }

    fn fate(&mut self, id: RequestId, silent: bool) -> (Outcome, Nanos) {
        let a = &self.asked[&id];
        let left = (a.at + a.request.patience - self.rig.now).max(0);
        let quick = self.random.i64(1..60) * MS;
        let outcome = match self.random.u32(0..20) {
            _ if silent && self.random.bool() => Outcome::TimedOut,
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::NotExecuted,
            3 => Outcome::Reset,
            4 => Outcome::Cancelled,
            5 => Outcome::TimedOut,
            _ => Outcome::Served,
        };
        let late = quick >= left || outcome == Outcome::TimedOut;
        if late {
            (Outcome::TimedOut, left)
        } else {
            (outcome, quick)
        }
    }

    fn check_repeat(&self, id: RequestId, at: NodeId) {
        let a = &self.asked[&id];
        let class = &self.set.classes[a.request.class];
        if !self.set.hedging {
            assert!(a.tries.iter().all(|t| t.ended), "rule 2: request {id} has two attempts out");
        }
        if class.semantics == Semantics::AtMostOnce {
            assert!(a.unsure().count() == 0, "rule 2: request {id} may have run already");
        }
        if class.semantics == Semantics::Deduplicated {
            for t in a.unsure() {
                let same = match class.group {
                    Group::All => true,
                    Group::Zone => t.node % 2 == at % 2,
                    Group::Cell => t.node == at,
                };
                assert!(same && self.rig.now <= t.at + class.window, "rule 2: {id} outside group or window");
            }
        }
        if let Some(cell) = a.request.cell {
            assert_eq!(cell as usize, at, "sent to a node that does not hold it");
        }
        assert!(a.tries.len() < self.set.max_attempts as usize, "more tries than allowed");
    }

    fn check_cold(&mut self, at: NodeId, units: f64) {
        let (now, up) = (self.rig.now, self.listed[at].1);
        let sent = &mut self.sent[at];
        sent.push_back((now, units));
        while sent.front().is_some_and(|(t, _)| *t <= now - self.set.overload_span) {
            sent.pop_front();
        }
        let age = (now - up) as f64 / self.set.warmup_duration as f64;
        if up == 0 || age >= 1.0 || self.told[at] == 0 {
            return;
        }
        let total: f64 = sent.iter().filter(|(t, _)| *t >= self.told[at].max(up)).map(|(_, u)| u).sum();
        // Of what is always borne its even part, or of the power the node has shown what the rule leaves.
        let even = self.set.warmup_units * (1.0 + 3.0 * age) / f64::from(self.set.initiators);
        let shown = self.set.tip_multiple * (0.25 + 0.75 * age) * self.served[at].1;
        // One largest request is the slack for chance.
        let most = even + shown + self.set.max_units;
        assert!(total <= most + 1e-9, "rule 4: {total} of {most} units to a cold node");
    }

    fn check_limit(&mut self, id: RequestId) {
        let a = &self.asked[&id];
        let plan = &self.set.plans[a.request.plan];
        if plan.limit_rate <= 0.0 || !a.tries.is_empty() {
            return;
        }
        let now = self.rig.now;
        let full = (plan.limit_burst, 100 * S);
        let store = self.stores.entry(a.request.volume).or_insert(full);
        store.0 = (store.0 + (now - store.1) as f64 / 1e9 * plan.limit_rate).min(plan.limit_burst);
        store.1 = now;
        store.0 -= a.request.units;
        assert!(store.0 >= -1e-6, "rule 5: the store of volume {} is at {}", a.request.volume, store.0);
    }

    fn check_order(&self, id: RequestId) {
        let a = &self.asked[&id];
        let (3, Some(key)) = (a.request.class, a.request.key) else { return };
        for (other, b) in &self.asked {
            let before = b.number < a.number && b.request.class == 3 && b.request.key == Some(key);
            let open = !b.over || b.tries.iter().any(|t| !t.ended);
            assert!(!(before && open), "rule 6: {id} sent before {other} is settled");
        }
        let rest = self.rests.get(&key).copied().unwrap_or(0);
        assert!(self.rig.now >= rest || !a.tries.is_empty(), "rule 6: key {key} sent while it rests");
    }

    fn check_budget(&mut self, id: RequestId) {
        let Some(budget) = &self.set.retry_budget else { return };
        if self.asked[&id].tries.is_empty() {
            return;
        }
        let now = self.rig.now;
        self.extras.push(now);
        let since = now - budget.window;
        let extras = self.extras.iter().filter(|t| **t >= since).count() as f64;
        let taken = self.taken.iter().filter(|t| **t > since).count() as f64;
        assert!(
            extras <= budget.base_allowance + budget.ratio * taken,
            "rule 7: {extras} further of {taken} taken"
        );
    }
}

#[test]
fn all_seven_rules_hold_over_random_days() {
    let mut sent = 0usize;
    for seed in 0..24 {
        let mut world = World::new(seed);
        for _ in 0..6000 {
            world.step();
        }
        sent += world.next as usize;
    }
    assert!(sent > 10_000, "the days must hold work");
}

/// Hundreds of initiators that share nothing in front of one node that restarts: together they keep under what a
/// cold node bears in every span of the rule, and it still gets work before it is warm.
#[test]
fn hundreds_of_initiators_spare_a_cold_node_and_still_use_it() {
    const COUNT: usize = 200;
    let mut set = settings();
    set.initiators = COUNT as u32;
    set.warmup_units = 24.0;
    set.warmup_floor = 0.2;
    let mut random = fastrand::Rng::with_seed(5);
    let mut rigs: Vec<Rig> = (0..COUNT as u64).map(|seed| Rig::seeded(set.clone(), 1, seed)).collect();
    let (mut next, mut sent, up) = (0, VecDeque::new(), 140 * S);
    let mut sent_at = BTreeMap::new();
    let (mut cold_total, mut out, mut free) = (0.0, VecDeque::new(), 0);
    // 50 requests of 2 units a second in all: 100 units a second is what the node can do when warm.
    while rigs[0].now < 150 * S {
        let now = rigs[0].now + 10 * MS;
        rigs.iter_mut().for_each(|r| r.now = now);
        let tell = now == up;
        let chosen = random.usize(0..COUNT);
        let ended = out.front().is_some_and(|(t, _, _)| *t <= now).then(|| out.pop_front()).flatten();
        for (i, rig) in rigs.iter_mut().enumerate() {
            let mut actions = Vec::new();
            if tell {
                actions.extend(rig.event(Event::Endpoints {
                    scope: UpdateScope::Update,
                    nodes: vec![node(0, Listed::Up, up)],
                }));
            }
            if i == chosen && random.bool() {
                actions.extend(rig.ask(request(next, 0, Some(0))));
                next += 1;
            }
            if let Some((_, who, id)) = ended.filter(|(_, who, _)| *who == i) {
                assert_eq!(who, i);
                actions.extend(rig.end(id, 0, 0, Outcome::Served, now - sent_at[&id]));
            }
            actions.extend(rig.event(Event::Timer(1)));
            for (id, _) in places(&actions) {
                sent.push_back((now, 2.0));
                // It serves in turn, at what it can do by then.
                let part = if now < up {
                    1.0
                } else {
                    0.2 + 0.8 * ((now - up) as f64 / set.warmup_duration as f64).min(1.0)
                };
                free = free.max(now) + (20e6 / part) as Nanos;
                sent_at.insert(id, now);
                out.push_back((free, i, id));
                cold_total += if now >= up { 2.0 } else { 0.0 };
            }
        }
        while sent.front().is_some_and(|(t, _)| *t <= now - set.overload_span) {
            sent.pop_front();
        }
        if now >= up {
            let age = (now - up) as f64 / set.warmup_duration as f64;
            let bears = set.tip_multiple * (0.2 + 0.8 * age) * 100.0;
            let span: f64 = sent.iter().filter(|(t, _)| *t >= up).map(|(_, u)| u).sum();
            assert!(span <= bears, "rule 4: {span} units in a span, {bears} are borne");
        }
    }
    assert!(cold_total > 200.0, "only {cold_total} units to a node that could do 600 while cold");
}
