//! Every decision of tulipbridge. Its types, events and actions are in `src/interface.rs`.

use crate::interface::*;
use crate::mutations::{mutated, Mutation};
use crate::state::{aged, mean, smoothed, weighted, Bucket, Health, Live, Node, Scheduler, Sent, Volume};

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;

// The constants. "Design" marks a figure of the design page; all others are starting values of ours.
/// Design: short over slow latency that flags a period.
const FLAG_RATIO: f64 = 1.10;
/// Design: one halving for a flagged period.
const HALVE: f64 = 0.5;
/// Design: recovery for each clean period, and base moved each second, as a part of base.
const STEP: f64 = 0.01;
/// Design: cap of the window. Its start is "several".
const WINDOW_CAP: f64 = 32.0;
/// A window under 1 is a pace: one request out, and a pause that makes it that part of the time.
const WINDOW_LEAST: f64 = 0.3;
/// A pace recovers by this part of itself for each good answer.
const PACE_STEP: f64 = 0.5;
/// Several; small, since all initiators start at once on the same nodes.
const WINDOW_START: f64 = 4.0;
/// Short and slow smoothing: about 4 and 50 answers.
const SHORT_ALPHA: f64 = 0.25;
const SLOW_ALPHA: f64 = 0.02;
/// Both averages also age by time: an answer after a pause of this length counts for about two thirds.
const SHORT_AGE: Nanos = SECOND;
const SLOW_AGE: Nanos = 12 * SECOND;
/// Weight never falls under this part of base, so that a node is seen again within some hundred draws.
const WEIGHT_FLOOR: f64 = 0.02;
/// Base never falls under this part of an even share, so that the loop cannot empty a node.
const BASE_FLOOR: f64 = 0.25;
/// Latency up to this multiple of the recent best widens the window, above the next narrows it.
const NEAR_BEST: f64 = 1.6;
const FAR_FROM_BEST: f64 = 2.6;
/// Whatever the best: under the first part of the tightest aim is near, the others bound what is far.
const NEAR_AIM: f64 = 0.15;
const FAR_AIM: f64 = 0.5;
const FAR_AIM_MOST: f64 = 0.8;
/// One narrowing a period, at the most by this factor; by less where latency is little over far.
const NARROW: f64 = 0.5;
/// A node that turns away is taken to answer after this many of the tightest aim.
const FULL_AIM: f64 = 1.5;
/// The recent best is over two spans of this length: past a flush cycle, short of a warm-up.
const BEST_SPAN: Nanos = 5 * SECOND;
/// Housekeeping: well under the shortest aim one would set.
const TICK: Nanos = 10 * MS;
const TICK_COOKIE: u64 = 1;
/// With no event for this long, many ticks, this initiator itself stood still.
const STOOD_STILL: Nanos = 100 * MS;
/// Silence past this multiple of the usual latency, and at least this long, is a sign.
const SILENCE_RATIO: f64 = 4.0;
const SILENCE_LEAST: Nanos = 150 * MS;
/// Lost answers in a row that make a node suspect: chance alone makes one or two where a third are lost.
const LOST_MOST: u32 = 3;
/// Where no budget is told: further attempts as a part of the requests taken, and the span it is counted in.
const RETRY_PART: f64 = 0.3;
const RETRY_SPAN: Nanos = 5 * SECOND;
/// Trial requests to a silent or dead node: first and longest gap.
const TRIAL_FIRST: Nanos = 200 * MS;
const TRIAL_MOST: Nanos = SECOND;
/// Trials a second of all initiators together, where the longest gap would make more.
const TRIALS: Nanos = 10;
/// Of what a cold node can bear, the initiators together send a part, by what each has from a warm one: 1 at
/// first, within these bounds, and with these steps for an attempt that was answered in time or was not.
const COLD_PART: std::ops::RangeInclusive<f64> = 0.4..=2.0;
const COLD_STEPS: [f64; 2] = [1.2, 0.8];
/// Requests of mean size that may be saved up for a cold node.
const COLD_DEPTH: f64 = 3.0;
/// Memory of what the warm nodes serve.
const SERVED_MEMORY: f64 = 4e9;
/// Requests waiting for one cell: a bound on memory and on the cost of a choice.
const QUEUE_MOST: usize = 160;
/// Requests that earn little use at most this part of a window.
const LOW_PART: f64 = 0.5;
/// Worth under this part of the full is little.
const LOW_WORTH: f64 = 0.25;
/// Part of a limit's bucket that the class of least worth leaves alone.
const LIMIT_HOLD: f64 = 0.4;
/// Use beyond the reserve up to this multiple of the smallest rate by weight is inside the share.
const FAIR_BAND: f64 = 2.0;
/// Memory of a volume's rates.
const RATE_MEMORY: f64 = 1.5e9;
/// A volume idle for this long is forgotten (its buckets restart empty, which is safe).
const VOLUME_IDLE: Nanos = 60 * SECOND;
/// First and longest gap between calls for a subscription.
const ASK_FIRST: Nanos = 300 * MS;
const ASK_MOST: Nanos = 3 * SECOND;
/// The same for each initiator, as all may call at once; within this part of the time that makes a list told.
const ASK_EACH: Nanos = 50 * MS;
const ASK_PART: f64 = 0.7;
/// A request that was never sent is held for this part of its time at the most: a refusal later than that
/// leaves its client no time for anything else.
const HOLD_PART: f64 = 0.5;
/// A node is drawn by this power of its quickness, within a bound; without answers that falls to a part.
const PULL: i32 = 2;
const PULL_MOST: f64 = 30.0;
const PULL_MEMORY: f64 = 5e9;
const PULL_STALE: f64 = 0.03;
/// Smoothing of how often those clients leave that wait long, and how often makes it the rule.
const LEFT_ALPHA: f64 = 0.03;
const LEFT_RATE: f64 = 0.3;
/// Without further ones, what was learned of them fades over this time.
const LEFT_MEMORY: f64 = 2e10;
/// Who leaves before this part of the aim has not waited for an answer, and says nothing of who does.
const LEFT_LEAST: f64 = 0.25;
/// An age within this part of another, either way, is about the same.
const LEFT_ABOUT: f64 = 0.5;
/// Admission: memory of its rates, and smoothing of the part that comes to nothing: by count, and over a time
/// where one initiator sees many attempts a second.
const ADMIT_MEMORY: f64 = 1e9;
const BAD_ALPHA: f64 = 0.2;
const BAD_MEMORY: f64 = 6e8;
/// Out for this part of the tightest aim is bad, yet no shorter than a silence: pauses are no sign.
const BAD_AIM: f64 = 0.6;
/// With more bad ones than this, reads that are late are not waited for.
const BAD_SOME: f64 = 0.1;
/// Bad ones up to this part are borne: some nodes in trouble are no reason to refuse work for the others.
const BAD_BORNE: f64 = 0.3;
/// The bound steps down by that smoothing's part for a bad attempt, up by this much of it for a good one, and
/// leaves all initiators together this many requests a second for each node, to see a recovery by.
const ADMIT_UP: f64 = 0.5;
const ADMIT_LEAST: f64 = 3.0;
/// No answer earns a node more than this many requests ahead.
const CREDIT_MOST: f64 = 2.0;
/// Latest requests that a new one is ranked among.
const RECENT: usize = 64;
/// The least wait that a refusal tells, before it is spread over its upper half.
const WAIT_LEAST: f64 = 5e7;
/// This part of the usual latency passes before another try.
const AGAIN_PAUSE: f64 = 0.5;

