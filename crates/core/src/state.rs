//! What the decision module keeps in mind, and the check of the settings. No decision is made here and no figure
//! is chosen here: both are in `policy.rs`.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use crate::ejection::EjectionState;
use crate::fleet_limits::{FleetLimits, NodeLimits};
use crate::interface::*;
use crate::mutations::{mutated, Mutation};

/// A token bucket in units.
#[derive(Clone, Debug)]
pub struct Bucket {
    pub rate: f64,
    pub most: f64,
    pub level: f64,
    pub at: Nanos,
}

impl Bucket {
    /// A bucket that holds `level` of at most `most` and fills at `rate` a second.
    pub fn new(rate: f64, most: f64, level: f64, at: Nanos) -> Bucket {
        Bucket { rate, most, level, at }
    }

    /// What it holds at a later moment.
    pub fn level_at(&self, now: Nanos) -> f64 {
        let mut bucket = self.clone();
        bucket.fill(now);
        bucket.level
    }

    /// Adds what has flowed in since the last time.
    pub fn fill(&mut self, now: Nanos) {
        let gained = (now - self.at).max(0) as f64 / 1e9 * self.rate;
        self.level = (self.level + gained).min(self.most);
        self.at = now;
    }

    /// From a moment on, which may be past, another rate and room: what flowed in faster since goes again.
    pub fn retell(&mut self, rate: f64, burst: f64, at: Nanos) {
        let early = (self.at - at).max(0) as f64 / 1e9 * (self.rate - rate).max(0.0);
        self.fill(at.max(self.at));
        (self.rate, self.most) = (rate, burst);
        self.level = (self.level - early).clamp(self.level.min(0.0), burst);
    }
}

/// Events or units a second, smoothed over a memory in nanoseconds: what came that long ago counts for a third.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    per_second: f64,
    /// When it was last added to.
    pub at: Nanos,
}

impl Rate {
    /// No events so far.
    pub fn new(at: Nanos) -> Rate {
        Rate { per_second: 0.0, at }
    }

    /// The rate as of now.
    pub fn now(&self, now: Nanos, memory: f64) -> f64 {
        self.per_second * (-((now - self.at).max(0) as f64) / memory).exp()
    }

    /// Counts one event and gives the rate.
    pub fn count(&mut self, now: Nanos, memory: f64) -> f64 {
        self.add(now, 1.0, memory)
    }

    /// Counts an amount and gives the rate.
    pub fn add(&mut self, now: Nanos, amount: f64, memory: f64) -> f64 {
        self.per_second = self.now(now, memory) + amount * (1e9 / memory);
        self.at = now;
        self.per_second
    }
}

/// What this initiator knows of a volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Own part of the limit; absent where the plan has none.
    pub limit: Option<Bucket>,
    pub reserve: Bucket,
    /// Smoothed units a second sent here beyond the reserve.
    pub beyond: Rate,
    /// Units a second beyond the reserve, sent here, that are inside its share.
    pub share: f64,
}

/// A request not yet answered, or with attempts out.
#[derive(Clone, Debug)]
pub struct Live {
    pub req: Request,
    pub cell: Option<CellId>,
    pub since: Nanos,
    pub aim_at: Nanos,
    pub die_at: Nanos,
    pub tries: u32,
    pub out: u32,
    /// When the first attempt that may have run was sent, and where.
    pub maybe_ran: Option<(Nanos, NodeId)>,
    pub not_before: Nanos,
    pub queued: bool,
    pub finished: bool,
    pub streaming: bool,
    /// The attempts allowed when it was taken: new settings may allow fewer, never more.
    pub most_tries: u32,
}

impl Live {
    /// A request just taken, under settings that allow so many attempts.
    pub fn new(req: Request, now: Nanos, aim: Nanos, most_tries: u32) -> Live {
        Live {
            most_tries,
            cell: req.cell,
            since: now,
            aim_at: now + aim,
            die_at: now + req.patience,
            tries: 0,
            out: 0,
            maybe_ran: None,
            not_before: now,
            queued: false,
            finished: false,
            streaming: false,
            req,
        }
    }
}

