//! A site and a driver for scripted events. Figures are made up for the tests.
#![allow(dead_code)]

use tulipbridge_core::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1000 * MS;

pub fn class(semantics: Semantics, group: Group) -> Class {
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
    Plan { limit_rate, limit_burst: limit_rate * 2.0, reserve_rate, nominal: 10.0, weight: 1.0, price: 1.0 }
}

pub fn settings() -> Settings {
    let mut ordered = class(Semantics::Idempotent, Group::All);
    ordered.keep_order = true;
    Settings {
        initiators: 2,
        classes: vec![
            class(Semantics::Idempotent, Group::All),
            class(Semantics::Deduplicated, Group::Cell),
            class(Semantics::AtMostOnce, Group::All),
            ordered,
            class(Semantics::Deduplicated, Group::Zone),
        ],
        plans: vec![plan(0.0, 50.0), plan(20.0, 0.0)],
        quantum: 2 * MS,
        warmup_units: 16.0,
        mean_units: 2.0,
        max_units: 8.0,
        fair_share_value: 0.4,
        idle_value: 0.05,
        use_period: 0,
        max_attempts: 3,
        hedging: false,
        cancellation: true,
        max_retry_after: 500 * MS,
        polls_discovery: true,
        poll_interval: 10 * S,
        warmup_duration: 10 * S,
        warmup_floor: 0.25,
        tip_multiple: 3.0,
        overload_span: S,
        order_settle_time: 50 * MS,
        retry_budget: Some(RetryBudget { base_allowance: 3.0, ratio: 0.15, window: 5 * S }),
    }
}

pub fn node(node: NodeId, listed: Listed, came_up: Nanos) -> NodeInfo {
    NodeInfo { node, zone: (node % 2) as u32, cell: node as CellId, listed, started_at: came_up }
}

pub fn request(id: RequestId, class: usize, cell: Option<CellId>) -> Request {
    Request { id, class, plan: 0, volume: 1, key: Some(id), patience: S, units: 2.0, cell, front_count: 1 }
}

/// A scheduler with its clock.
pub struct Rig {
    pub scheduler: Scheduler,
    pub now: Nanos,
}

impl Rig {
    /// Starts at 100 s with nodes 0..n, all up for long.
    pub fn new(set: Settings, nodes: usize) -> Rig {
        Rig::seeded(set, nodes, 7)
    }

    /// The same with a seed of its own.
    pub fn seeded(set: Settings, nodes: usize, seed: u64) -> Rig {
        let scheduler = Scheduler::new(set, seed, 100 * S).expect("settings hold");
        let mut rig = Rig { scheduler, now: 100 * S };
        let list = (0..nodes).map(|n| node(n, Listed::Up, 0)).collect();
        rig.event(Event::Endpoints { scope: UpdateScope::Restored, nodes: list });
        rig
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass in ticks; gives all that was done meanwhile but timers.
    pub fn pass(&mut self, time: Nanos) -> Vec<Action> {
        let mut all = Vec::new();
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + 10 * MS).min(until);
            let some = self.event(Event::Timer(1));
            all.extend(some.into_iter().filter(|a| !matches!(a, Action::SetTimer { .. })));
        }
        all
    }

    pub fn ask(&mut self, request: Request) -> Vec<Action> {
        self.event(Event::Request(request))
    }

    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u32,
        node: NodeId,
        outcome: Outcome,
        took: Nanos,
    ) -> Vec<Action> {
        let last = outcome == Outcome::Served;
        self.event(ended(id, attempt, node, outcome, took, last))
    }

    /// A node answers n requests, one after another, each after `took`.
    pub fn warm(&mut self, first: RequestId, n: u64, cell: usize, took: Nanos) {
        for id in first..first + n {
            let sent = self.ask(request(id, 0, Some(cell as CellId)));
            let sent = if places(&sent).is_empty() { self.pass(500 * MS) } else { sent };
            assert_eq!(places(&sent), vec![(id, cell)], "a healthy node takes request {id}");
            self.now += took;
            self.end(id, 0, cell, Outcome::Served, took);
        }
    }
}

/// The end of an attempt, with nothing told of others' use.
pub fn ended(id: RequestId, attempt: u32, node: NodeId, outcome: Outcome, took: Nanos, last: bool) -> Event {
    Event::AttemptEnded { id, attempt, node, outcome, took, last, seen_use: 0.0, foreign_units: 0.0 }
}

pub fn places(actions: &[Action]) -> Vec<(RequestId, NodeId)> {
    let place = |a: &Action| match a {
        Action::Send { id, node, .. } => Some((*id, *node)),
        _ => None,
    };
    actions.iter().filter_map(place).collect()
}

pub fn refused(actions: &[Action], id: RequestId) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { id: r, .. } if *r == id))
}

pub fn failed(actions: &[Action], id: RequestId) -> bool {
    actions.contains(&Action::Fail(id))
}