impl Scheduler {
    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        let stood = now - self.now;
        self.now = self.now.max(now);
        if stood > STOOD_STILL {
            self.excuse(stood);
        }
        if !self.started {
            self.started = true;
            self.cold_part = 1.0;
            self.ask_gap = ASK_FIRST.max(self.crowd() / 2);
            // All may start at one moment; a list as last held serves meanwhile.
            let wait = (self.random.f64() * self.crowd() as f64) as Nanos;
            self.ask_at = self.set.polls_discovery.then_some(self.now + wait);
            self.tick(actions);
        }
        match event {
            Event::Endpoints { scope, nodes } => self.on_fleet(scope, nodes, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::ClientGone(id) => {
                self.left(id);
                self.spare(id, actions);
                if !mutated(Mutation::GoneNotFinished) {
                    self.finish(id);
                }
            }
            Event::ResponseStarted(id) => {
                self.live.entry(id).and_modify(|l| l.streaming = true);
            }
            Event::AttemptEnded { .. } => self.on_ended(&event, actions),
            Event::Timer(TICK_COOKIE) => self.tick(actions),
            Event::FleetUpdate(told) => self.tell(told),
            Event::Timer(_) => {}
        }
    }

    fn on_fleet(&mut self, scope: UpdateScope, nodes: Vec<NodeInfo>, actions: &mut Vec<Action>) {
        if scope == UpdateScope::Unavailable {
            // Backs off with jitter, since all initiators lose discovery at the same moment.
            let wait = (self.ask_gap as f64 * (0.5 + self.random.f64())) as Nanos;
            let told = if self.set.poll_interval > 0 { self.set.poll_interval } else { Nanos::MAX };
            self.ask_at = Some(self.now + wait.min((told as f64 * ASK_PART) as Nanos));
            self.ask_gap = (self.ask_gap * 2).min(ASK_MOST.max(2 * self.crowd()));
            return;
        }
        self.ask_gap = ASK_FIRST.max(self.crowd() / 2);
        if scope != UpdateScope::Update {
            self.drop_unlisted(&nodes);
        }
        for info in nodes {
            self.on_entry(info);
        }
        if scope == UpdateScope::Restored {
            // This initiator may have been killed a moment ago, and what it had sent to a cold node counts.
            for node in self.nodes.values_mut().filter(|n| n.cold_since.is_some()) {
                node.cold_sent.push_back((self.now, f64::INFINITY));
            }
        }
        self.dispatch_all(actions);
    }

    /// The time that discovery needs for a call of every initiator.
    fn crowd(&self) -> Nanos {
        i64::from(self.set.initiators) * ASK_EACH
    }

    fn on_entry(&mut self, info: NodeInfo) {
        let (now, cold, mean) = (self.now, self.set.warmup_duration, self.set.mean_units);
        let lot = 2.0 * self.random.f64() - 1.0;
        let usual = self.cells.get(&info.cell).into_iter().flatten().map(|id| self.nodes[id].usual);
        let usual = usual.fold(0.0, f64::max);
        let node = self.place(&info, WINDOW_START);
        node.usual = node.usual.max(usual);
        node.zone = info.zone;
        node.listed = info.listed;
        if info.started_at > node.came_up {
            node.came_up = info.started_at;
            if now - info.started_at < cold {
                node.start_cold(info.started_at, info.started_at + cold);
                node.cold_level = lot * mean;
            }
        }
    }

    /// The nodes listed up for a cell, the one to prefer first: while one replaces another both hold it, and
    /// the old one is warm. Guards against a release that hands all work to cold nodes.
    fn holders(&self, cell: CellId) -> Vec<NodeId> {
        let mut up: Vec<(NodeId, &Node)> = self.up(cell).collect();
        up.sort_by_key(|entry| (!entry.1.standing.is_probe_due(self.now), rank(entry)));
        up.iter().map(|(id, _)| *id).collect()
    }

    fn holder(&self, cell: CellId) -> Option<&Node> {
        self.up(cell).min_by_key(rank).map(|(_, n)| n)
    }

    fn on_request(&mut self, req: Request, actions: &mut Vec<Action>) {
        let (now, id) = (self.now, req.id);
        if self.live.contains_key(&id) {
            return;
        }
        if req.class >= self.set.classes.len() || req.plan >= self.set.plans.len() {
            actions.push(Action::Reject { id, retry_after: 0 });
            return;
        }
        let span = self.budget().window;
        self.note_taken(span);
        let class = &self.set.classes[req.class];
        // A later try of a client has less time left; what is gone already counts against the aim. Who would
        // wait for longer than any client of the class makes nobody else's try a later one.
        let most = self.most_patience[req.class].max(req.patience.min(class.deadline));
        self.most_patience[req.class] = most;
        let stretch = class.objective_stretch * self.unit_cost[req.class] * req.units;
        let aim =
            (class.latency_objective + stretch as Nanos).min(class.deadline) - (most - req.patience).max(0);
        if class.keep_order {
            if let Some(key) = req.key {
                self.lines.entry(key).or_default().order.push_back(id);
            }
        }
        self.volume(&req);
        let admitted = self.admit(&req);
        self.hold(Live::new(req, now, aim, self.set.max_attempts));
        if admitted {
            self.enqueue(id, actions);
        }
        // A try may come with less time left than a tick takes.
        if !admitted || self.live.get(&id).is_some_and(|l| self.hopeless(l)) {
            self.end(id, actions);
        }
    }