/// An attempt that is out.
#[derive(Clone, Debug)]
pub struct Sent {
    pub at: Nanos,
    pub class: usize,
    pub expected: f64,
    /// Past this moment it is bad, by the tightest aim scaled to its work; and whether that has been counted.
    pub due: Nanos,
    pub counted: bool,
}

/// How much a node is trusted. One notion for every way of failing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Health {
    Good,
    /// No answers or lost connections: trial requests only.
    Suspect,
}

#[derive(Clone, Debug)]
pub struct Node {
    pub cell: CellId,
    pub zone: u32,
    pub listed: Listed,
    pub came_up: Nanos,
    pub cold_since: Option<Nanos>,
    pub cold_until: Nanos,
    pub cold_sent: VecDeque<(Nanos, f64)>,
    /// Units that may go to it while it is cold, of this initiator's own rate before.
    pub cold_level: f64,
    /// Units a second that it serves this initiator, and served it when it was last up, well and warm.
    pub served: Rate,
    pub usual: f64,
    pub base: f64,
    pub weight: f64,
    pub short: Option<f64>,
    pub slow: f64,
    pub near: f64,
    /// The tightest aim of any class, as last known when it answered.
    pub tightest: f64,
    /// Requests that its answers in time have earned it.
    pub credit: f64,
    pub best: [f64; 2],
    pub best_at: Nanos,
    pub window: f64,
    /// When a latency was last learned.
    pub learnt_at: Nanos,
    pub period_at: Nanos,
    pub flagged: bool,
    pub narrowed: bool,
    pub health: Health,
    pub losses: u32,
    pub answer_at: Nanos,
    /// When the latest-sent attempt that was answered had been sent.
    pub answered_of: Nanos,
    pub trial_at: Nanos,
    pub trial_gap: Nanos,
    pub out: BTreeMap<(RequestId, u32), Sent>,
    /// The least window, by how many initiators share the node; 0 until it is known.
    pub least: f64,
    /// What is told of limits that all share.
    pub ration: NodeLimits,
    /// How it stands with all initiators.
    pub standing: EjectionState,
}

impl Node {
    /// Whether what is told lets nothing more out to it.
    pub fn is_full(&self) -> bool {
        self.ration.is_full(self.out.len())
    }

    /// Whether it may be sent a trial now, not being well.
    pub fn is_due(&self, now: Nanos) -> bool {
        (self.standing.is_probe_due(now) || now >= self.trial_at) && !self.is_full()
    }

    /// An attempt there was answered in time, which earns it a request, up to so many, or was not.
    pub fn note_end(&mut self, class: usize, bad: bool, most: f64) {
        self.credit = if bad { 0.0 } else { (self.credit + 1.0).min(most) };
        self.standing.note_result(class, bad);
    }

    /// Cold from now on: what was learned of the node before is void.
    pub fn start_cold(&mut self, since: Nanos, until: Nanos) {
        self.cold_since = Some(since);
        self.cold_until = until;
        self.short = None;
        self.slow = 0.0;
        self.best = [f64::INFINITY; 2];
    }

    /// Forgets what is over: its cold time, and sends to it before the span.
    pub fn age(&mut self, now: Nanos, span: Nanos) {
        if self.cold_since.is_some() && now >= self.cold_until {
            self.cold_since = None;
        }
        while self.cold_sent.front().is_some_and(|(t, _)| *t <= now - span) {
            self.cold_sent.pop_front();
        }
    }

    /// Up, well and not cold: what it serves is what such a node can do.
    pub fn is_warm(&self) -> bool {
        self.listed == Listed::Up && self.health == Health::Good && self.cold_since.is_none()
    }

    /// Moves base, the weight keeping its part of it.
    pub fn shift_base(&mut self, by: f64) {
        let part = self.weight / self.base;
        self.base += by;
        self.weight = part * self.base;
    }

