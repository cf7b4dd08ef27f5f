//! Slow start with many fronts. Together they must not overload a starting server, even if a
//! burst arrives after they have accumulated budgets, but must still use its capacity. The
//! simulations run in virtual time with fixed seeds and a simple model of a server.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::fleet::{Fleet, FleetSend};
use common::*;
use tulipbridge_core::*;

/// Units per second that a warm server serves.
const FULL_CAPACITY: f64 = 80.0;
const NODES: usize = 12;

fn site_settings(front_count: usize) -> Settings {
    let mut settings = settings();
    settings.front_count = front_count as u32;
    settings.warmup_floor = 0.18;
    settings.warmup_duration = 17 * S;
    settings.overload_span = 2 * S;
    settings.overload_factor = 2.0;
    settings.mean_units = 2.0;
    // What a starting server on the slowest machines of the site tolerates.
    settings.warmup_units = 11.0;
    settings
}

/// Returns the number of requests of mean size that a server of this age tolerates within the
/// overload span.
fn tolerated_requests(settings: &Settings, age: Nanos) -> f64 {
    let progress = (age as f64 / settings.warmup_duration as f64).min(1.0);
    let warm_fraction = settings.warmup_floor + (1.0 - settings.warmup_floor) * progress;
    settings.overload_factor * warm_fraction * FULL_CAPACITY * settings.overload_span as f64
        / 1e9
        / settings.mean_units
}

struct InFlight {
    answered_at: Nanos,
    sent_at: Nanos,
    attempt: FleetSend,
}

/// The load on a starting server in its first ten seconds.
struct StartLoad {
    /// The maximum ratio of the requests in an overload span to those tolerated, which include an
    /// allowance for chance.
    peak: f64,
    requests: usize,
}

/// A fleet in which one server is replaced by one that has just started.
struct ServerReplacement {
    front_count: usize,
    settings: Settings,
    random: fastrand::Rng,
    fleet: Fleet,
    /// The attempts in flight, in the order of their answers.
    in_flight: VecDeque<InFlight>,
    /// When requests were sent to the starting server within the last overload span.
    recent_sends: VecDeque<Nanos>,
    load: StartLoad,
    next_id: u64,
    /// Requests that have arrived but are not submitted yet.
    due_requests: f64,
    /// When the starting server, which answers in order, will have served all its requests.
    idle_at: Nanos,
}

impl ServerReplacement {
    const STARTED_AT: Nanos = 110 * S;

    fn new(front_count: usize, seed: u64) -> ServerReplacement {
        let settings = site_settings(front_count);
        let seeds = (0..front_count as u64).map(|i| seed * 1000 + i);
        ServerReplacement {
            front_count,
            random: fastrand::Rng::with_seed(seed),
            fleet: Fleet::new(&settings, NODES, seeds),
            settings,
            in_flight: VecDeque::new(),
            recent_sends: VecDeque::new(),
            load: StartLoad {
                peak: 0.0,
                requests: 0,
            },
            next_id: 0,
            due_requests: 0.0,
            idle_at: 0,
        }
    }

    fn step(&mut self) {
        self.fleet.step();
        let mut sent = self.answer_due_attempts();
        sent.extend(self.submit_due_requests());
        let replacement = Self::replacement();
        let is_replaced_now = self.fleet.now == Self::STARTED_AT;
        sent.extend(self.fleet.tick(is_replaced_now.then_some(&replacement[..])));
        for attempt in sent {
            self.record_send(attempt);
        }
        self.update_peak();
    }

    fn replacement() -> [NodeInfo; 2] {
        let started = NodeInfo {
            node: NodeId(NODES),
            zone: 0,
            shard: ShardId(0),
            state: EndpointState::Up,
            started_at: Self::STARTED_AT,
        };
        [node(0, EndpointState::Removed, 0), started]
    }

    fn answer_due_attempts(&mut self) -> Vec<FleetSend> {
        let now = self.fleet.now;
        let mut sent = Vec::new();
        while self
            .in_flight
            .front()
            .is_some_and(|oldest| oldest.answered_at <= now)
        {
            let Some(served) = self.in_flight.pop_front() else {
                break;
            };
            sent.extend(self.fleet.serve(served.attempt, now - served.sent_at));
        }
        sent
    }