    /// Admission by goodput, over all nodes: one initiator of hundreds sees a node once in seconds, all of
    /// them many times a second. An answer in time earns its node the next request. What is asked beyond
    /// that is bounded where too many attempts came to nothing (AIMD), and the best by worth is taken; the
    /// rest is refused before it is sent. Guards against collapse of any cause: a crowd in its first seconds,
    /// nodes that serve worse the more they hold, storms of repeats, queues full of work whose clients left.
    /// Could harm where many nodes fail at once and the others are asked for rarely: they earn no credit.
    fn admit(&mut self, req: &Request) -> bool {
        let (now, lot) = (self.now, self.random.f64());
        let earned = |n: &Node| n.listed == Listed::Up && n.health == Health::Good && n.credit >= 1.0;
        let open = match req.cell {
            Some(cell) => self.holder(cell).is_some_and(earned),
            None => self.nodes.values().any(earned),
        };
        if open {
            return true;
        }
        let worth = self.tier(req) * self.points(req);
        let door = &mut self.admission;
        door.asked.count(now, ADMIT_MEMORY);
        door.rank(worth, lot, RECENT) < self.admitted_part()
    }

    /// The part of what is asked without credit that the bound lets through; over 1 is all of it.
    fn admitted_part(&self) -> f64 {
        let asked = self.admission.asked.now(self.now, ADMIT_MEMORY).max(f64::MIN_POSITIVE);
        self.admission.bound.map_or(f64::INFINITY, |b| b / asked)
    }

    /// Counts an attempt as answered in time or not, for its node's credit and for the bound.
    fn count(&mut self, at: NodeId, class: usize, bad: bool) {
        let least = ADMIT_LEAST * self.nodes.len() as f64 / f64::from(self.set.initiators.max(1));
        let (now, door) = (self.now, &mut self.admission);
        if let Some(node) = self.nodes.get_mut(&at) {
            node.note_end(class, bad, CREDIT_MOST);
            if node.cold_since.is_some() {
                // Learned from all cold nodes together, since each is met too seldom.
                let part = self.cold_part * COLD_STEPS[usize::from(bad)];
                self.cold_part = part.clamp(*COLD_PART.start(), *COLD_PART.end());
            }
        }
        let alpha = BAD_ALPHA.min(1e9 / BAD_MEMORY / door.counted.count(now, ADMIT_MEMORY));
        door.bad += alpha * (f64::from(u8::from(bad)) - door.bad);
        if !bad {
            door.bound = door.bound.map(|b| b * (1.0 + alpha * ADMIT_UP));
        } else if door.bad > BAD_BORNE {
            let sent = door.sent.now(now, ADMIT_MEMORY);
            door.bound = Some((door.bound.unwrap_or(sent).min(sent) * (1.0 - alpha)).max(least));
        }
    }

    /// What is out near the tightest aim counts as bad before any outcome: no answer teaches nothing else.
    /// One that a later one overtook was lost on its way and says nothing of the node's load.
    fn count_overdue(&mut self) {
        let mut overdue = Vec::new();
        for (id, node) in &mut self.nodes {
            let overtaken = node.answered_of;
            for sent in node.out.values_mut().filter(|s| !s.counted && self.now > s.due) {
                sent.counted = true;
                overdue.extend((sent.at >= overtaken).then_some((*id, sent.class)));
            }
        }
        for (at, class) in overdue {
            self.count(at, class, true);
        }
    }

    /// Clients that leave early: learns, for each class, after how long (leaning to the short side), and
    /// which part of those that waited so long left about then. Guards against work done for nobody when
    /// patience shrinks, whatever the cause. Could harm the few patient ones, which then rank as late.
    /// Clients that leave at random moments, however many, say nothing of the others' patience.
    fn left(&mut self, id: RequestId) {
        let Some(live) = self.live.get(&id) else { return };
        let age = (self.now - live.since) as f64;
        let waited = age >= self.set.classes[live.req.class].latency_objective as f64 * LEFT_LEAST;
        if live.finished || !waited || self.now >= live.die_at - self.margin() {
            return;
        }
        let stay = &mut self.stay[live.req.class];
        let about = age >= stay.age * LEFT_ABOUT && age * LEFT_ABOUT <= stay.age;
        let alpha = if age < stay.age { 0.1 } else { 0.02 };
        stay.age = smoothed(stay.age, alpha, age);
        stay.count(self.now, about, LEFT_ALPHA, LEFT_MEMORY);
    }

    /// Nobody waits for its answer any more: what has not run yet need not. Only where it may run again, lest
    /// a write be left in doubt. Guards the nodes' time; costs the connection that it is out on.
    fn spare(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.live.get(&id).filter(|l| l.out > 0 && !l.finished && !l.streaming) else {
            return;
        };
        if self.set.cancellation && self.set.classes[live.req.class].semantics == Semantics::Idempotent {
            // Two are never out at once.
            actions.push(Action::Cancel { id, attempt: live.tries - 1 });
        }
    }

    /// A client has stayed for its answer, whichever it is.
    fn stayed(&mut self, id: RequestId) {
        let Some(live) = self.live.get(&id).filter(|l| !l.finished) else { return };
        let stay = &mut self.stay[live.req.class];
        if (self.now - live.since) as f64 >= stay.age {
            stay.count(self.now, false, LEFT_ALPHA, LEFT_MEMORY);
        }
    }

    /// How long clients of a class lately tend to stay, where they leave early.
    fn stays(&self, class: usize) -> Nanos {
        let stay = &self.stay[class];
        if stay.rate(self.now, LEFT_MEMORY) < LEFT_RATE {
            return Nanos::MAX / 4;
        }
        stay.age as Nanos
    }

    /// Until when an answer is in time.
    fn aim(&self, live: &Live) -> Nanos {
        live.aim_at.min(live.since + self.stays(live.req.class))
    }

