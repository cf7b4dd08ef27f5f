//! Overload of a few servers with bounded queues, to which many fronts that exchange nothing send
//! requests. The servers also execute attempts that have timed out, and serve less the longer their
//! queues are. Rejected clients retry.

mod common;

use std::collections::VecDeque;

use common::*;
use tulipbridge_core::*;

/// The time between two steps of the simulation.
const STEP: Nanos = 10 * MS;
const FRONTS: usize = 60;
const NODES: usize = 6;
/// The maximum number of attempts in the queue of a server.
const QUEUE_MAX: usize = 100;
/// The work of a request; a server with a short queue does 20 in a step.
const WORK_PER_REQUEST: f64 = 40.0;
/// The maximum number of tries of a client, including the first one.
const TRIES_MAX: u32 = 8;
/// Requests per second that all servers together can serve.
const CAPACITY: f64 = 300.0;

/// An attempt in a server's queue.
struct Job {
    front: usize,
    id: u64,
    attempt: u32,
    sent_at: Nanos,
    remaining_work: f64,
    abandoned: bool,
}

/// A try of a client, which submits one request to a front.
#[derive(Clone, Copy)]
struct ClientTry {
    /// When the try is due or was made.
    at: Nanos,
    front: usize,
    shard: u32,
    /// The first try of a client has number 1.
    number: u32,
}

/// The clients' first tries and the timely answers within one second.
#[derive(Clone, Copy, Default)]
struct SecondCounts {
    first_tries: u32,
    timely_answers: u32,
}

struct Simulation {
    fronts: Vec<TestFront>,
    queues: Vec<VecDeque<Job>>,
    /// The tries that are not made yet.
    tries: Vec<ClientTry>,
    /// The try that submitted each request, by request id.
    requests: Vec<ClientTry>,
    /// The number of attempts sent for each request, by request id.
    attempts: Vec<u32>,
    random: fastrand::Rng,
    now: Nanos,
    seconds: Vec<SecondCounts>,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut settings = settings();
        settings.front_count = FRONTS as u32;
        settings.plans[0].nominal_rate = 100.0;
        let fronts: Vec<TestFront> = (0..FRONTS)
            .map(|i| TestFront::seeded(settings.clone(), NODES, seed * 1000 + i as u64))
            .collect();
        let now = fronts[0].now;
        Simulation {
            fronts,
            queues: (0..NODES).map(|_| VecDeque::new()).collect(),
            tries: Vec::new(),
            requests: Vec::new(),
            attempts: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            now,
            seconds: Vec::new(),
        }
    }

    fn current_second(&mut self) -> &mut SecondCounts {
        let second = ((self.now - 100 * S) / S) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        &mut self.seconds[second]
    }

    /// Advances by a step, in which clients make `first_tries` first tries on average.
    fn step(&mut self, first_tries: f64) {
        self.now += STEP;
        let count = first_tries as u32 + u32::from(self.random.f64() < first_tries.fract());
        self.current_second().first_tries += count;
        for _ in 0..count {
            let front = self.random.usize(0..FRONTS);
            // The first server gets twice as many requests as each of the others.
            let shard = self.random.usize(0..=NODES) % NODES;
            self.tries.push(ClientTry {
                at: self.now,
                front,
                shard: shard as u32,
                number: 1,
            });
        }
        let now = self.now;
        let tries = std::mem::take(&mut self.tries);
        let (due, later): (Vec<_>, Vec<_>) = tries
            .into_iter()
            .partition(|client_try| client_try.at <= now);
        self.tries = later;
        for client_try in due {
            let id = self.requests.len() as u64;
            self.requests.push(ClientTry {
                at: now,
                ..client_try
            });
            self.attempts.push(0);
            let event = Event::Request(Request {
                volume: VolumeId(id % 20),
                ..request(id, 0, Some(client_try.shard))
            });
            self.handle(client_try.front, event);
        }
        for front in 0..FRONTS {
            self.handle(front, Event::Timer(1));
        }
        (0..NODES).for_each(|node| self.serve(node));
    }

    fn handle(&mut self, front: usize, event: Event) {
        self.fronts[front].now = self.now;
        let mut actions = self.fronts[front].event(event);
        while !actions.is_empty() {
            let mut overflow = Vec::new();
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Send { id, node, .. } => {
                        let (id, node) = (id.0, node.0);
                        let attempt = self.attempts[id as usize];
                        self.attempts[id as usize] += 1;
                        if self.queues[node].len() >= QUEUE_MAX {
                            overflow.push((id, attempt, node));
                        } else {
                            let job = Job {
                                front,
                                id,
                                attempt,
                                sent_at: self.now,
                                remaining_work: WORK_PER_REQUEST,
                                abandoned: false,
                            };
                            self.queues[node].push_back(job);
                        }
                    }
                    Action::Reject { id, retry_after } => self.retry_client(id.0, retry_after),
                    _ => {}
                }
            }
            for (id, attempt, node) in overflow {
                let event = ended(id, attempt, node, Outcome::Rejected, MS, false);
                actions.extend(self.fronts[front].event(event));
            }
        }
    }

    /// Schedules the next try of a rejected client, if it has one left, after the retry-after or
    /// after the client's own wait, whichever is longer.
    fn retry_client(&mut self, id: u64, retry_after: Nanos) {
        let last = self.requests[id as usize];
        if last.number < TRIES_MAX {
            let at = self.now + retry_after.max(50 * MS);
            self.tries.push(ClientTry {
                at,
                number: last.number + 1,
                ..last
            });
        }
    }

    fn serve(&mut self, node: usize) {
        let queued = self.queues[node].len() as f64;
        let mut capacity = 20.0 / (1.0 + 0.1 * (queued / 2.0 - 5.0).max(0.0));
        while let Some(mut job) = self.queues[node].pop_front() {
            let served_work = capacity.min(job.remaining_work);
            job.remaining_work -= served_work;
            capacity -= served_work;
            if job.remaining_work > 0.0 {
                self.queues[node].push_front(job);
                break;
            }
            if !job.abandoned {
                let took = self.now - job.sent_at;
                if self.now - self.requests[job.id as usize].at <= 200 * MS {
                    self.current_second().timely_answers += 1;
                }
                self.handle(
                    job.front,
                    ended(job.id, job.attempt, node, Outcome::Served, took, true),
                );
            }
        }
        let late = |j: &Job| !j.abandoned && self.now - j.sent_at >= S;
        let overdue: Vec<usize> = (0..self.queues[node].len())
            .filter(|i| late(&self.queues[node][*i]))
            .collect();
        for i in overdue {
            let job = &mut self.queues[node][i];
            job.abandoned = true;
            let (front, event) = (
                job.front,
                ended(job.id, job.attempt, node, Outcome::TimedOut, S, true),
            );
            self.handle(front, event);
        }
    }

    fn run(&mut self, seconds: u32, per_second: f64) {
        for _ in 0..seconds * 100 {
            self.step(per_second / 100.0);
        }
    }

    fn queued(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Returns the timely answers per first try in the last `seconds`.
    fn goodput_ratio(&self, seconds: usize) -> f64 {
        let recent = &self.seconds[self.seconds.len() - seconds..];
        let first_tries: u32 = recent.iter().map(|second| second.first_tries).sum();
        let timely_answers: u32 = recent.iter().map(|second| second.timely_answers).sum();
        f64::from(timely_answers) / f64::from(first_tries)
    }
}