    /// Submits the requests of a step, which use half of the warm capacity. In a burst, from four
    /// to six seconds after the start, there are five times as many.
    fn submit_due_requests(&mut self) -> Vec<FleetSend> {
        let burst = Self::STARTED_AT + 4 * S..Self::STARTED_AT + 6 * S;
        let is_burst = burst.contains(&self.fleet.now);
        let use_ratio = if is_burst { 2.5 } else { 0.5 };
        let mean_units = self.settings.mean_units;
        self.due_requests += 0.01 * NODES as f64 * FULL_CAPACITY / mean_units * use_ratio;
        let mut sent = Vec::new();
        while self.due_requests >= 1.0 {
            self.due_requests -= 1.0;
            let front = self.random.usize(0..self.front_count);
            let shard = self.random.usize(0..NODES) as u32;
            let request = request(self.next_id, 0, Some(shard));
            sent.extend(self.fleet.submit(front, request));
            self.next_id += 1;
        }
        sent
    }

    fn record_send(&mut self, attempt: FleetSend) {
        let now = self.fleet.now;
        let mut answered_at = now + 20 * MS;
        if attempt.node == NODES {
            self.load.requests += 1;
            self.recent_sends.push_back(now);
            let tolerated = tolerated_requests(&self.settings, now - Self::STARTED_AT);
            let span = self.settings.overload_span as f64;
            let rate = tolerated / self.settings.overload_factor / span;
            self.idle_at = self.idle_at.max(now) + (1.0 / rate) as Nanos;
            answered_at = answered_at.max(self.idle_at);
        }
        let in_flight = InFlight {
            answered_at,
            sent_at: now,
            attempt,
        };
        let position = self
            .in_flight
            .partition_point(|other| other.answered_at <= answered_at);
        self.in_flight.insert(position, in_flight);
    }

    fn update_peak(&mut self) {
        let now = self.fleet.now;
        let span = self.settings.overload_span;
        self.recent_sends.retain(|at| *at > now - span);
        if now > Self::STARTED_AT {
            let tolerated = tolerated_requests(&self.settings, now - Self::STARTED_AT);
            let allowed = tolerated + 2.0 * tolerated.sqrt() + 2.0;
            let ratio = self.recent_sends.len() as f64 / allowed;
            self.load.peak = self.load.peak.max(ratio);
        }
    }
}

fn simulate_start(front_count: usize, seed: u64) -> StartLoad {
    let mut run = ServerReplacement::new(front_count, seed);
    while run.fleet.now < ServerReplacement::STARTED_AT + 10 * S {
        run.step();
    }
    run.load
}

#[test]
fn a_burst_on_many_fronts_does_not_overload_a_starting_server() {
    for fronts in [3, 20, 30] {
        let mut loads: Vec<StartLoad> = (1..=10).map(|seed| simulate_start(fronts, seed)).collect();
        loads.sort_by(|a, b| a.peak.total_cmp(&b.peak));
        let (median, worst) = (loads[5].peak, loads[9].peak);
        let requests = loads.iter().map(|load| load.requests).min().unwrap_or(0);
        println!(
            "{fronts} fronts: median {median:.2}, worst {worst:.2} of the tolerated load; \
             {requests} requests"
        );
        assert!(
            worst <= 1.0,
            "{fronts} fronts: {worst:.2} of what a starting server tolerates"
        );
        assert!(
            requests > 100,
            "{fronts} fronts: only {requests} requests to a server that could serve 200"
        );
    }
}

/// Two hundred fronts and one server, which answers in order and restarts.
struct Restart {
    settings: Settings,
    fleet: Fleet,
    random: fastrand::Rng,
    next_id: u64,
    sent_at: BTreeMap<u64, Nanos>,
    in_flight: VecDeque<(Nanos, FleetSend)>,
    idle_at: Nanos,
    /// When requests were sent within the last overload span.
    recent: VecDeque<Nanos>,
    units_while_starting: f64,
}

impl Restart {
    const FRONTS: usize = 200;
    const STARTED_AT: Nanos = 140 * S;
    const UNITS_PER_REQUEST: f64 = 2.0;
    /// Units per second that the warm server serves.
    const CAPACITY: f64 = 100.0;