    fn volume(&mut self, req: &Request) {
        let (now, most, plan) = (self.now, self.set.max_units, &self.set.plans[req.plan]);
        let parts = f64::from(req.front_count.max(1));
        // The share level: the smallest rate by weight that a plan's volumes are sized for.
        let rates = self.set.plans.iter().map(|p| p.nominal / p.weight.max(0.01)).filter(|r| *r > 0.0);
        let level = rates.fold(f64::INFINITY, f64::min) * FAIR_BAND;
        self.volumes.entry(req.volume).or_insert_with(|| {
            // Limits: what is told, or an even part; empty at first, as a restarted one forgets what it drew.
            let told = self.told_limits.get(&req.volume).copied();
            let (rate, burst) = told.unwrap_or((plan.limit_rate / parts, plan.limit_burst / parts));
            let limit = (plan.limit_rate > 0.0).then(|| Bucket::new(rate, burst, 0.0, now));
            let rate = plan.reserve_rate / parts;
            let reserve = Bucket::new(rate, rate + most, rate.min(most), now);
            Volume::new(limit, reserve, level * plan.weight.max(0.01) / parts, now)
        });
    }

    /// Puts a request in the queue of its cell, drawing the cell of a new object, and lets the cell send.
    fn enqueue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let lot = self.random.f64();
        let Some(live) = self.live.get(&id) else { return };
        let cell = live.cell.or_else(|| self.draw_cell(lot, &live.req));
        if let Some(live) = self.live.get_mut(&id) {
            live.cell = cell;
            live.queued = true;
        }
        // With no node listed a new object waits for one, in no queue.
        let Some(cell) = cell else { return };
        let queue = self.queues.entry(cell).or_default();
        queue.push(id);
        if queue.len() > QUEUE_MOST {
            self.end(id, actions);
        }
        self.dispatch(cell, actions);
    }

    /// Weighted draw among the nodes that could take the work now, where it is soon done: a busy node's time
    /// belongs to the reads that only it can serve. When none has room, among all.
    fn draw_cell(&self, lot: f64, req: &Request) -> Option<CellId> {
        let open = |n: &Node| !n.standing.is_ejected(req.class);
        let room = |n: &Node| n.has_room(n.window, self.now) && self.cold_room(n) >= req.units;
        let fit = |n: &Node| n.health == Health::Good && open(n) && room(n);
        let drawn = || self.draw_among(lot, fit).or_else(|| self.draw_among(lot, open));
        self.cell_to_probe(req).or_else(drawn).or_else(|| self.draw_among(lot, |_| true))
    }

    fn draw_among(&self, lot: f64, fit: impl Fn(&Node) -> bool) -> Option<CellId> {
        let eligible = || self.nodes.values().filter(|n| n.listed == Listed::Up && fit(n));
        let usual = mean(eligible().filter_map(|n| n.short));
        weighted(lot, &eligible().map(|n| (n.cell, n.weight * pull(n, usual, self.now))).collect::<Vec<_>>())
    }

    /// Sends from a cell's queue while its node has room, best first.
    fn dispatch(&mut self, cell: CellId, actions: &mut Vec<Action>) {
        if self.queues.get(&cell).is_none_or(Vec::is_empty) {
            return;
        }
        for at in self.holders(cell) {
            self.dispatch_to(cell, at, actions);
        }
    }

    fn dispatch_all(&mut self, actions: &mut Vec<Action>) {
        let cells: Vec<CellId> = self.queues.keys().copied().collect();
        for cell in cells {
            self.dispatch(cell, actions);
        }
    }

    fn dispatch_to(&mut self, cell: CellId, at: NodeId, actions: &mut Vec<Action>) {
        loop {
            let node = &self.nodes[&at];
            let (well, room) = (node.health == Health::Good, node.has_room(node.window.max(1.0), self.now));
            let open = if well { room } else { node.is_due(self.now) };
            if !open {
                return;
            }
            let mut best: Option<(f64, Nanos, usize)> = None;
            for (i, id) in self.queues[&cell].iter().enumerate() {
                let live = &self.live[id];
                if !self.may_send(live, at) {
                    continue;
                }
                let score = self.score(live, node);
                if best.is_none_or(|(s, aim, _)| score > s || (score == s && live.aim_at < aim)) {
                    best = Some((score, live.aim_at, i));
                }
            }
            let Some((_, _, i)) = best else { return };
            let Some(id) = self.queues.get_mut(&cell).map(|q| q.remove(i)) else { return };
            self.send(id, at, actions);
        }
    }

    /// Whether the rules allow this request at this node now, and whether it is worth the room.
    fn may_send(&self, live: &Live, at: NodeId) -> bool {
        let node = &self.nodes[&at];
        if self.now < live.not_before || self.now >= live.die_at - self.margin() || self.is_blocked(live, at)
        {
            return false;
        }
        let allowed = match live.tries {
            0 => self.limit_allows(&live.req),
            _ => self.may_repeat(live, Some(at)),
        };
        allowed && self.in_turn(live) && self.cold_room(node) >= live.req.units && self.has_place(live, node)
    }

    /// The window, by worth. Work inside its share and in time may always have one out. Little worth keeps
    /// to half the window and to the pace, lest it stand before better work. Could idle a node that only this
    /// initiator uses, until its latency is near its best again.
    fn has_place(&self, live: &Live, node: &Node) -> bool {
        if node.health != Health::Good {
            return true;
        }
        // Nodes serve in turn: a wide aim must not fill the queue that a tight one meets.
        let full = node.short.is_some_and(|s| s > node.tightest);
        if !full && self.gain(live, node) >= LOW_WORTH {
            return true;
        }
        let window = if node.window < 1.0 { node.window } else { (node.window * LOW_PART).max(1.0) };
        node.has_room(window, self.now)
    }

    /// Order: only the first of a key's line goes, once the key has rested.
    fn in_turn(&self, live: &Live) -> bool {
        let Some(key) = live.req.key else { return true };
        if !self.set.classes[live.req.class].keep_order {
            return true;
        }
        let Some(line) = self.lines.get(&key) else { return true };
        line.order.front() == Some(&live.req.id) && (self.now >= line.rest_until || live.tries > 0)
    }

    fn limit_allows(&self, req: &Request) -> bool {
        let Some(limit) = self.volumes.get(&req.volume).and_then(|v| v.limit.as_ref()) else { return true };
        // Classes of less worth leave part of the bucket to those of more. Harms only them, at a limit.
        let most = self.set.classes.iter().map(|c| c.priority_weight).fold(0.0, f64::max).max(1e-9);
        let held = limit.most * LIMIT_HOLD * (1.0 - self.set.classes[req.class].priority_weight / most);
        limit.rate > 0.0 && limit.level_at(self.now) >= (req.units + held).min(limit.most)
    }

    /// Part of full worth that this request would earn at this node: its place in reserve, share or spare,
    /// and whether it would still be in time.
    fn gain(&self, live: &Live, node: &Node) -> f64 {
        let late_worth = self.set.classes[live.req.class].late_value;
        self.tier(&live.req) * if self.late(live, node) { late_worth } else { 1.0 }
    }

    fn late(&self, live: &Live, node: &Node) -> bool {
        self.now + self.expect(live, node) as Nanos > self.aim(live)
    }

    /// Reserve first, then share by weight, then spare.
    fn tier(&self, req: &Request) -> f64 {
        let Some(volume) = self.volumes.get(&req.volume) else { return 1.0 };
        let inside = (volume.reserve.level_at(self.now) / req.units.max(0.1)).clamp(0.0, 1.0);
        let fair = volume.beyond.now(self.now, RATE_MEMORY) <= volume.share;
        let rest = if fair { self.set.fair_share_value } else { self.set.idle_value };
        inside + (1.0 - inside) * rest
    }

    /// Worth for a unit of the node's time.
    fn score(&self, live: &Live, node: &Node) -> f64 {
        self.gain(live, node) * self.points(&live.req)
    }

    /// Full worth for a unit of work.
    fn points(&self, req: &Request) -> f64 {
        let cost = self.unit_cost[req.class].max(1.0);
        self.set.classes[req.class].priority_weight * self.set.plans[req.plan].price / cost
    }

    /// Work of a request as learned, without waiting; 0 while nothing is known.
    fn cost(&self, req: &Request) -> f64 {
        self.unit_cost[req.class] * req.units
    }

    /// Work of a request of mean size, over the classes.
    fn mean_cost(&self) -> f64 {
        mean(self.unit_cost.iter().copied().filter(|c| *c > 0.0)) * self.set.mean_units.max(1.0)
    }

    /// Latency to expect of a request at a node: the node's smoothed latency, scaled from the mean request.
    fn expect(&self, live: &Live, node: &Node) -> f64 {
        let Some(short) = node.short else { return self.cost(&live.req) };
        short * self.relative(&live.req, node)
    }

    /// A request's expected latency over that of the mean request at this node: the node's usual waiting
    /// adds to both, the work only to its own. Guards the flags against costly requests and flushes.
    fn relative(&self, req: &Request, node: &Node) -> f64 {
        let (mean, cost) = (self.mean_cost(), self.cost(req));
        if mean <= 0.0 || cost <= 0.0 {
            return 1.0;
        }
        let waiting = (node.slow - mean).max(0.0);
        (cost + waiting) / (mean + waiting)
    }

    fn send(&mut self, id: RequestId, at: NodeId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(live) = self.live.get(&id) else { return };
        let (class, left) = (&self.set.classes[live.req.class], self.aim(live) - now);
        let in_time = left > 0 && class.late_value < LOW_WORTH && class.semantics == Semantics::Idempotent;
        let (class, much_late) = (live.req.class, self.admission.bad > BAD_SOME);
        let expected = self.expect(live, &self.nodes[&at]);
        let tightest = self.set.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) as f64;
        let sign = (tightest * BAD_AIM).max(SILENCE_LEAST as f64);
        let due = now + (sign * self.relative(&live.req, &self.nodes[&at]).max(1.0)) as Nanos;
        if live.tries == 0 {
            if let Some(volume) = self.volumes.get_mut(&live.req.volume) {
                volume.draw(now, live.req.units, RATE_MEMORY);
            }
        }
        if self.nodes[&at].credit < 1.0 {
            self.admission.sent.count(now, ADMIT_MEMORY);
        }
        let most = TRIAL_MOST.max(i64::from(self.set.initiators) * SECOND / TRIALS);
        let jitter = 0.5 + self.random.f64();
        self.note_send(id, at, Sent { at: now, class, expected, due, counted: false });
        if let Some(node) = self.nodes.get_mut(&at).filter(|n| n.health != Health::Good) {
            node.trial_at = now + (node.trial_gap as f64 * jitter) as Nanos;
            node.trial_gap = (node.trial_gap * 2).min(most);
        }
        // Where much is late, a late read is worth less than its place in a queue: it ends at its aim.
        // Guards against queues of late work, which no initiator of a hundred sees; a write is left alone.
        let spare = much_late && in_time && self.set.cancellation;
        actions.push(Action::Send { id, node: at, timeout: if spare { left } else { 0 } });
    }

    /// Cold nodes: what this initiator may still send. Two accounts, the larger counts. Its even part of what
    /// is always borne, within the rule's span, grows with the least capacity the node must have by its age.
    /// And a part of what the old node served it, or a warm one does in the mean: the sum over the initiators
    /// may be twice what a node can do, so late answers narrow the part. Harms a node that is warm already.
    pub(crate) fn cold_room(&self, node: &Node) -> f64 {
        let Some(since) = node.cold_since else { return f64::INFINITY };
        let growth = self.growth(since);
        let part = self.set.warmup_units / f64::from(self.set.initiators.max(1)) * growth;
        let span = node.cold_sent.iter().filter(|(t, _)| *t > self.now - self.cold_span());
        let even = part - span.map(|(_, u)| u).sum::<f64>();
        let own = if node.cold_level < self.set.mean_units { node.cold_level } else { self.set.max_units };
        node.ration.warmup_allowance(self.now).map_or(own.max(even), |told| told * growth)
    }

    /// The span of the rule on cold nodes, and what a batch may add.
    fn cold_span(&self) -> Nanos {
        self.set.overload_span + 2 * self.set.quantum
    }

    /// The least part of its full capacity that a node must have at an age, a span of the rule behind.
    pub(crate) fn warmth(&self, age: Nanos) -> f64 {
        let from = self.set.warmup_floor.clamp(0.05, 1.0);
        let age = (age - self.set.overload_span).max(0) as f64 / self.set.warmup_duration.max(1) as f64;
        from + (1.0 - from) * age.min(1.0)
    }

    fn on_ended(&mut self, event: &Event, actions: &mut Vec<Action>) {
        let &Event::AttemptEnded { id, attempt, node: at, outcome, took, last, .. } = event else { return };
        let ran = !matches!(outcome, Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent);
        if last {
            self.stayed(id);
        }
        let Some((sent, req)) = self.note_end(id, attempt, at, ran, last) else { return };
        let unsure = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let Some(line) = req.key.filter(|_| unsure).and_then(|k| self.lines.get_mut(&k)) {
            line.rest_until = self.now + self.set.order_settle_time;
        }
        if outcome == Outcome::NotSent && attempt == 0 {
            self.give_back(req.volume, req.units);
        }
        if outcome == Outcome::Served {
            self.learn(id, at, took);
        }
        let counts = matches!(outcome, Outcome::Served | Outcome::Rejected | Outcome::TimedOut);
        if counts && !sent.counted && sent.at >= self.nodes[&at].answered_of {
            self.count(at, req.class, outcome != Outcome::Served || sent.at + took > sent.due);
        }
        self.judge(at, outcome, &sent, actions);
        if self.live[&id].finished {
            self.finish(id);
        } else {
            self.after_failure(id, at, outcome, actions);
        }
        let cell = self.nodes[&at].cell;
        self.dispatch(cell, actions);
        if let Some(other) = self.next_in_line(req.key).filter(|c| *c != cell) {
            self.dispatch(other, actions);
        }
    }

    /// Learns the class's cost and the node's latency from an answer.
    fn learn(&mut self, id: RequestId, at: NodeId, took: Nanos) {
        let live = &self.live[&id];
        let (class, units) = (live.req.class, live.req.units);
        let per_unit = took as f64 / units.max(0.1);
        let cost = &mut self.unit_cost[class];
        // Leans to the low side: what a unit costs with little waiting.
        let alpha = if per_unit < *cost { 0.05 } else { 0.005 };
        *cost = smoothed(*cost, alpha, per_unit);
        let relative = self.relative(&self.live[&id].req, &self.nodes[&at]).max(0.05);
        let (now, least) = (self.now, self.least_window());
        let aims = self.set.classes.iter().enumerate().map(|(i, c)| c.latency_objective.min(self.stays(i)));
        let aim = aims.min().unwrap_or(0) as f64;
        if let Some(node) = self.nodes.get_mut(&at) {
            node.least = least;
            if node.cold_since.is_none() {
                node.served.add(now, units, SERVED_MEMORY);
            }
            node.answer(now, took as f64 / relative, aim);
        }
    }

    /// Health, one notion for every way of failing: an answer clears it; lost connections, time-outs and
    /// errors flag the period, so that none of them, however fast, looks like a quick answer.
    fn judge(&mut self, at: NodeId, outcome: Outcome, sent: &Sent, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else { return };
        if matches!(outcome, Outcome::Rejected | Outcome::TimedOut) {
            node.narrow(NARROW);
        }
        // A full queue is a latency past the tightest aim, though the answer comes at once.
        if outcome == Outcome::Rejected && node.tightest.is_finite() {
            node.short = Some(node.short.unwrap_or(0.0).max(node.tightest * FULL_AIM));
        }
        match outcome {
            Outcome::Served | Outcome::Error => {
                node.answer_at = now;
                node.answered_of = node.answered_of.max(sent.at);
                node.losses = 0;
                if node.health != Health::Good {
                    node.health = Health::Good;
                    actions.push(Action::Log { text: "node answers again", node: at });
                }
            }
            // A lost answer says little of the node: the work was done. A dead one shows by the next attempt.
            // A full one is no better: its refusals bring nothing back.
            Outcome::NotExecuted | Outcome::Reset | Outcome::TimedOut | Outcome::Rejected => {
                node.losses += 1;
                let refused = outcome == Outcome::NotExecuted;
                if refused || node.losses >= LOST_MOST {
                    node.suspect(now);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        if !matches!(outcome, Outcome::Served | Outcome::NotSent | Outcome::Cancelled) {
            node.flagged = true;
        }
        node.end_period(now);
    }

    /// The one place that decides on another attempt after a failed one.
    fn after_failure(&mut self, id: RequestId, at: NodeId, outcome: Outcome, actions: &mut Vec<Action>) {
        let live = &self.live[&id];
        if live.queued || live.out > 0 || live.streaming {
            return;
        }
        // What never ran, for want of a connection, has cost nobody anything.
        let elsewhere = outcome == Outcome::NotExecuted && live.req.cell.is_none();
        let crowded = self.admitted_part() < 1.0 && !elsewhere;
        let over = outcome == Outcome::TimedOut && self.now >= self.aim(live);
        if outcome == Outcome::NotSent || over || crowded || !self.may_repeat(live, None) {
            self.end(id, actions);
            return;
        }
        let pause = self.nodes[&at].short.unwrap_or(0.0) * AGAIN_PAUSE * (0.5 + self.random.f64());
        if let Some(live) = self.live.get_mut(&id) {
            live.not_before = self.now + pause as Nanos;
            if live.maybe_ran.is_none() && live.req.cell.is_none() {
                live.cell = None;
            }
        }
        self.enqueue(id, actions);
    }

    /// Further attempts: class, window and group, number of tries, budget and the time left must all allow.
    fn may_repeat(&self, live: &Live, at: Option<NodeId>) -> bool {
        let class = &self.set.classes[live.req.class];
        let tried =
            live.tries >= live.most_tries.min(self.set.max_attempts) && !mutated(Mutation::TriesUnbounded);
        if tried || live.out > 0 || self.now >= live.die_at - self.margin() || self.is_spent() {
            return false;
        }
        let budget = self.budget();
        let (further, taken) = self.attempts_within(budget.window);
        let spent = (further + 1) as f64 > budget.base_allowance + budget.ratio * taken as f64;
        if spent && (self.set.retry_budget.is_some() || live.maybe_ran.is_some()) {
            return false;
        }
        let Some((sent, first)) = live.maybe_ran else { return true };
        let same_group = |at: NodeId| match class.group {
            Group::All => true,
            Group::Zone => self.nodes[&at].zone == self.nodes[&first].zone,
            Group::Cell => self.nodes[&at].cell == self.nodes[&first].cell,
        };
        match class.semantics {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => mutated(Mutation::RepeatsSubmit),
            Semantics::Deduplicated => self.now < sent + class.window && at.is_none_or(same_group),
        }
    }

    /// The told budget of further attempts, or one of ours, lest repeats feed a crowd.
    fn budget(&self) -> RetryBudget {
        let ours = RetryBudget { base_allowance: 3.0, ratio: RETRY_PART, window: RETRY_SPAN };
        self.set.retry_budget.clone().unwrap_or(ours)
    }

    /// Before a client's time is up by this, its answer goes out: a timer may be late by a tick and a batch.
    fn margin(&self) -> Nanos {
        TICK + 2 * self.set.quantum
    }

    /// Gives a request up at once. Refused where a repeat is harmless, failed where it may have run.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let lot = self.random.f64();
        self.stayed(id);
        let Some(live) = self.live.get(&id) else { return };
        if live.finished {
            return;
        }
        let class = &self.set.classes[live.req.class];
        let ran = live.out > 0 || live.maybe_ran.is_some();
        let harmless = match class.semantics {
            Semantics::Idempotent => true,
            Semantics::Deduplicated => !ran || class.group == Group::All,
            Semantics::AtMostOnce => !ran || mutated(Mutation::RefusesSubmitInDoubt),
        };
        if harmless {
            let wait = self.wait(live, lot);
            actions.push(Action::Reject { id, retry_after: wait });
        } else {
            actions.push(Action::Fail(id));
        }
        self.finish(id);
    }

    /// When coming back may help: after two of the node's usual latencies, a second where it is not well, and
    /// in step with how much is refused here; spread, so that a crowd does not come back as one.
    fn wait(&self, live: &Live, lot: f64) -> Nanos {
        let usual = match live.cell.and_then(|c| self.holder(c)) {
            Some(n) if n.health == Health::Good => 2.0 * n.short.unwrap_or(0.0),
            _ => SECOND as f64,
        };
        let grown = usual.max(WAIT_LEAST) / self.admitted_part().clamp(0.01, 1.0);
        (grown.min(self.set.max_retry_after as f64) * (0.5 + 0.5 * lot)) as Nanos
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after: TICK, cookie: TICK_COOKIE });
        if self.ask_at.take_if(|at| self.now >= *at).is_some() {
            actions.push(Action::Subscribe);
        }
        self.count_overdue();
        self.watch_silence(actions);
        self.give_up(actions);
        if self.now - self.second_at >= SECOND {
            self.second_at = self.now;
            self.move_base();
            self.note_served();
            self.trim(VOLUME_IDLE, self.budget().window);
            actions.extend(self.forget_gone().into_iter().map(Action::ForgetNode));
        }
        self.dispatch_all(actions);
    }

    /// This initiator stood still: the time is no silence of the nodes, and no delay of theirs. Guards
    /// against pauses of its machine. Could harm where timers come late as a rule: a dead node shows later.
    fn excuse(&mut self, stood: Nanos) {
        for node in self.nodes.values_mut() {
            node.answer_at = self.now;
            node.out.values_mut().for_each(|s| s.due += stood);
        }
    }

    /// Silence: no answer while work is out, past a multiple of the usual latency, is a flagged period and
    /// leaves trial requests only. Guards against hangs, cut links, dead machines and long stalls; could
    /// harm where one very long request is all that is out, so the multiple is of what that one should take.
    fn watch_silence(&mut self, actions: &mut Vec<Action>) {
        let (now, mean, span) = (self.now, self.set.mean_units, self.cold_span());
        let colds = self.nodes.values().map(|n| n.cold_since.map_or(1.0, |s| self.warmth(now - s)));
        let part = self.cold_part * self.set.tip_multiple;
        let parts: Vec<f64> = colds.map(|w| (part * w).min(self.cold_part.max(1.0))).collect();
        let (least, passed) = (self.warm_rate, (now - self.tick_at) as f64 / 1e9);
        self.tick_at = now;
        for ((id, node), part) in self.nodes.iter_mut().zip(parts) {
            let level = node.cold_level + part * node.usual.max(least) * passed;
            node.cold_level = level.min(mean * COLD_DEPTH);
            let oldest = node.out.values().map(|s| s.at).min();
            if let Some(oldest) = oldest {
                let usual = node.out.values().map(|s| s.expected).fold(node.slow, f64::max);
                let silent = now - oldest.max(node.answer_at);
                if silent > ((usual * SILENCE_RATIO) as Nanos).max(SILENCE_LEAST) {
                    if node.health == Health::Good {
                        actions.push(Action::Log { text: "node is silent", node: *id });
                    }
                    node.suspect(now);
                    node.flagged = true;
                }
            }
            node.end_period(now);
            node.age(now, span);
        }
    }

    /// What each warm node serves this initiator, and one of them in the mean, for when a node starts anew.
    fn note_served(&mut self) {
        let (mut sum, mut count) = (0.0, 0.0);
        for node in self.nodes.values_mut().filter(|n| n.is_warm()) {
            node.usual = node.served.now(self.now, SERVED_MEMORY);
            (sum, count) = (sum + node.usual, count + 1.0);
        }
        if count > 0.0 {
            self.warm_rate = sum / count;
        }
    }

    /// Early answers: whatever cannot be answered before its client leaves, cannot pass its limit before its
    /// aim, or waits past its aim for a node that does not answer, is given up at once.
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        let ids: Vec<RequestId> = self.live.values().filter(|l| self.hopeless(l)).map(|l| l.req.id).collect();
        for id in ids {
            self.end(id, actions);
        }
        // A new object that waits for a silent or leaving node is drawn again among those with room.
        let unwell = |n: &Node, l: &Live| n.health != Health::Good || n.standing.is_ejected(l.req.class);
        let at = |l: &Live| l.cell.and_then(|c| self.holder(c));
        let waiting = |l: &&Live| {
            l.queued && l.maybe_ran.is_none() && l.req.cell.is_none() && at(l).is_none_or(|n| unwell(n, l))
        };
        let moving: Vec<RequestId> = self.live.values().filter(waiting).map(|l| l.req.id).collect();
        for id in moving {
            let lot = self.random.f64();
            let live = self.live.get(&id).filter(|l| l.queued);
            let cell = live.and_then(|l| self.draw_cell(lot, &l.req));
            if let Some(cell) = cell.filter(|c| self.move_to(id, *c)) {
                self.dispatch(cell, actions);
            }
        }
    }

    fn hopeless(&self, live: &Live) -> bool {
        let over = self.now >= live.die_at - self.margin();
        if live.finished || live.streaming || !(over || live.queued) {
            return false;
        }
        if over || (live.tries > 0 && !self.may_repeat(live, None)) {
            return true;
        }
        // Past every aim already, and its client could have been told to come back.
        let half = live.since + (live.req.patience as f64 * HOLD_PART) as Nanos;
        if live.tries == 0 && self.now >= half - self.margin() {
            return true;
        }
        let Some(node) = live.cell.and_then(|c| self.holder(c)) else {
            return self.now > live.aim_at;
        };
        let expect = self.expect(live, node) as Nanos;
        let late = self.late(live, node);
        let limited = live.tries == 0 && !self.limit_allows(&live.req);
        let leaves = late && self.stays(live.req.class) < live.die_at - live.since;
        leaves || self.now + expect > live.die_at || (late && (limited || node.health != Health::Good))
    }

    /// The design's loop: 1% of base from the slowest node to the fastest, until that no longer helps. It
    /// starts again when the highest latency has changed by the design's 10%.
    fn move_base(&mut self) {
        let known = self.nodes.iter().filter(|(_, n)| n.listed == Listed::Up && n.short.is_some());
        let known: Vec<(f64, NodeId)> = known.map(|(id, n)| (n.slow, *id)).collect();
        let high = known.iter().max_by(|a, b| a.0.total_cmp(&b.0));
        let low = known.iter().min_by(|a, b| a.0.total_cmp(&b.0));
        let (Some(&(high, from)), Some(&(_, to))) = (high, low) else { return };
        let last = self.last_high.unwrap_or(f64::INFINITY);
        let changed = high > last * FLAG_RATIO || high < last / FLAG_RATIO;
        if self.stopped && !changed {
            return;
        }
        self.last_high = Some(high);
        self.stopped = !self.stopped && high >= last;
        if self.stopped {
            return;
        }
        if from != to && self.nodes[&from].base - STEP >= BASE_FLOOR {
            for (id, by) in [(from, -STEP), (to, STEP)] {
                self.nodes.entry(id).and_modify(|n| n.shift_base(by));
            }
        }
    }
}