    /// A node of which nothing is known but its entry in the list.
    pub fn new(info: &NodeInfo, now: Nanos, window: f64, ration: NodeLimits) -> Node {
        Node {
            cell: info.cell,
            zone: info.zone,
            listed: info.listed,
            came_up: 0,
            cold_since: None,
            cold_until: 0,
            cold_sent: VecDeque::new(),
            cold_level: 0.0,
            served: Rate::new(now),
            usual: 0.0,
            base: 1.0,
            weight: 1.0,
            short: None,
            slow: 0.0,
            near: f64::INFINITY,
            tightest: f64::INFINITY,
            credit: 1.0,
            best: [f64::INFINITY; 2],
            best_at: now,
            window,
            learnt_at: now,
            period_at: now,
            flagged: false,
            narrowed: false,
            health: Health::Good,
            losses: 0,
            answer_at: now,
            answered_of: 0,
            trial_at: 0,
            trial_gap: 0,
            out: BTreeMap::new(),
            least: 0.0,
            ration,
            standing: EjectionState::default(),
        }
    }
}

/// Requests of one key in their order, and when the next may go.
#[derive(Clone, Debug, Default)]
pub struct Line {
    pub order: VecDeque<RequestId>,
    pub rest_until: Nanos,
}

impl Volume {
    /// A volume to which nothing has been sent beyond its reserve.
    pub fn new(limit: Option<Bucket>, reserve: Bucket, share: f64, now: Nanos) -> Volume {
        Volume { limit, reserve, beyond: Rate::new(now), share }
    }

    /// Draws the units of a first send from the limit, the reserve and, past that, the share.
    pub fn draw(&mut self, now: Nanos, units: f64, memory: f64) {
        if let Some(limit) = &mut self.limit {
            limit.fill(now);
            limit.level -= units;
        }
        self.reserve.fill(now);
        let inside = units.min(self.reserve.level);
        self.reserve.level -= inside;
        self.beyond.add(now, units - inside, memory);
    }
}

/// How long clients of a class stay, where they leave early, and how often they do.
#[derive(Clone, Debug, Default)]
pub struct Stay {
    pub age: f64,
    rate: f64,
    at: Nanos,
}

impl Stay {
    /// The part of those that wait about so long which leave then, as of now: it fades without news.
    pub fn rate(&self, now: Nanos, memory: f64) -> f64 {
        self.rate * (-((now - self.at).max(0) as f64) / memory).exp()
    }

    /// Counts one that waited so long: it left about then, or it did not.
    pub fn count(&mut self, now: Nanos, left: bool, alpha: f64, memory: f64) {
        let rate = self.rate(now, memory);
        self.rate = rate + alpha * (f64::from(u8::from(left)) - rate);
        self.at = now;
    }
}

/// What this initiator admits, over all nodes.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// Requests a second that may be taken on; absent is no bound.
    pub bound: Option<f64>,
    /// Smoothed part of the attempts that were not answered in time.
    pub bad: f64,
    pub asked: Rate,
    pub counted: Rate,
    pub sent: Rate,
    /// Worth of the latest requests, for a unit of work.
    pub recent: VecDeque<f64>,
}

impl Admission {
    /// The part of the latest requests that are worth more than this one, which is kept as the latest of `most`;
    /// those alike are counted up to `lot`.
    pub fn rank(&mut self, worth: f64, lot: f64, most: usize) -> f64 {
        let above = self.recent.iter().filter(|w| **w > worth).count() as f64;
        let alike = self.recent.iter().filter(|w| **w == worth).count() as f64;
        let rank = (above + alike * lot) / self.recent.len().max(1) as f64;
        self.recent.push_back(worth);
        if self.recent.len() > most {
            self.recent.pop_front();
        }
        rank
    }
}

/// Requests out at a node from all initiators together that no pace holds back: fewer than a node of one core
/// holds in its queue. Ours.
const UNPACED: f64 = 16.0;

