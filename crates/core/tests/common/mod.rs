//! Settings of a small site and a front that handles scripted events. The builders take plain
//! numbers for ids, so that tests need no conversions.
#![allow(dead_code)]

pub mod fleet;

use tulipbridge_core::*;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const S: Nanos = 1000 * MS;

/// Returns a class of reads with an objective of 200 ms and a deadline of 1 s.
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

/// Returns a plan with the given rates in units per second; a limit rate of 0 means no limit.
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

/// Returns settings with classes of all semantics, one of which keeps the order of a key, and with
/// a plan without and one with a limit.
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

/// Returns an entry of the endpoint list. Each server has a shard of its own; even and odd servers
/// are in different zones.
pub fn node(node: usize, state: EndpointState, started_at: Nanos) -> NodeInfo {
    NodeInfo {
        node: NodeId(node),
        zone: (node % 2) as u32,
        shard: ShardId(node as u32),
        state,
        started_at,
    }
}

/// Returns a request of 2 units with its own key and a client timeout of 1 s; without a shard it is
/// for a new object.
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
        continues_response: false,
    }
}

/// A scheduler and the clock whose time it gets with each event.
pub struct TestFront {
    pub scheduler: Scheduler,
    pub now: Nanos,
}

impl TestFront {
    /// Starts a front at 100 s with the given number of warm servers.
    pub fn new(settings: Settings, nodes: usize) -> TestFront {
        TestFront::seeded(settings, nodes, 7)
    }

    /// Starts a front like [`TestFront::new`], with the given seed for its random choices.
    pub fn seeded(settings: Settings, nodes: usize, seed: u64) -> TestFront {
        let scheduler = Scheduler::new(settings, seed, 100 * S).expect("valid settings");
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

    /// Handles an event at the present time and returns the actions.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock in ticks of 10 ms and returns all actions except new timers.
    pub fn advance(&mut self, time: Nanos) -> Vec<Action> {
        let mut all = Vec::new();
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + 10 * MS).min(until);
            let actions = self.event(Event::Timer(1));
            all.extend(actions.into_iter().filter(|action| {
                !matches!(action, Action::Runtime(RuntimeCommand::SetTimer { .. }))
            }));
        }
        all
    }

    /// Handles a new request and returns the actions.
    pub fn submit(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    /// Ends an attempt and returns the actions. The request is answered if the attempt was served.
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

    /// Serves `count` requests at one server, one after another, each answered after `took`.
    pub fn warm(&mut self, first: u64, count: u64, shard: usize, took: Nanos) {
        for id in first..first + count {
            let actions = self.submit(request(id, 0, Some(shard as u32)));
            let actions = if sends(&actions).is_empty() {
                self.advance(500 * MS)
            } else {
                actions
            };
            assert_eq!(
                sends(&actions),
                vec![(id, shard)],
                "request {id} is sent to the healthy server"
            );
            self.now += took;
            self.end_attempt(id, 0, shard, Outcome::Served, took);
        }
    }
}

/// Returns the end of an attempt, without figures on the volume's use through other fronts.
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

/// Returns the attempts sent, each as the ids of its request and its server.
pub fn sends(actions: &[Action]) -> Vec<(u64, usize)> {
    let sent_attempt = |action: &Action| match action {
        Action::Send { id, node, .. } => Some((id.0, node.0)),
        _ => None,
    };
    actions.iter().filter_map(sent_attempt).collect()
}

/// Returns whether the actions reject a request.
pub fn rejected(actions: &[Action], id: u64) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { id: rejected, .. } if rejected.0 == id))
}

/// Returns whether the actions fail a request.
pub fn failed(actions: &[Action], id: u64) -> bool {
    actions.contains(&Action::Fail(RequestId(id)))
}