impl Node {
    /// Whether one more may go out under a window. One under 1 is a pace, with a pause after each answer,
    /// since where many initiators meet at a small node even one each is too many.
    fn has_room(&self, window: f64, now: Nanos) -> bool {
        let window = if self.is_full() { 0.0 } else { window.min(self.ration.max_in_flight()) };
        if window < 1.0 {
            let best = self.best[0].min(self.best[1]).clamp(1.0, SECOND as f64);
            let pause = best * (1.0 / window - 1.0);
            return self.pending() == 0 && now - self.answer_at >= pause as Nanos;
        }
        (self.pending() as f64) < window.floor()
    }

    /// Attempts out that may still be answered. Nodes serve in turn: one sent before another that was
    /// answered is lost and frees its place.
    fn pending(&self) -> usize {
        self.out.values().filter(|s| s.at >= self.answered_of).count()
    }

    fn suspect(&mut self, now: Nanos) {
        if self.health == Health::Good {
            self.health = Health::Suspect;
            self.trial_gap = TRIAL_FIRST;
            self.trial_at = now + self.trial_gap;
        }
    }

    /// Narrows the window, once a period, from what is in use: from a wide one a rare sender would narrow for
    /// long without effect.
    fn narrow(&mut self, by: f64) {
        if !self.narrowed {
            let used = self.out.len().max(1) as f64;
            self.window = (self.window.min(used) * by).max(WINDOW_LEAST.max(self.least));
            self.narrowed = true;
        }
    }

