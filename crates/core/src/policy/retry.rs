//! Retries: whether a request may be sent again, and how its final answer is chosen when not.

use super::node::Node;
use super::node_table::NodeTable;
use super::retry_budget::RetryHistory;
use super::{SECOND, TICK_INTERVAL};
use crate::fleet_limits::FleetLimits;
use crate::interface::{Class, DeduplicationGroup, Nanos, NodeId, Semantics, Settings};
use crate::mutations::{mutated, Mutation};
use crate::state::{LiveRequest, PossibleExecution};

/// The mean pause before a retry, as a fraction of the latency of the server that failed.
const RETRY_PAUSE_LATENCY_FRACTION: f64 = 0.5;
/// A request never sent is rejected after this fraction of its timeout, while its client can retry.
const UNSENT_TIMEOUT_FRACTION: f64 = 0.5;
/// The longest retry-after, as a multiple of the latency of a healthy server.
const RETRY_AFTER_LATENCY_RATIO: f64 = 2.0;
/// The least retry-after before it is stretched and spread, in nanoseconds.
const RETRY_AFTER_MIN_NS: f64 = 5e7;
/// The retry-after is stretched at most by the inverse of this admitted fraction.
const ADMITTED_FRACTION_MIN: f64 = 0.01;

/// Whether another attempt of a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// It may be sent.
    Allowed,
    /// It may not be sent.
    Denied(RetryDenial),
}

/// Why no other attempt of a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDenial {
    /// All attempts that the request may have were sent.
    AttemptsExhausted,
    /// An attempt is in flight.
    AttemptInFlight,
    /// No answer can reach the client in time.
    Expired,
    /// The limit of the fleet on retries allows none now.
    FleetLimitExhausted,
    /// The retry budget of this front allows none now.
    BudgetExhausted,
    /// An earlier attempt may have been executed, and a repeat would not be dropped.
    NotRepeatable,
}

/// What a decision on a retry depends on, at one moment.
#[derive(Clone, Copy)]
pub(crate) struct RetryRules<'a> {
    /// The present time.
    pub now: Nanos,
    /// The classes and the budget.
    pub settings: &'a Settings,
    /// The retries and requests that count against the budget.
    pub history: &'a RetryHistory,
    /// The limits of the fleet.
    pub fleet_limits: &'a FleetLimits,
    /// The chunk servers, for the groups that drop repeats.
    pub nodes: &'a NodeTable,
}

impl RetryRules<'_> {
    /// Whether another attempt is allowed, at a given server or at any.
    pub fn decide(&self, live: &LiveRequest, at: Option<NodeId>) -> RetryDecision {
        match self.denial(live, at) {
            Some(denial) => RetryDecision::Denied(denial),
            None => RetryDecision::Allowed,
        }
    }

    /// Whether another attempt is allowed at any server.
    pub fn allow(&self, live: &LiveRequest) -> bool {
        self.decide(live, None) == RetryDecision::Allowed
    }

    fn denial(&self, live: &LiveRequest, at: Option<NodeId>) -> Option<RetryDenial> {
        let max_attempts = live.max_attempts().min(self.settings.max_attempts);
        if live.attempts() >= max_attempts && !mutated(Mutation::UnlimitedRetry) {
            return Some(RetryDenial::AttemptsExhausted);
        }
        if live.has_attempt_in_flight() {
            return Some(RetryDenial::AttemptInFlight);
        }
        if live.is_expired(self.now, self.settings.deadline_margin()) {
            return Some(RetryDenial::Expired);
        }
        if self.fleet_limits.retries_exhausted(self.now) {
            return Some(RetryDenial::FleetLimitExhausted);
        }
        if self.exceeds_budget(live) {
            return Some(RetryDenial::BudgetExhausted);
        }
        let may_repeat = live
            .possible_execution()
            .is_none_or(|first| self.may_repeat(live, first, at));
        (!may_repeat).then_some(RetryDenial::NotRepeatable)
    }

    /// Whether the budget of this front allows no other attempt. Without a configured budget the
    /// default one holds for requests that may have been executed.
    fn exceeds_budget(&self, live: &LiveRequest) -> bool {
        let is_budgeted =
            self.settings.retry_budget.is_some() || live.possible_execution().is_some();
        let budget = self.settings.effective_retry_budget();
        is_budgeted && self.history.is_exhausted(self.now, budget)
    }

    /// Whether a request may be executed again although an earlier attempt may have been executed.
    fn may_repeat(&self, live: &LiveRequest, first: PossibleExecution, at: Option<NodeId>) -> bool {
        let class = &self.settings.classes[live.request().class];
        match class.semantics {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => mutated(Mutation::RetriesUnsafeWrite),
            Semantics::Deduplicated => {
                let is_in_window = self.now < first.sent_at + class.window;
                is_in_window && at.is_none_or(|at| self.is_in_group(class.group, first.node, at))
            }
        }
    }

    /// Whether a server drops repeats of what another one executed.
    fn is_in_group(&self, group: DeduplicationGroup, executor: NodeId, other: NodeId) -> bool {
        match group {
            DeduplicationGroup::All => true,
            DeduplicationGroup::Zone => self.nodes[other].zone() == self.nodes[executor].zone(),
            DeduplicationGroup::Shard => self.nodes[other].shard() == self.nodes[executor].shard(),
        }
    }
}

