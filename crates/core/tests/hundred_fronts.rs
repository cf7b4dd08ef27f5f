//! The load of a hundred fronts together on a server or on discovery, where each front alone would
//! do no harm. The tests run in virtual time with fixed seeds and a simple model of a server.

mod common;

use std::collections::{BTreeSet, VecDeque};

use common::fleet::{Fleet, FleetSend};
use common::*;
use tulipbridge_core::*;

const FRONTS: usize = 100;
const NODES: usize = 40;

fn fleet_settings() -> Settings {
    let mut settings = settings();
    settings.front_count = FRONTS as u32;
    settings
}

/// A fleet with the same load on each server, one of which is replaced.
struct ReplacedServer {
    fleet: Fleet,
    settings: Settings,
    random: fastrand::Rng,
    next_id: u64,
    /// Attempts in flight, each with the time of its answer.
    in_flight: VecDeque<(Nanos, FleetSend)>,
    /// When requests were sent to the replacement, within the overload span.
    recent_sends: VecDeque<Nanos>,
    /// Requests sent to the replacement.
    replacement_requests: u32,
}

impl ReplacedServer {
    const STARTED_AT: Nanos = 110 * S;
    const UNITS_PER_REQUEST: f64 = 2.0;
    /// Units per second that a warm server can serve.
    const CAPACITY: f64 = 80.0;
    /// Requests of all fronts in each step, which are 20 per second for each server.
    const REQUESTS_PER_STEP: usize = 8;
    const ANSWERED_AFTER: Nanos = 20 * MS;

    fn new() -> ReplacedServer {
        let mut settings = fleet_settings();
        settings.warmup_units = 6.0;
        settings.warmup_floor = 0.2;
        ReplacedServer {
            fleet: Fleet::new(&settings, NODES, 0..FRONTS as u64),
            settings,
            random: fastrand::Rng::with_seed(11),
            next_id: 0,
            in_flight: VecDeque::new(),
            recent_sends: VecDeque::new(),
            replacement_requests: 0,
        }
    }

    fn step(&mut self) {
        self.fleet.step();
        let mut sent = self.answer_due_attempts();
        for _ in 0..Self::REQUESTS_PER_STEP {
            let front = self.random.usize(0..FRONTS);
            let shard = self.random.usize(0..NODES) as u32;
            let request = request(self.next_id, 0, Some(shard));
            sent.extend(self.fleet.submit(front, request));
            self.next_id += 1;
        }
        let replacement = Self::replacement();
        let is_replaced_now = self.fleet.now == Self::STARTED_AT;
        sent.extend(self.fleet.tick(is_replaced_now.then_some(&replacement[..])));
        self.record_sends(sent);
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
        let mut sent = Vec::new();
        while let Some((answered_at, attempt)) = self.in_flight.front().copied() {
            if answered_at > self.fleet.now {
                break;
            }
            self.in_flight.pop_front();
            sent.extend(self.fleet.serve(attempt, Self::ANSWERED_AFTER));
        }
        sent
    }

    fn record_sends(&mut self, sent: Vec<FleetSend>) {
        let now = self.fleet.now;
        for attempt in sent {
            self.in_flight
                .push_back((now + Self::ANSWERED_AFTER, attempt));
            if attempt.node == NODES {
                self.replacement_requests += 1;
                self.recent_sends.push_back(now);
            }
        }
        let span = self.settings.overload_span;
        self.recent_sends.retain(|at| *at > now - span);
    }

    /// Checks rule 4: a starting server gets no more than it tolerates within any overload span.
    fn check_replacement_is_not_overloaded(&self) {
        let age = self.fleet.now - Self::STARTED_AT;
        if age < 0 {
            return;
        }
        let age = age as f64 / self.settings.warmup_duration as f64;
        let limit = self.settings.overload_factor * (0.2 + 0.8 * age) * Self::CAPACITY;
        let recent_units = self.recent_sends.len() as f64 * Self::UNITS_PER_REQUEST;
        assert!(
            recent_units <= limit,
            "rule 4: {recent_units} units, at most {limit} allowed"
        );
    }
}

/// One of forty servers is replaced. Each of a hundred fronts sent about two requests to the old
/// one in ten seconds, too few to learn its capacity. The new one must still get requests from the
/// start, and never more than it tolerates.
#[test]
fn a_hundred_fronts_that_rarely_used_a_server_use_its_starting_replacement() {
    let mut run = ReplacedServer::new();
    while run.fleet.now < ReplacedServer::STARTED_AT + 8 * S {
        run.step();
        run.check_replacement_is_not_overloaded();
    }
    // 320 units were requested, and it could serve 310 with the slowest warm-up.
    let units = f64::from(run.replacement_requests) * ReplacedServer::UNITS_PER_REQUEST;
    assert!(
        units > 100.0,
        "only {units} units to a server that could serve 310 while starting"
    );
}