/// Decides for one initiator. See the crate's page for an example.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(crate) set: Settings,
    pub(crate) random: fastrand::Rng,
    pub(crate) now: Nanos,
    pub(crate) started: bool,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    /// The nodes of each cell, also those that have left.
    pub(crate) cells: BTreeMap<CellId, Vec<NodeId>>,
    pub(crate) queues: BTreeMap<CellId, Vec<RequestId>>,
    pub(crate) live: BTreeMap<RequestId, Live>,
    pub(crate) volumes: BTreeMap<VolumeId, Volume>,
    /// Rate and burst of volumes whose limit is told, in place of an even part.
    pub(crate) told_limits: BTreeMap<VolumeId, (f64, f64)>,
    pub(crate) shared: FleetLimits,
    pub(crate) lines: BTreeMap<KeyId, Line>,
    /// Learned nanoseconds for a unit of each class.
    pub(crate) unit_cost: Vec<f64>,
    pub(crate) extras: VecDeque<Nanos>,
    pub(crate) taken: VecDeque<Nanos>,
    pub(crate) most_patience: Vec<Nanos>,
    pub(crate) stay: Vec<Stay>,
    pub(crate) admission: Admission,
    /// Units a second that a warm node serves this initiator in the mean, as last known while there were any.
    pub(crate) warm_rate: f64,
    /// Of what cold nodes can bear by that, the part that they are sent.
    pub(crate) cold_part: f64,
    pub(crate) second_at: Nanos,
    pub(crate) tick_at: Nanos,
    pub(crate) last_high: Option<f64>,
    pub(crate) stopped: bool,
    pub(crate) ask_at: Option<Nanos>,
    pub(crate) ask_gap: Nanos,
    /// Once this initiator ends, by when all it holds is answered.
    pub(crate) leaves_by: Nanos,
}

impl Scheduler {
    /// A scheduler that knows only its settings. `seed` feeds its own random numbers.
    ///
    /// # Errors
    /// When the settings cannot hold, such as no classes or a rate that is no number.
    pub fn new(settings: Settings, seed: u64, now: Nanos) -> Result<Self, SettingsError> {
        check(&settings)?;
        let unit_cost = settings.classes.iter().map(|_| 0.0).collect();
        let stay = settings.classes.iter().map(|_| Stay::default()).collect();
        let most_patience = settings.classes.iter().map(|_| 0).collect();
        Ok(Scheduler {
            set: settings,
            random: fastrand::Rng::with_seed(seed),
            now,
            started: false,
            nodes: BTreeMap::new(),
            cells: BTreeMap::new(),
            queues: BTreeMap::new(),
            live: BTreeMap::new(),
            volumes: BTreeMap::new(),
            told_limits: BTreeMap::new(),
            shared: FleetLimits::default(),
            lines: BTreeMap::new(),
            unit_cost,
            extras: VecDeque::new(),
            taken: VecDeque::new(),
            most_patience,
            stay,
            admission: Admission::default(),
            warm_rate: 0.0,
            cold_part: 0.0,
            second_at: now,
            tick_at: now,
            last_high: None,
            stopped: false,
            ask_at: None,
            ask_gap: 0,
            leaves_by: Nanos::MAX,
        })
    }

    /// Takes new settings while requests are under way. Classes and plans keep their numbers, as a
    /// [`crate::tune::Table`] gives them; `carried` pairs a class with the older one that it stands for, whose
    /// learned figures it takes. Requests under way keep their class and the attempts they were allowed.
    ///
    /// # Errors
    /// When the settings cannot hold, or have fewer classes or plans than before; then nothing changes.
    pub fn retune(&mut self, settings: Settings, carried: &[(usize, usize)]) -> Result<(), SettingsError> {
        check(&settings)?;
        if settings.classes.len() < self.set.classes.len() || settings.plans.len() < self.set.plans.len() {
            return Err(SettingsError("classes and plans keep their numbers"));
        }
        let classes = settings.classes.len();
        self.unit_cost.resize(classes, 0.0);
        self.stay.resize(classes, Stay::default());
        self.most_patience.resize(classes, 0);
        for &(new, old) in carried.iter().filter(|(new, old)| *new < classes && *old < classes) {
            self.unit_cost[new] = self.unit_cost[old];
            self.stay[new] = self.stay[old].clone();
            self.most_patience[new] = self.most_patience[old];
        }
        self.set = settings;
        Ok(())
    }

    /// The least window at a node: a window under 1 is a pace, which keeps the sum over many initiators within
    /// what a node holds; a few initiators with one request out each stay within it without one.
    pub(crate) fn least_window(&self) -> f64 {
        (UNPACED / f64::from(self.set.initiators.max(1))).min(1.0)
    }

    /// The settings in force.
    pub fn settings(&self) -> &Settings {
        &self.set
    }

