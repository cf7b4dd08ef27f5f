//! A seeded property test: random requests, outcomes, endpoint lists and restarts, checked by an
//! oracle for each of the seven rules that is independent of the decision module's logic.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use tulipbridge_core::*;

/// The time by which an answer may exceed the client timeout of its request.
const ANSWER_SLACK: Nanos = 8 * MS;

/// An attempt, with the outcome and the end that were drawn for it when it was sent.
struct Attempt {
    node: usize,
    sent_at: Nanos,
    ends_at: Nanos,
    outcome: Outcome,
    ended: bool,
}

/// A request, its attempts and its answers.
struct TrackedRequest {
    request: Request,
    at: Nanos,
    number: usize,
    attempts: Vec<Attempt>,
    answered: bool,
    answers: u32,
}

impl TrackedRequest {
    /// Returns the attempts that may have been executed, including those in flight.
    fn possibly_executed(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| {
            !attempt.ended
                || !matches!(
                    attempt.outcome,
                    Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent
                )
        })
    }
}

/// Units of work that were sent or served at a time.
#[derive(Clone, Copy)]
struct TimedUnits {
    at: Nanos,
    units: f64,
}

/// A server's entry in the endpoint list.
#[derive(Clone, Copy)]
struct ListEntry {
    state: EndpointState,
    started_at: Nanos,
}

/// The units that a server has served recently, and their peak.
#[derive(Clone, Default)]
struct ServedUnits {
    last_second: VecDeque<TimedUnits>,
    /// The maximum number of units within a second so far.
    peak: f64,
}

/// The oracle's token bucket of a volume's limit.
struct Bucket {
    level: f64,
    updated_at: Nanos,
}

/// A front with random events, and the state of the oracles.
struct Simulation {
    front: TestFront,
    settings: Settings,
    random: fastrand::Rng,
    requests: BTreeMap<u64, TrackedRequest>,
    listed: Vec<ListEntry>,
    listed_at: Vec<Nanos>,
    sent: Vec<VecDeque<TimedUnits>>,
    served: Vec<ServedUnits>,
    limit_buckets: BTreeMap<u64, Bucket>,
    settles_at: BTreeMap<KeyId, Nanos>,
    retries_sent: Vec<Nanos>,
    requests_received: Vec<Nanos>,
    next_id: u64,
    silent: Vec<bool>,
}