/// The means of the results of a scenario over several seeds.
struct Means {
    goodput: f64,
    /// The number of attempts in the servers' queues at the end.
    queued: usize,
}

/// Runs a scenario, which returns its goodput, with several seeds. Returns the means.
fn mean_over_seeds(scenario: fn(&mut Simulation) -> f64) -> Means {
    const SEEDS: u64 = 3;
    let (mut goodput, mut queued) = (0.0, 0);
    for seed in 1..=SEEDS {
        let mut simulation = Simulation::new(seed);
        goodput += scenario(&mut simulation);
        queued += simulation.queued();
    }
    Means {
        goodput: goodput / SEEDS as f64,
        queued: queued / SEEDS as usize,
    }
}

#[test]
fn an_overload_does_not_fill_the_queues_of_the_servers() {
    let means = mean_over_seeds(|simulation| {
        simulation.run(15, 500.0);
        simulation.goodput_ratio(8) * 500.0 / CAPACITY
    });
    assert!(
        means.queued < NODES * QUEUE_MAX / 2,
        "{} queued at the servers",
        means.queued
    );
    assert!(
        means.goodput > 0.4,
        "{:.2} of the capacity is answered in time",
        means.goodput
    );
}

/// Clients request three times the capacity, then half of it. The first server, with twice as many
/// requests as each of the others, has a full queue for longest: the others can recover five
/// sevenths of the goodput.
#[test]
fn goodput_recovers_soon_after_an_overload() {
    let means = mean_over_seeds(|simulation| {
        simulation.run(3, 150.0);
        let before = simulation.goodput_ratio(2);
        assert!(before > 0.8, "{before:.2} before");
        simulation.run(6, 900.0);
        simulation.run(6, 150.0);
        simulation.goodput_ratio(3)
    });
    assert!(
        means.goodput > 0.5,
        "{:.2} after, {} queued",
        means.goodput,
        means.queued
    );
}