    /// Takes a latency, already scaled to the mean request, into the averages and the window.
    fn answer(&mut self, now: Nanos, latency: f64, aim: f64) {
        let since = now - self.learnt_at;
        self.learnt_at = now;
        let short = match self.short {
            None => {
                self.slow = latency;
                latency
            }
            Some(s) => s + aged(SHORT_ALPHA, since, SHORT_AGE) * (latency - s),
        };
        self.short = Some(short);
        self.slow += aged(SLOW_ALPHA, since, SLOW_AGE) * (latency - self.slow);
        if now - self.best_at > BEST_SPAN {
            self.best = [f64::INFINITY, self.best[0]];
            self.best_at = now;
        }
        self.best[0] = self.best[0].min(short);
        let best = self.best[0].min(self.best[1]);
        let far = (best * FAR_FROM_BEST).clamp(aim * FAR_AIM, aim * FAR_AIM_MOST);
        self.tightest = aim;
        self.near = (best * NEAR_BEST).clamp(aim * NEAR_AIM, aim * FAR_AIM_MOST);
        if short <= self.near {
            let in_use = (self.out.len() + 1) as f64 >= self.window.floor();
            if in_use {
                let step = if self.window < 1.0 { self.window * PACE_STEP } else { 1.0 / self.window };
                self.window = (self.window + step).min(WINDOW_CAP);
            }
        } else if short > far {
            self.narrow((far / short).max(NARROW));
        }
        self.flagged |= short > self.slow * FLAG_RATIO;
    }