const NODES: usize = 4;
/// The index of the class that keeps the order of a key.
const ORDERED_CLASS: usize = 3;

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut settings = settings();
        let mut random = fastrand::Rng::with_seed(seed);
        settings.hedging = random.bool();
        if let Some(budget) = &mut settings.retry_budget {
            budget.ratio = 0.02;
        }
        if random.bool() {
            settings.retry_budget = None;
        }
        let front = TestFront::new(settings.clone(), NODES);
        Simulation {
            front,
            settings,
            random,
            requests: BTreeMap::new(),
            listed: vec![
                ListEntry {
                    state: EndpointState::Up,
                    started_at: 0
                };
                NODES
            ],
            listed_at: vec![0; NODES],
            sent: vec![VecDeque::new(); NODES],
            served: vec![ServedUnits::default(); NODES],
            limit_buckets: BTreeMap::new(),
            settles_at: BTreeMap::new(),
            retries_sent: Vec::new(),
            requests_received: Vec::new(),
            next_id: 0,
            silent: vec![false; NODES],
        }
    }

    fn step(&mut self) {
        self.front.now += 2 * MS;
        let now = self.front.now;
        if now % (10 * MS) == 0 {
            let actions = self.front.event(Event::Timer(1));
            self.apply(actions);
        }
        let due: Vec<(u64, usize)> = self
            .requests
            .iter()
            .flat_map(|(id, tracked)| {
                let is_due = |attempt: &Attempt| !attempt.ended && attempt.ends_at <= now;
                tracked
                    .attempts
                    .iter()
                    .enumerate()
                    .filter(move |(_, attempt)| is_due(attempt))
                    .map(|(index, _)| (*id, index))
            })
            .collect();
        for (id, index) in due {
            self.finish_attempt(id, index);
        }
        match self.random.u32(0..100) {
            0..=29 => self.random_request(),
            30 => self.random_endpoint_event(),
            31 => {
                let n = self.random.usize(0..NODES);
                self.silent[n] = !self.silent[n];
            }
            32 => self.disconnect_random_client(),
            33 if self.random.u32(0..20) == 0 => self.restart(),
            _ => {}
        }
        self.check_answers();
    }

    fn random_request(&mut self) {
        let random = &mut self.random;
        let mut request = request(
            self.next_id,
            random.usize(0..5),
            Some(random.u32(0..NODES as u32 + 1)),
        );
        if random.u32(0..4) == 0 {
            request.shard = None;
        }
        request.plan = random.usize(0..2);
        request.volume = VolumeId(request.plan as u64 * 10 + random.u64(0..2));
        request.front_count = 1;
        request.key = if random.u32(0..8) == 0 {
            None
        } else {
            Some(KeyId(random.u64(0..12)))
        };
        request.units = f64::from(random.u32(1..8));
        request.client_timeout = if random.u32(0..5) == 0 {
            random.i64(0..40) * MS
        } else {
            S
        };
        let (id, at) = (self.next_id, self.front.now);
        self.next_id += 1;
        self.requests_received.push(at);
        let tracked = TrackedRequest {
            request: request.clone(),
            at,
            number: id as usize,
            attempts: vec![],
            answered: false,
            answers: 0,
        };
        self.requests.insert(id, tracked);
        let actions = self.front.submit(request);
        self.apply(actions);
    }

    fn random_endpoint_event(&mut self) {
        let n = self.random.usize(0..NODES);
        let now = self.front.now;
        let listed = [
            EndpointState::Up,
            EndpointState::Up,
            EndpointState::Draining,
            EndpointState::Removed,
        ][self.random.usize(0..4)];
        let started_at = match listed {
            EndpointState::Up if self.random.bool() => now - self.random.i64(0..3000) * MS,
            _ => self.listed[n].started_at,
        };
        self.listed[n] = ListEntry {
            state: listed,
            started_at: started_at.max(self.listed[n].started_at),
        };
        self.listed_at[n] = now;
        let scope = [
            UpdateScope::Update,
            UpdateScope::Replace,
            UpdateScope::Unavailable,
        ][self.random.usize(0..3)];
        let remaining =
            (0..NODES).filter(|index| self.listed[*index].state != EndpointState::Removed);
        let nodes = match scope {
            UpdateScope::Replace => remaining.map(|index| self.node_info(index)).collect(),
            _ => vec![self.node_info(n)],
        };
        let nodes = if scope == UpdateScope::Unavailable {
            let actions = self.front.event(Event::Endpoints {
                scope,
                nodes: vec![],
            });
            self.apply(actions);
            vec![self.node_info(n)]
        } else {
            nodes
        };
        let scope = if scope == UpdateScope::Unavailable {
            UpdateScope::Update
        } else {
            scope
        };
        let actions = self.front.event(Event::Endpoints { scope, nodes });
        self.apply(actions);
    }

    fn node_info(&self, id: usize) -> NodeInfo {
        node(id, self.listed[id].state, self.listed[id].started_at)
    }

    fn disconnect_random_client(&mut self) {
        let open: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, tracked)| !tracked.answered)
            .map(|(id, _)| *id)
            .collect();
        if open.is_empty() {
            return;
        }
        let id = open[self.random.usize(0..open.len())];
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.answered = true;
            tracked.answers = 1;
        }
        let actions = self.front.event(Event::ClientDisconnected(RequestId(id)));
        self.apply(actions);
    }

    fn restart(&mut self) {
        let seed = self.random.u64(..);
        let now = self.front.now;
        self.front.scheduler =
            Scheduler::new(self.settings.clone(), seed, now).expect("valid settings");
        self.requests.clear();
        self.settles_at.clear();
        self.retries_sent.clear();
        self.requests_received.clear();
        let nodes = (0..NODES).map(|index| self.node_info(index)).collect();
        let actions = self.front.event(Event::Endpoints {
            scope: UpdateScope::Restored,
            nodes,
        });
        self.apply(actions);
    }

    fn finish_attempt(&mut self, id: u64, index: usize) {
        let now = self.front.now;
        let Some(tracked) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = &mut tracked.attempts[index];
        attempt.ended = true;
        let (at, outcome, took) = (attempt.node, attempt.outcome, now - attempt.sent_at);
        if outcome == Outcome::Served && !tracked.answered {
            tracked.answered = true;
            tracked.answers += 1;
        }
        let last = tracked.answered;
        if outcome == Outcome::Served {
            let served = &mut self.served[at];
            served.last_second.push_back(TimedUnits {
                at: now,
                units: tracked.request.units,
            });
            served.last_second.retain(|earlier| earlier.at > now - S);
            served.peak = served
                .peak
                .max(served.last_second.iter().map(|earlier| earlier.units).sum());
        }
        let settles = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let (true, ORDERED_CLASS, Some(key)) =
            (settles, tracked.request.class, tracked.request.key)
        {
            self.settles_at
                .insert(key, now + self.settings.order_settle_time);
        }
        let actions = self
            .front
            .event(ended(id, index as u32, at, outcome, took, last));
        self.apply(actions);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, node, .. } => self.record_send(id.0, node.0),
                Action::Reject { id, .. } => self.record_answer(id.0, true),
                Action::Fail(id) => self.record_answer(id.0, false),
                _ => {}
            }
        }
    }

    fn record_answer(&mut self, id: u64, rejected: bool) {
        let class = &self.settings.classes;
        let Some(tracked) = self.requests.get_mut(&id) else {
            panic!("rule 1: answer to an unknown request")
        };
        assert!(!tracked.answered, "rule 1: request {id} answered twice");
        tracked.answered = true;
        tracked.answers += 1;
        let class = &class[tracked.request.class];
        let may_have_executed = tracked.possibly_executed().count() > 0;
        if rejected && may_have_executed {
            let is_repeatable = match class.semantics {
                Semantics::Idempotent => true,
                Semantics::Deduplicated => class.group == DeduplicationGroup::All,
                Semantics::AtMostOnce => false,
            };
            assert!(
                is_repeatable,
                "rule 2: request {id} rejected though it may have been executed"
            );
        }
    }

    fn check_answers(&mut self) {
        let now = self.front.now;
        for (id, tracked) in &self.requests {
            assert!(
                tracked.answered
                    || now <= tracked.at + tracked.request.client_timeout + ANSWER_SLACK,
                "rule 1: request {id} got no answer"
            );
            assert!(
                tracked.answers <= 1,
                "rule 1: request {id} got {} answers",
                tracked.answers
            );
        }
        self.requests.retain(|_, tracked| {
            !tracked.answered || tracked.attempts.iter().any(|attempt| !attempt.ended)
        });
    }

    fn record_send(&mut self, id: u64, at: usize) {
        let now = self.front.now;
        let Some(tracked) = self.requests.get(&id) else {
            panic!("rule 1: attempt sent for an unknown request")
        };
        assert!(
            !tracked.answered,
            "rule 1: request {id} sent after its answer"
        );
        self.check_semantics(id, at);
        assert!(
            self.listed[at].state == EndpointState::Up,
            "rule 3: sent to a server that is not up"
        );
        self.check_slow_start(at, self.requests[&id].request.units);
        self.check_limit(id);
        self.check_order(id);
        self.check_retry_budget(id);
        let silent = self.silent[at];
        let (outcome, took) = self.random_outcome(id, silent);
        if let Some(tracked) = self.requests.get_mut(&id) {
            tracked.attempts.push(Attempt {
                node: at,
                sent_at: now,
                ends_at: now + took,
                outcome,
                ended: false,
            });
        }
    }

    fn random_outcome(&mut self, id: u64, silent: bool) -> (Outcome, Nanos) {
        let tracked = &self.requests[&id];
        let time_left = (tracked.at + tracked.request.client_timeout - self.front.now).max(0);
        let latency = self.random.i64(1..60) * MS;
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
        let late = latency >= time_left || outcome == Outcome::TimedOut;
        if late {
            (Outcome::TimedOut, time_left)
        } else {
            (outcome, latency)
        }
    }

    fn check_semantics(&self, id: u64, at: usize) {
        let tracked = &self.requests[&id];
        let class = &self.settings.classes[tracked.request.class];
        if !self.settings.hedging {
            assert!(
                tracked.attempts.iter().all(|attempt| attempt.ended),
                "rule 2: request {id} has two attempts in flight"
            );
        }
        if class.semantics == Semantics::AtMostOnce {
            assert!(
                tracked.possibly_executed().count() == 0,
                "rule 2: request {id} may have been executed"
            );
        }
        if class.semantics == Semantics::Deduplicated {
            for attempt in tracked.possibly_executed() {
                let is_in_group = match class.group {
                    DeduplicationGroup::All => true,
                    DeduplicationGroup::Zone => attempt.node % 2 == at % 2,
                    DeduplicationGroup::Shard => attempt.node == at,
                };
                assert!(
                    is_in_group && self.front.now <= attempt.sent_at + class.window,
                    "rule 2: request {id} sent outside its deduplication group or window"
                );
            }
        }
        if let Some(shard) = tracked.request.shard {
            assert_eq!(
                shard.0 as usize, at,
                "sent to a server that does not hold its data"
            );
        }
        assert!(
            tracked.attempts.len() < self.settings.max_attempts as usize,
            "request {id} has more attempts than allowed"
        );
    }

    fn check_slow_start(&mut self, at: usize, units: f64) {
        let (now, up) = (self.front.now, self.listed[at].started_at);
        let sent = &mut self.sent[at];
        sent.push_back(TimedUnits { at: now, units });
        sent.retain(|earlier| earlier.at > now - self.settings.overload_span);
        let age = (now - up) as f64 / self.settings.warmup_duration as f64;
        if up == 0 || age >= 1.0 || self.listed_at[at] == 0 {
            return;
        }
        let since = self.listed_at[at].max(up);
        let total: f64 = sent
            .iter()
            .filter(|send| send.at >= since)
            .map(|send| send.units)
            .sum();
        // This front's equal share of the units that any starting server tolerates, and the units
        // that the rule allows for the capacity that the server has shown.
        let equal_share =
            self.settings.warmup_units * (1.0 + 3.0 * age) / f64::from(self.settings.front_count);
        let from_observed_capacity =
            self.settings.overload_factor * (0.25 + 0.75 * age) * self.served[at].peak;
        // One request of the maximum size is allowed as random variation.
        let limit = equal_share + from_observed_capacity + self.settings.max_units;
        assert!(
            total <= limit + 1e-9,
            "rule 4: {total} units sent to a starting server, at most {limit} allowed"
        );
    }

    fn check_limit(&mut self, id: u64) {
        let tracked = &self.requests[&id];
        let plan = &self.settings.plans[tracked.request.plan];
        if plan.limit_rate <= 0.0 || !tracked.attempts.is_empty() {
            return;
        }
        let now = self.front.now;
        let full_bucket = Bucket {
            level: plan.limit_burst,
            updated_at: 100 * S,
        };
        let bucket = self
            .limit_buckets
            .entry(tracked.request.volume.0)
            .or_insert(full_bucket);
        let accrued = (now - bucket.updated_at) as f64 / 1e9 * plan.limit_rate;
        bucket.level = (bucket.level + accrued).min(plan.limit_burst) - tracked.request.units;
        bucket.updated_at = now;
        let (volume, level) = (tracked.request.volume, bucket.level);
        assert!(
            level >= -1e-6,
            "rule 5: the bucket of volume {volume} is at {level}"
        );
    }

    fn check_order(&self, id: u64) {
        let tracked = &self.requests[&id];
        let (ORDERED_CLASS, Some(key)) = (tracked.request.class, tracked.request.key) else {
            return;
        };
        for (other, earlier) in &self.requests {
            let before = earlier.number < tracked.number
                && earlier.request.class == ORDERED_CLASS
                && earlier.request.key == Some(key);
            let open = !earlier.answered || earlier.attempts.iter().any(|attempt| !attempt.ended);
            assert!(
                !(before && open),
                "rule 6: request {id} sent before request {other} has ended"
            );
        }
        let settled_at = self.settles_at.get(&key).copied().unwrap_or(0);
        assert!(
            self.front.now >= settled_at || !tracked.attempts.is_empty(),
            "rule 6: request {id} sent before key {key} has settled"
        );
    }

    fn check_retry_budget(&mut self, id: u64) {
        let Some(budget) = &self.settings.retry_budget else {
            return;
        };
        if self.requests[&id].attempts.is_empty() {
            return;
        }
        let now = self.front.now;
        self.retries_sent.push(now);
        let since = now - budget.window;
        let retries_sent = self.retries_sent.iter().filter(|at| **at >= since).count() as f64;
        let requests_received = self
            .requests_received
            .iter()
            .filter(|at| **at > since)
            .count() as f64;
        assert!(
            retries_sent <= budget.base_allowance + budget.ratio * requests_received,
            "rule 7: {retries_sent} retries for {requests_received} requests"
        );
    }
}

#[test]
fn all_seven_rules_hold_in_random_simulations() {
    let mut submitted = 0usize;
    for seed in 0..24 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..6000 {
            simulation.step();
        }
        submitted += simulation.next_id as usize;
    }
    assert!(
        submitted > 10_000,
        "the simulations must submit enough requests"
    );
}
