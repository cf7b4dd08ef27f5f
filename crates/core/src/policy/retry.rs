//! Retries: whether and when a request may be sent again, and otherwise how it is given up.

use super::node::Node;
use super::node_table::NodeTable;
use super::retry_budget::RetryHistory;
use super::{SECOND, TICK_INTERVAL};
use crate::fleet_limits::FleetLimits;
use crate::interface::{Class, DeduplicationGroup, Nanos, NodeId, Semantics, Settings};
use crate::mutations::{mutated, Mutation};
use crate::state::{LiveRequest, PossibleExecution};

/// Mean pause before a retry, as a fraction of the fast latency average of the server where the
/// attempt failed.
const RETRY_PAUSE_LATENCY_FRACTION: f64 = 0.5;
/// Fraction of the client timeout after which a request that was never sent is rejected, so that
/// its client still has time to retry.
const UNSENT_TIMEOUT_FRACTION: f64 = 0.5;
/// The retry-after at a healthy server before it is stretched and spread, as a multiple of the
/// server's fast latency average.
const RETRY_AFTER_LATENCY_RATIO: f64 = 2.0;
/// Minimum retry-after before it is stretched and spread, in nanoseconds.
const RETRY_AFTER_MIN_NS: f64 = 5e7;
/// Minimum admitted fraction by whose inverse the retry-after is stretched.
const ADMITTED_FRACTION_MIN: f64 = 0.01;

/// The decision whether another attempt of a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDecision {
    /// Another attempt may be sent.
    Allowed,
    /// No other attempt may be sent, for the given reason.
    Denied(RetryDenial),
}

/// Why no other attempt of a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryDenial {
    /// The request has had its maximum number of attempts.
    AttemptsExhausted,
    /// An attempt is in flight.
    AttemptInFlight,
    /// Too little time is left for an answer to reach the client before its deadline.
    Expired,
    /// The limit of the fleet on retries is used up for now.
    FleetLimitExhausted,
    /// The retry budget of this front is used up for now.
    BudgetExhausted,
    /// An earlier attempt may have been executed, and a repeat would not be dropped.
    NotRepeatable,
}

/// The state that decisions on retries depend on, at one moment.
#[derive(Clone, Copy)]
pub(crate) struct RetryRules<'a> {
    /// The time of the decision.
    pub now: Nanos,
    /// The settings, with the classes, the maximum of attempts and the retry budget.
    pub settings: &'a Settings,
    /// The recent retries and requests, from which the use of the retry budget follows.
    pub history: &'a RetryHistory,
    /// The limits that all fronts share, for the one on retries.
    pub fleet_limits: &'a FleetLimits,
    /// The chunk servers, whose zones and shards decide which of them drop repeats.
    pub nodes: &'a NodeTable,
}

impl RetryRules<'_> {
    /// Decides whether another attempt is allowed, at the server `at` or else at any server.
    pub fn decide(&self, live: &LiveRequest, at: Option<NodeId>) -> RetryDecision {
        match self.denial(live, at) {
            Some(denial) => RetryDecision::Denied(denial),
            None => RetryDecision::Allowed,
        }
    }

    /// Returns whether another attempt is allowed, whichever server gets it.
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

    /// Returns whether the retry budget of this front allows no other attempt. Without a configured
    /// budget the default one applies, but only to requests that may have been executed.
    fn exceeds_budget(&self, live: &LiveRequest) -> bool {
        let is_budgeted =
            self.settings.retry_budget.is_some() || live.possible_execution().is_some();
        let budget = self.settings.effective_retry_budget();
        is_budgeted && self.history.is_exhausted(self.now, budget)
    }

    /// Returns whether a request may be sent again although its attempt `first` may have been
    /// executed.
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

    /// Returns whether the server `other` drops repeats of what `executor` has executed.
    fn is_in_group(&self, group: DeduplicationGroup, executor: NodeId, other: NodeId) -> bool {
        match group {
            DeduplicationGroup::All => true,
            DeduplicationGroup::Zone => self.nodes[other].zone() == self.nodes[executor].zone(),
            DeduplicationGroup::Shard => self.nodes[other].shard() == self.nodes[executor].shard(),
        }
    }
}

impl Settings {
    /// Returns how long before its deadline an answer has to be sent: a timer may be late by a tick
    /// and a batch of events.
    pub(super) fn deadline_margin(&self) -> Nanos {
        TICK_INTERVAL + 2 * self.quantum
    }
}

/// Returns the time until which an attempt of a request may begin. A deduplicated request that may
/// have been executed may be repeated only within its deduplication window, and an attempt may be
/// delayed by opening a connection.
pub(crate) fn begin_deadline(live: &LiveRequest, class: &Class) -> Nanos {
    match live.possible_execution() {
        Some(first) if class.semantics == Semantics::Deduplicated => first.sent_at + class.window,
        _ => Nanos::MAX,
    }
}

/// Returns whether the client may safely repeat a request that is given up. If so, the request is
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

/// Returns the pause in nanoseconds, with jitter, before a retry after an attempt failed at a
/// server. `draw` is a random number uniform in 0..1.
pub(crate) fn pause_before_retry(node: &Node, draw: f64) -> Nanos {
    let latency = node.latency.fast().unwrap_or(0.0);
    (latency * RETRY_PAUSE_LATENCY_FRACTION * (0.5 + draw)) as Nanos
}

/// Returns the time in nanoseconds after which a retry by the client may succeed. It is spread over
/// the upper half of the range so that clients do not all return at once. `node` is the server that
/// would get the request, `draw` a random number uniform in 0..1.
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

/// Returns the time at which a request that was never sent is rejected.
pub(crate) fn unsent_deadline(live: &LiveRequest, settings: &Settings) -> Nanos {
    let time = (live.request().client_timeout as f64 * UNSENT_TIMEOUT_FRACTION) as Nanos;
    live.received_at() + time - settings.deadline_margin()
}
