//! The settings of a small site and a front that is driven by scripted events. The figures are made
//! up. The builders take plain numbers for ids, so that a test reads without conversions.
#![allow(dead_code)]

pub mod fleet;

use tulipbridge_core::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1000 * MS;

pub fn class(semantics: Semantics, group: DeduplicationGroup) -> Class {
    Class {
        latency_objective: 200 * MS,
        objective_stretch: 0.0,
        deadline: 1000 * MS,
        semantics,
        group,
        window: 2 * S,
        keep_order: false,
        late_value: 0.2,
        priority_weight: 2.0,
        writes: false,
    }
}

pub fn plan(limit_rate: f64, reserve_rate: f64) -> Plan {
    Plan {
        limit_rate,
        limit_burst: limit_rate * 2.0,
        reserve_rate,
        nominal_rate: 10.0,
        weight: 1.0,
        value_factor: 1.0,
    }
}

pub fn settings() -> Settings {
    let mut ordered = class(Semantics::Idempotent, DeduplicationGroup::All);
    ordered.keep_order = true;
    Settings {
        front_count: 2,
        classes: vec![
            class(Semantics::Idempotent, DeduplicationGroup::All),
            class(Semantics::Deduplicated, DeduplicationGroup::Shard),
            class(Semantics::AtMostOnce, DeduplicationGroup::All),
            ordered,
            class(Semantics::Deduplicated, DeduplicationGroup::Zone),
        ],
        plans: vec![plan(0.0, 50.0), plan(20.0, 0.0)],
        quantum: 2 * MS,
        warmup_units: 16.0,
        mean_units: 2.0,
        max_units: 8.0,
        fair_share_value: 0.4,
        idle_value: 0.05,
        usage_report_interval: 0,
        max_attempts: 3,
        hedging: false,
        cancellation: true,
        max_retry_after: 500 * MS,
        polls_discovery: true,
        poll_interval: 10 * S,
        warmup_duration: 10 * S,
        warmup_floor: 0.25,
        overload_factor: 3.0,
        overload_span: S,
        order_settle_time: 50 * MS,
        retry_budget: Some(RetryBudget {
            base_allowance: 3.0,
            ratio: 0.15,
            window: 5 * S,
        }),
    }
}

pub fn node(node: usize, state: EndpointState, started_at: Nanos) -> NodeInfo {
    NodeInfo {
        node: NodeId(node),
        zone: (node % 2) as u32,
        shard: ShardId(node as u32),
        state,
        started_at,
    }
}

pub fn request(id: u64, class: usize, shard: Option<u32>) -> Request {
    Request {
        id: RequestId(id),
        class,
        plan: 0,
        volume: VolumeId(1),
        key: Some(KeyId(id)),
        client_timeout: S,
        units: 2.0,
        shard: shard.map(ShardId),
        front_count: 1,
    }
}

/// A scheduler and its clock.
pub struct TestFront {
    pub scheduler: Scheduler,
    pub now: Nanos,
}

impl TestFront {
    /// Starts at 100 s with the given number of warm servers.
    pub fn new(settings: Settings, nodes: usize) -> TestFront {
        TestFront::seeded(settings, nodes, 7)
    }

    /// The same with a given seed.
    pub fn seeded(settings: Settings, nodes: usize, seed: u64) -> TestFront {
        let scheduler = Scheduler::new(settings, seed, 100 * S).expect("settings hold");
        let mut front = TestFront {
            scheduler,
            now: 100 * S,
        };
        let list = (0..nodes).map(|n| node(n, EndpointState::Up, 0)).collect();
        front.event(Event::Endpoints {
            scope: UpdateScope::Restored,
            nodes: list,
        });
        front
    }

    /// Handles an event and returns the actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock in ticks and returns the actions meanwhile, except for timers.
    pub fn advance(&mut self, time: Nanos) -> Vec<Action> {
        let mut all = Vec::new();
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + 10 * MS).min(until);
            let some = self.event(Event::Timer(1));
            all.extend(
                some.into_iter()
                    .filter(|a| !matches!(a, Action::Runtime(RuntimeCommand::SetTimer { .. }))),
            );
        }
        all
    }

    /// Submits a request and returns the actions.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    /// Ends an attempt; the request is finished if it was served.
    pub fn end_attempt(
        &mut self,
        id: u64,
        attempt: u32,
        node: usize,
        outcome: Outcome,
        took: Nanos,
    ) -> Vec<Action> {
        let last = outcome == Outcome::Served;
        self.event(ended(id, attempt, node, outcome, took, last))
    }

    /// Runs `count` requests at a server one after another, each answered after `took`.
    pub fn warm(&mut self, first: u64, count: u64, shard: usize, took: Nanos) {
        for id in first..first + count {
            let sent = self.submit(request(id, 0, Some(shard as u32)));
            let sent = if sends(&sent).is_empty() {
                self.advance(500 * MS)
            } else {
                sent
            };
            assert_eq!(
                sends(&sent),
                vec![(id, shard)],
                "a healthy server takes request {id}"
            );
            self.now += took;
            self.end_attempt(id, 0, shard, Outcome::Served, took);
        }
    }
}

/// The end of an attempt, without figures on the use by other fronts.
pub fn ended(
    id: u64,
    attempt: u32,
    node: usize,
    outcome: Outcome,
    took: Nanos,
    is_answered: bool,
) -> Event {
    Event::AttemptEnded {
        id: RequestId(id),
        attempt,
        node: NodeId(node),
        outcome,
        took,
        is_answered,
        observed_use: 0.0,
        foreign_units: 0.0,
    }
}

/// The attempts sent, as request and server.
pub fn sends(actions: &[Action]) -> Vec<(u64, usize)> {
    let place = |a: &Action| match a {
        Action::Send { id, node, .. } => Some((id.0, node.0)),
        _ => None,
    };
    actions.iter().filter_map(place).collect()
}

/// Whether a request was rejected.
pub fn rejected(actions: &[Action], id: u64) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Reject { id: r, .. } if r.0 == id))
}

/// Whether a request was failed.
pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