/// A hundred fronts that start at once while every call to discovery fails after two seconds.
struct FailingDiscovery {
    fleet: Fleet,
    settings: Settings,
    calls: Vec<Nanos>,
    /// When the pending call of each front fails.
    fails_at: Vec<Option<Nanos>>,
    last_failure: Vec<Nanos>,
}

impl FailingDiscovery {
    const CALL_TIME: Nanos = 2 * S;
    const STARTED_AT: Nanos = 100 * S;

    fn new() -> FailingDiscovery {
        let settings = fleet_settings();
        let front = |seed| {
            let scheduler =
                Scheduler::new(settings.clone(), seed, Self::STARTED_AT).expect("valid settings");
            TestFront {
                scheduler,
                now: Self::STARTED_AT,
            }
        };
        let fleet = Fleet {
            fronts: (0..FRONTS as u64).map(front).collect(),
            now: Self::STARTED_AT,
        };
        let mut discovery = FailingDiscovery {
            fleet,
            settings,
            calls: Vec::new(),
            fails_at: vec![None; FRONTS],
            last_failure: vec![Self::STARTED_AT; FRONTS],
        };
        for front in 0..FRONTS {
            let nodes = (0..4).map(|id| node(id, EndpointState::Up, 0)).collect();
            discovery.event(
                front,
                Event::Endpoints {
                    scope: UpdateScope::Restored,
                    nodes,
                },
            );
        }
        discovery
    }

    /// Handles an event at a front and records the call to discovery, if the front makes one.
    fn event(&mut self, front: usize, event: Event) {
        if self.fleet.fronts[front]
            .event(event)
            .contains(&Action::Runtime(RuntimeCommand::Subscribe))
        {
            self.calls.push(self.fleet.now);
            self.fails_at[front] = Some(self.fleet.now + Self::CALL_TIME);
        }
    }

    fn tick(&mut self) {
        let now = self.fleet.now;
        for front in 0..FRONTS {
            if self.fails_at[front].is_some_and(|at| at <= now) {
                self.fails_at[front] = None;
                self.last_failure[front] = now;
                let nodes = Vec::new();
                let failure = Event::Endpoints {
                    scope: UpdateScope::Unavailable,
                    nodes,
                };
                self.fleet.fronts[front].event(failure);
            }
            self.event(front, Event::Timer(1));
            let since_failure = now - self.last_failure[front];
            assert!(
                since_failure < self.settings.poll_interval,
                "front {front} has not called for too long"
            );
        }
    }

    /// Returns the maximum number of calls within any span that begins at `from` or later.
    fn max_calls(&self, span: Nanos, from: Nanos) -> usize {
        let starts = self.calls.iter().filter(|at| **at >= from);
        let within = |start: Nanos| {
            self.calls
                .iter()
                .filter(|at| **at >= start && **at < start + span)
                .count()
        };
        starts.map(|start| within(*start)).max().unwrap_or(0)
    }
}

/// Discovery takes calls in order, so the number of simultaneous calls must be small and must fall
/// while all calls fail. Each front calls again within the poll interval after a failure.
#[test]
fn a_hundred_starts_and_failed_calls_are_spread_at_discovery() {
    let mut discovery = FailingDiscovery::new();
    for step in 0..3000 {
        if step > 0 {
            discovery.fleet.step();
        }
        discovery.tick();
    }
    let started_at = FailingDiscovery::STARTED_AT;
    let burst = discovery.max_calls(100 * MS, started_at);
    assert!(burst <= 12, "{burst} calls in 100 ms");
    let sustained = discovery.max_calls(S, started_at + 10 * S);
    assert!(sustained <= 30, "{sustained} calls in a second");
    assert!(discovery.calls.len() > 3 * FRONTS, "too few calls");
}

/// Returns a front whose attempts at servers 1 and 2 of five were rejected a moment ago.
fn overloaded_front() -> TestFront {
    let mut settings = settings();
    settings
        .classes
        .iter_mut()
        .for_each(|class| class.late_value = 0.1);
    let mut front = TestFront::new(settings, 5);
    front.warm(0, 8, 0, 20 * MS);
    for (id, shard) in [(100, 1), (101, 2), (102, 1)] {
        if !sends(&front.submit(request(id, 0, Some(shard)))).is_empty() {
            front.end_attempt(id, 0, shard as usize, Outcome::Rejected, MS);
        }
    }
    // Server 1 gets far more requests than the front may send to it.
    let answers: Vec<Vec<Action>> = (110..150)
        .map(|id| front.submit(request(id, 0, Some(1))))
        .collect();
    let rejections = (110..150)
        .zip(&answers)
        .filter(|(id, actions)| rejected(actions, *id))
        .count();
    assert!(rejections >= 10, "too few rejections: {rejections}");
    front
}