    /// Nodes in the list, and of them those that get nothing new: draining, by the list or by hand, or not trusted.
    pub fn census(&self) -> (usize, usize) {
        let listed = self.nodes.values().filter(|n| n.listed != Listed::Removed);
        let out = |n: &Node| n.health == Health::Suspect || n.standing.is_fully_ejected();
        let avoided = |n: &Node| usize::from(n.listed == Listed::Draining || out(n));
        listed.fold((0, 0), |(all, avoid), n| (all + 1, avoid + avoided(n)))
    }

    /// Whether nothing is waiting here and nothing is out.
    pub fn is_at_rest(&self) -> bool {
        let out = self.nodes.values().any(|n| !n.out.is_empty());
        self.live.is_empty() && self.queues.values().all(Vec::is_empty) && !out
    }

    /// All that later decisions hang on, with moments by how far they are from `now`: for checkers, which take
    /// states of one fingerprint for one state.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let ago = |t: Nanos| now - t;
        let bits = |x: f64| x.to_bits();
        (ago(self.now), self.started, self.random.get_seed()).hash(h);
        for (id, n) in &self.nodes {
            (id, n.cell, n.zone, n.listed, n.cold_since.map(ago), ago(n.cold_until), n.flagged).hash(h);
            for x in [
                n.cold_level,
                n.usual,
                n.served.per_second,
                n.base,
                n.weight,
                n.slow,
                n.near,
                n.tightest,
                n.credit,
                n.window,
                n.least,
            ] {
                bits(x).hash(h);
            }
            (n.short.map(bits), n.best.map(bits), ago(n.best_at), ago(n.learnt_at), ago(n.period_at)).hash(h);
            (n.narrowed, n.health, n.losses, ago(n.answer_at), ago(n.answered_of)).hash(h);
            (ago(n.trial_at), n.trial_gap, ago(n.served.at)).hash(h);
            n.cold_sent.iter().for_each(|(t, u)| (ago(*t), bits(*u)).hash(h));
            for (key, s) in &n.out {
                (key, ago(s.at), bits(s.expected), ago(s.due), s.counted).hash(h);
            }
        }
        (&self.cells, &self.queues).hash(h);
        for (id, l) in &self.live {
            (id, l.cell, ago(l.since), ago(l.aim_at), ago(l.die_at), l.tries, l.out, l.most_tries).hash(h);
            (l.maybe_ran.map(|(t, n)| (ago(t), n)), ago(l.not_before), l.queued, l.finished).hash(h);
        }
        for (id, v) in &self.volumes {
            (id, v.limit.as_ref().map(|l| bits(l.level_at(now))), bits(v.reserve.level_at(now))).hash(h);
            (bits(v.beyond.per_second), ago(v.beyond.at), bits(v.share)).hash(h);
        }
        self.told_limits.iter().for_each(|(v, (rate, burst))| (v, bits(*rate), bits(*burst)).hash(h));
        self.shared.fingerprint(now, h);
        for node in self.nodes.values() {
            node.ration.fingerprint(now, h);
            node.standing.fingerprint(now, h);
        }
        for (key, line) in &self.lines {
            (key, &line.order, ago(line.rest_until).min(0)).hash(h);
        }
        for x in &self.unit_cost {
            bits(*x).hash(h);
        }
        self.extras.iter().chain(&self.taken).for_each(|t| ago(*t).hash(h));
        (self.extras.len(), &self.most_patience).hash(h);
        for s in &self.stay {
            (bits(s.age), bits(s.rate), ago(s.at)).hash(h);
        }
        let door = &self.admission;
        (door.bound.map(bits), bits(door.bad), bits(self.cold_part), bits(self.warm_rate)).hash(h);
        for rate in [&door.asked, &door.counted, &door.sent] {
            (bits(rate.per_second), ago(rate.at)).hash(h);
        }
        door.recent.iter().for_each(|x| bits(*x).hash(h));
        (ago(self.second_at), ago(self.tick_at), self.last_high.map(bits), self.stopped).hash(h);
        let leaves = (self.leaves_by < Nanos::MAX).then(|| self.leaves_by - now);
        (self.ask_at.map(ago), self.ask_gap, leaves).hash(h);
    }

    /// The request is over; it stays known while attempts are out, since they still hold its key.
    pub(crate) fn finish(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else { return };
        live.finished = true;
        if live.queued {
            live.queued = false;
            let queue = live.cell.and_then(|c| self.queues.get_mut(&c));
            if let Some(queue) = queue.filter(|_| !mutated(Mutation::QueueKeepsFinished)) {
                queue.retain(|q| *q != id);
            }
        }
        if live.out > 0 {
            return;
        }
        if let Some(live) = self.live.remove(&id) {
            self.leave_line(id, live.req.key);
        }
    }

    /// The cell of the request whose turn it is on a key.
    pub(crate) fn next_in_line(&self, key: Option<KeyId>) -> Option<CellId> {
        let line = self.lines.get(&key?)?;
        self.live.get(line.order.front()?)?.cell
    }

    /// The nodes listed up for a cell.
    pub(crate) fn up(&self, cell: CellId) -> impl Iterator<Item = (NodeId, &Node)> {
        let held = self.cells.get(&cell).into_iter().flatten().map(|id| (*id, &self.nodes[id]));
        let misses = |n: &Node| mutated(Mutation::DrainMissesQueued) && n.listed == Listed::Draining;
        held.filter(move |(_, n)| n.listed == Listed::Up || misses(n))
    }

    /// Takes a waiting request to another cell's queue; false where it waits there already.
    pub(crate) fn move_to(&mut self, id: RequestId, cell: CellId) -> bool {
        let Some(live) = self.live.get_mut(&id) else { return false };
        let old = live.cell.replace(cell);
        if old == Some(cell) {
            return false;
        }
        if let Some(queue) = old.and_then(|c| self.queues.get_mut(&c)) {
            queue.retain(|q| *q != id);
        }
        self.queues.entry(cell).or_default().push(id);
        true
    }

    /// What a node that started then must be able to do by now, as a multiple of what it could at first.
    pub(crate) fn growth(&self, since: Nanos) -> f64 {
        self.warmth(self.now - since) / self.warmth(0)
    }

    /// Whether the further attempts that all share have none left here.
    pub(crate) fn is_spent(&self) -> bool {
        self.shared.retries_exhausted(self.now)
    }

    /// Takes a request on: it is answered before this initiator ends.
    pub(crate) fn hold(&mut self, mut live: Live) {
        live.die_at = live.die_at.min(self.leaves_by);
        self.live.insert(live.req.id, live);
    }

    /// Books an attempt that goes out.
    pub(crate) fn note_send(&mut self, id: RequestId, at: NodeId, sent: Sent) {
        let growth = self.nodes.get(&at).and_then(|n| n.cold_since).map(|since| self.growth(since));
        let is_trial = self.live.get(&id).is_some_and(|l| self.may_probe(&l.req));
        let (Some(live), Some(node)) = (self.live.get_mut(&id), self.nodes.get_mut(&at)) else { return };
        if live.tries > 0 {
            self.extras.push_back(sent.at);
            self.shared.note_retry(sent.at);
        }
        node.cold_sent.push_back((sent.at, live.req.units));
        if let Some(growth) = growth {
            node.ration.note_warmup_units(sent.at, live.req.units / growth);
        }
        node.cold_level -= live.req.units;
        if is_trial {
            node.standing.note_probe();
        }
        node.credit = (node.credit - 1.0).max(0.0);
        node.out.insert((id, live.tries), sent);
        live.tries += 1;
        live.out += 1;
        live.queued = false;
    }

    /// Books the end of an attempt: the attempt and its request, or nothing where it is not known.
    pub(crate) fn note_end(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: NodeId,
        ran: bool,
        last: bool,
    ) -> Option<(Sent, Request)> {
        let live = self.live.get_mut(&id)?;
        let out = &mut self.nodes.get_mut(&at)?.out;
        let sent = if mutated(Mutation::OutKeepsEnded) {
            out.get(&(id, attempt)).cloned()
        } else {
            out.remove(&(id, attempt))
        }?;
        live.out -= 1;
        live.finished |= last;
        if ran && live.maybe_ran.is_none() {
            live.maybe_ran = Some((sent.at, at));
        }
        Some((sent, live.req.clone()))
    }

    /// Books a request taken, forgetting those before the span.
    pub(crate) fn note_taken(&mut self, span: Nanos) {
        self.taken.push_back(self.now);
        while self.taken.front().is_some_and(|&t| t <= self.now - span) {
            self.taken.pop_front();
        }
    }

    /// Further attempts sent and requests taken within the span.
    pub(crate) fn attempts_within(&self, span: Nanos) -> (usize, usize) {
        let since = self.now - span;
        let further = self.extras.iter().rev().take_while(|t| **t >= since).count();
        (further, self.taken.iter().rev().take_while(|t| **t > since).count())
    }

    /// Drops what is older than is ever asked for.
    pub(crate) fn trim(&mut self, volume_idle: Nanos, span: Nanos) {
        let now = self.now;
        self.volumes.retain(|_, v| now - v.beyond.at < volume_idle);
        let known = &self.volumes;
        self.told_limits.retain(|id, (rate, _)| *rate > 0.0 || known.contains_key(id));
        self.lines.retain(|_, l| !l.order.is_empty() || now < l.rest_until);
        while self.extras.front().is_some_and(|t| *t < now - span) {
            self.extras.pop_front();
        }
    }

    /// Drops the nodes that are gone, once nothing is out to them, nothing was sent to them within the cold span
    /// and no request hangs on one, and gives their numbers. Guards against growth over a long life in which new
    /// nodes replace old ones.
    pub(crate) fn forget_gone(&mut self) -> Vec<NodeId> {
        let hung: Vec<NodeId> = self.live.values().filter_map(|l| Some(l.maybe_ran?.1)).collect();
        let over = |id: &NodeId, n: &Node| {
            n.listed == Listed::Removed && n.out.is_empty() && n.cold_sent.is_empty() && !hung.contains(id)
        };
        let gone: Vec<NodeId> = self.nodes.iter().filter(|(id, n)| over(id, n)).map(|(id, _)| *id).collect();
        for id in &gone {
            if let Some(list) = self.nodes.remove(id).and_then(|n| self.cells.get_mut(&n.cell)) {
                list.retain(|held| held != id);
            }
        }
        gone
    }

    /// A full list: nodes that are not on it are gone.
    pub(crate) fn drop_unlisted(&mut self, listed: &[NodeInfo]) {
        for (id, node) in &mut self.nodes {
            if !listed.iter().any(|n| n.node == *id) {
                node.listed = Listed::Removed;
            }
        }
    }

    /// Keeps the index of cells; a node may change its cell.
    fn place_in_cell(&mut self, id: NodeId, cell: CellId) {
        self.queues.entry(cell).or_default();
        let old = self.nodes.get_mut(&id).map(|n| std::mem::replace(&mut n.cell, cell));
        if let Some(list) = old.filter(|o| *o != cell).and_then(|o| self.cells.get_mut(&o)) {
            list.retain(|n| *n != id);
        }
        let list = self.cells.entry(cell).or_default();
        if !list.contains(&id) {
            list.push(id);
        }
    }

    /// The node of an entry, in its cell; one that is new has a window to begin with.
    pub(crate) fn place(&mut self, info: &NodeInfo, window: f64) -> &mut Node {
        self.place_in_cell(info.node, info.cell);
        let (now, shared) = (self.now, &self.shared);
        self.nodes.entry(info.node).or_insert_with(|| Node::new(info, now, window, shared.node_limits(now)))
    }

    fn leave_line(&mut self, id: RequestId, key: Option<KeyId>) {
        let Some(key) = key else { return };
        let Some(line) = self.lines.get_mut(&key) else { return };
        line.order.retain(|r| *r != id);
        if line.order.is_empty() && self.now >= line.rest_until {
            self.lines.remove(&key);
        }
    }

    /// Takes what this initiator is told beside lists and requests.
    pub(crate) fn tell(&mut self, told: FleetUpdate) {
        match told {
            FleetUpdate::SharedLimit { limit: of, rate, burst, at } => self.tell_limit(of, rate, burst, at),
            FleetUpdate::Ejection { node, classes: out } => self.apply_ejection(node, out),
            FleetUpdate::Probe { node, until } => self.apply_probe(node, until),
            FleetUpdate::Shutdown { deadline: by } => {
                self.leaves_by = by;
                self.live.values_mut().for_each(|l| l.die_at = l.die_at.min(by));
            }
        }
    }

    /// Takes what this initiator may use of a limit that all share. What flowed in before stays, as far as it has
    /// room; a volume's rate of 0 with no room is forgotten with its volume.
    fn tell_limit(&mut self, of: SharedLimit, rate: f64, burst: f64, at: Nanos) {
        match of {
            SharedLimit::Volume(volume) => {
                self.told_limits.insert(volume, (rate, burst));
                if let Some(limit) = self.volumes.get_mut(&volume).and_then(|v| v.limit.as_mut()) {
                    limit.retell(rate, burst, at);
                }
            }
            SharedLimit::Retries => self.shared.set_retries(rate, burst, at),
            SharedLimit::WarmingUpNode => {
                self.shared.set_warming_up(rate, burst, at, self.nodes.values_mut())
            }
            SharedLimit::InFlightPerNode => self.shared.set_in_flight(rate, self.nodes.values_mut()),
        }
    }

    /// Until when an attempt of a request may begin: one that may have run may be repeated only within its window, and
    /// a connection may take its time to come up.
    pub(crate) fn begins_by(&self, id: RequestId) -> Nanos {
        let Some(live) = self.live.get(&id) else { return Nanos::MAX };
        let class = &self.set.classes[live.req.class];
        match live.maybe_ran {
            Some((sent, _)) if class.semantics == Semantics::Deduplicated => sent + class.window,
            _ => Nanos::MAX,
        }
    }

    /// A first send that was none: its units go back.
    pub(crate) fn give_back(&mut self, volume: VolumeId, units: f64) {
        if let Some(limit) = self.volumes.get_mut(&volume).and_then(|v| v.limit.as_mut()) {
            limit.level = (limit.level + units).min(limit.most);
        }
    }
}