    fn new() -> Restart {
        let mut settings = settings();
        settings.front_count = Self::FRONTS as u32;
        settings.warmup_units = 24.0;
        settings.warmup_floor = 0.2;
        let fleet = Fleet::new(&settings, 1, 0..Self::FRONTS as u64);
        Restart {
            settings,
            fleet,
            random: fastrand::Rng::with_seed(5),
            next_id: 0,
            sent_at: BTreeMap::new(),
            in_flight: VecDeque::new(),
            idle_at: 0,
            recent: VecDeque::new(),
            units_while_starting: 0.0,
        }
    }

    fn warm_fraction(&self) -> f64 {
        if self.fleet.now < Self::STARTED_AT {
            return 1.0;
        }
        let age = (self.fleet.now - Self::STARTED_AT) as f64;
        0.2 + 0.8 * (age / self.settings.warmup_duration as f64).min(1.0)
    }

    /// Advances by a step with at most one new request and one answer.
    fn step(&mut self) {
        self.fleet.step();
        let now = self.fleet.now;
        let chosen = self.random.usize(0..Self::FRONTS);
        let is_answered = self
            .in_flight
            .front()
            .is_some_and(|(answered_at, _)| *answered_at <= now);
        let answered = if is_answered {
            self.in_flight.pop_front()
        } else {
            None
        };
        for front in 0..Self::FRONTS {
            let mut sent = Vec::new();
            if now == Self::STARTED_AT {
                let nodes = vec![node(0, EndpointState::Up, now)];
                sent.extend(self.fleet.event(
                    front,
                    Event::Endpoints {
                        scope: UpdateScope::Update,
                        nodes,
                    },
                ));
            }
            if front == chosen && self.random.bool() {
                sent.extend(self.fleet.submit(front, request(self.next_id, 0, Some(0))));
                self.next_id += 1;
            }
            if let Some((_, attempt)) = answered.filter(|(_, attempt)| attempt.front == front) {
                sent.extend(self.fleet.serve(attempt, now - self.sent_at[&attempt.id]));
            }
            sent.extend(self.fleet.event(front, Event::Timer(1)));
            for attempt in sent {
                self.record_send(attempt);
            }
        }
        let span = self.settings.overload_span;
        self.recent.retain(|at| *at > now - span);
    }

    fn record_send(&mut self, attempt: FleetSend) {
        let now = self.fleet.now;
        self.recent.push_back(now);
        self.idle_at = self.idle_at.max(now) + (20e6 / self.warm_fraction()) as Nanos;
        self.sent_at.insert(attempt.id, now);
        self.in_flight.push_back((self.idle_at, attempt));
        if now >= Self::STARTED_AT {
            self.units_while_starting += Self::UNITS_PER_REQUEST;
        }
    }

    fn check_overload(&self) {
        let age = (self.fleet.now - Self::STARTED_AT) as f64 / self.settings.warmup_duration as f64;
        let tolerated = self.settings.overload_factor * (0.2 + 0.8 * age) * Self::CAPACITY;
        let since_start = self
            .recent
            .iter()
            .filter(|at| **at >= Self::STARTED_AT)
            .count();
        let units = since_start as f64 * Self::UNITS_PER_REQUEST;
        assert!(
            units <= tolerated,
            "rule 4: {units} units in a span, {tolerated} are tolerated"
        );
    }
}

/// Hundreds of fronts that exchange nothing send requests to one server that restarts. Together
/// they must not exceed what it tolerates in any overload span, but it must get requests before it
/// is warm.
#[test]
fn hundreds_of_fronts_do_not_overload_a_restarted_server_and_still_use_it() {
    let mut restart = Restart::new();
    // The fronts get 50 requests of 2 units per second in all, the capacity of the warm server.
    while restart.fleet.now < 150 * S {
        restart.step();
        if restart.fleet.now >= Restart::STARTED_AT {
            restart.check_overload();
        }
    }
    let units = restart.units_while_starting;
    assert!(
        units > 200.0,
        "only {units} units to a server that could serve 600 while starting"
    );
}