fn attempt_timeout(actions: &[Action]) -> Option<Nanos> {
    actions.iter().find_map(|action| match action {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    })
}

/// While many attempts fail, a read ends when it is late, because other work is worth more. A write
/// does not, because its outcome would be unknown. Without overload no attempt ends early.
#[test]
fn in_an_overload_reads_end_at_their_objective_and_writes_do_not() {
    let mut front = overloaded_front();
    let mut idle_front = TestFront::new(settings(), 3);
    assert_eq!(
        attempt_timeout(&idle_front.submit(request(1, 0, Some(0)))),
        Some(0),
        "without overload"
    );
    let read = front.submit(request(300, 0, Some(0)));
    assert_eq!(
        attempt_timeout(&read),
        Some(200 * MS),
        "the objective of a read"
    );
    front.now += 200 * MS;
    let actions = front.event(ended(300, 0, 0, Outcome::TimedOut, 200 * MS, false));
    assert!(
        rejected(&actions, 300) && sends(&actions).is_empty(),
        "it is answered at once: {actions:?}"
    );
    let write = front.submit(request(301, 2, Some(0)));
    assert!(
        attempt_timeout(&write).is_none_or(|timeout| timeout == 0),
        "a write waits: {write:?}"
    );
}

/// A new object whose connection was refused was not written and goes to another server, even in an
/// overload. Otherwise listed servers that no longer run would cause avoidable failures of writes.
#[test]
fn a_new_object_whose_connection_was_refused_goes_to_another_server() {
    let mut front = overloaded_front();
    let first = sends(&front.submit(request(500, 2, None)));
    let (id, refused_by) = first[0];
    let mut actions = front.end_attempt(id, 0, refused_by, Outcome::NotExecuted, MS);
    actions.extend(front.advance(100 * MS));
    let retries = sends(&actions);
    assert!(!rejected(&actions, id), "it was rejected: {actions:?}");
    let moved = retries
        .iter()
        .any(|(request, node)| *request == id && *node != refused_by);
    assert!(moved, "it must go to another server: {retries:?}");
}

struct InFlight {
    answered_at: Nanos,
    sent_at: Nanos,
    attempt: FleetSend,
}

/// New objects may be sent to any server. Each of a hundred fronts that send a few per second
/// prefers servers that answered it recently, so connections are reused and slow servers are
/// detected. Together the fronts use all servers and avoid the slow one.
#[test]
fn new_objects_keep_to_servers_with_recent_answers_and_avoid_a_slow_one() {
    let mut random = fastrand::Rng::with_seed(3);
    let mut fleet = Fleet::new(&fleet_settings(), NODES, 0..FRONTS as u64);
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut fronts_of_node = vec![BTreeSet::new(); NODES];
    let mut sends_in_last_half = vec![0; NODES];
    for step in 0..2000 {
        if step > 0 {
            fleet.step();
        }
        let now = fleet.now;
        let mut sent = Vec::new();
        let (due, pending): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|sent| sent.answered_at <= now);
        in_flight = pending;
        for served in due {
            sent.extend(fleet.serve(served.attempt, now - served.sent_at));
        }
        let first_id = 3 * step as u64;
        for id in first_id..first_id + 3 {
            let front = random.usize(0..FRONTS);
            sent.extend(fleet.submit(front, request(id, 2, None)));
        }
        for attempt in sent {
            // Server 0 is about ten times slower than the others.
            let latency = if attempt.node == 0 { 190 * MS } else { 20 * MS };
            in_flight.push(InFlight {
                answered_at: now + latency,
                sent_at: now,
                attempt,
            });
            fronts_of_node[attempt.node].insert(attempt.front);
            sends_in_last_half[attempt.node] += usize::from(step >= 1000);
        }
    }
    let pairs: usize = fronts_of_node.iter().map(BTreeSet::len).sum();
    assert!(
        pairs < 2200,
        "{pairs} pairs of a front and a server in use, each a connection"
    );
    assert!(
        fronts_of_node.iter().all(|fronts| fronts.len() >= 10),
        "every server is used by some fronts"
    );
    let mean = sends_in_last_half[1..].iter().sum::<usize>() / (NODES - 1);
    let slow = sends_in_last_half[0];
    assert!(
        slow * 4 < mean,
        "the slow server got {slow} in the last 10 s, the others {mean}"
    );
}