/// An average that starts at its first value.
pub fn smoothed(old: f64, alpha: f64, new: f64) -> f64 {
    if old > 0.0 {
        old + alpha * (new - old)
    } else {
        new
    }
}

/// The mean; 0 of nothing.
pub fn mean(items: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = items.fold((0.0, 0u32), |(sum, count), x| (sum + x, count + 1));
    sum / f64::from(count.max(1))
}

/// The item on which a lot of 0 to 1 falls, each having a part in step with its weight.
pub fn weighted<T: Copy>(lot: f64, items: &[(T, f64)]) -> Option<T> {
    let mut left = lot * items.iter().map(|(_, w)| w).sum::<f64>();
    let mut found = None;
    for &(item, weight) in items {
        found = Some(item);
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    found
}

/// The weight of a new value in an average that ages by count, with `alpha`, and by time, over `age`.
pub fn aged(alpha: f64, since: Nanos, age: Nanos) -> f64 {
    alpha.max(1.0 - (-(since.max(0) as f64) / age as f64).exp())
}

impl Settings {
    /// Whether they can hold.
    ///
    /// # Errors
    /// Where they cannot, with what is wrong.
    pub fn check(&self) -> Result<(), SettingsError> {
        check(self)
    }
}

/// Whether settings can hold.
pub fn check(set: &Settings) -> Result<(), SettingsError> {
    let positive = |x: f64| x.is_finite() && x > 0.0;
    let least = |x: f64| x.is_finite() && x >= 0.0;
    let bad = |why| Err(SettingsError(why));
    if set.classes.is_empty() || set.plans.is_empty() {
        return bad("there must be a class and a plan");
    }
    if set.classes.iter().any(|c| {
        c.latency_objective <= 0
            || c.deadline <= 0
            || !least(c.priority_weight)
            || !least(c.objective_stretch)
    }) {
        return bad("a class needs an aim, a deadline and a worth");
    }
    if set.plans.iter().any(|p| {
        ![p.limit_rate, p.limit_burst, p.reserve_rate, p.weight, p.price].map(least).iter().all(|x| *x)
    }) {
        return bad("a plan's rates must be numbers of 0 or more");
    }
    if set.initiators == 0 || set.max_attempts == 0 || set.quantum < 0 {
        return bad("initiators and tries must be 1 or more");
    }
    if !positive(set.mean_units)
        || !least(set.warmup_units)
        || !least(set.fair_share_value)
        || !least(set.idle_value)
    {
        return bad("units and worths must be numbers of 0 or more");
    }
    Ok(())
}