impl Settings {
    /// An answer goes out this long before its deadline, as a timer may be late by a tick and a
    /// batch.
    pub(super) fn deadline_margin(&self) -> Nanos {
        TICK_INTERVAL + 2 * self.quantum
    }
}

/// Until when an attempt of a request may begin: one that may have been executed may be repeated
/// only within its deduplication window, and a connection may take time to open.
pub(crate) fn begin_deadline(live: &LiveRequest, class: &Class) -> Nanos {
    match live.possible_execution() {
        Some(first) if class.semantics == Semantics::Deduplicated => first.sent_at + class.window,
        _ => Nanos::MAX,
    }
}

/// Whether a request that is given up may be repeated by its client without harm, so that it is
/// rejected; otherwise it fails.
pub(crate) fn is_repeatable_by_client(live: &LiveRequest, class: &Class) -> bool {
    match class.semantics {
        Semantics::Idempotent => true,
        Semantics::Deduplicated => {
            !live.may_have_executed() || class.group == DeduplicationGroup::All
        }
        Semantics::AtMostOnce => !live.may_have_executed() || mutated(Mutation::RejectsUnsafeWrite),
    }
}

/// The pause in nanoseconds before a retry after an attempt failed at a server, with jitter. `draw`
/// is uniform in 0..1.
pub(crate) fn pause_before_retry(node: &Node, draw: f64) -> Nanos {
    let latency = node.latency.fast().unwrap_or(0.0);
    (latency * RETRY_PAUSE_LATENCY_FRACTION * (0.5 + draw)) as Nanos
}

/// When a client's retry may help, spread over the upper half so that clients do not return at
/// once. `node` is the server that would serve it, `draw` is uniform in 0..1.
pub(crate) fn retry_after(
    node: Option<&Node>,
    admitted_fraction: f64,
    max_retry_after: Nanos,
    draw: f64,
) -> Nanos {
    let wait = match node {
        Some(node) if node.is_healthy() => {
            RETRY_AFTER_LATENCY_RATIO * node.latency.fast().unwrap_or(0.0)
        }
        _ => SECOND as f64,
    };
    let stretched =
        wait.max(RETRY_AFTER_MIN_NS) / admitted_fraction.clamp(ADMITTED_FRACTION_MIN, 1.0);
    (stretched.min(max_retry_after as f64) * (0.5 + 0.5 * draw)) as Nanos
}

/// When a request that was never sent is rejected.
pub(crate) fn unsent_deadline(live: &LiveRequest, settings: &Settings) -> Nanos {
    let time = (live.request().client_timeout as f64 * UNSENT_TIMEOUT_FRACTION) as Nanos;
    live.received_at() + time - settings.deadline_margin()
}