    /// A period is one smoothed round trip. A flagged one halves the weight, once; a clean one gives back 1%.
    fn end_period(&mut self, now: Nanos) {
        let length = self.short.map_or(SECOND / 10, |s| s as Nanos).max(MS);
        if now - self.period_at < length {
            return;
        }
        self.period_at = now;
        self.weight = if self.flagged {
            (self.weight * HALVE).max(self.base * WEIGHT_FLOOR)
        } else {
            (self.weight + self.base * STEP).min(self.base)
        };
        self.flagged = false;
        self.narrowed = false;
    }
}

/// Ours, on the weight of the design, which one initiator of a hundred learns too late: quick nodes heard of
/// lately come first, where a connection is open. Each keeps to some of its own; together they use all.
fn pull(node: &Node, usual: f64, now: Nanos) -> f64 {
    let quick = usual.max(1.0) / node.short.unwrap_or(usual).max(1.0);
    let silent = if node.short.is_some() { (now - node.learnt_at) as f64 } else { f64::INFINITY };
    let fresh = (-silent / PULL_MEMORY).exp().max(PULL_STALE);
    fresh * quick.powi(PULL).clamp(1.0 / PULL_MOST, PULL_MOST)
}

/// The order in which the nodes of a cell are preferred.
fn rank(&(id, n): &(NodeId, &Node)) -> (bool, bool, Nanos, NodeId) {
    (n.health != Health::Good || n.standing.is_fully_ejected(), n.cold_since.is_some(), -n.came_up, id)
}
