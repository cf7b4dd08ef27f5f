//! Retries, and the final answer to requests that are given up.

use super::{Actions, SECOND, TICK_INTERVAL};
use crate::interface::{Action, Group, Nanos, NodeId, Outcome, RequestId, RetryBudget, Semantics};
use crate::mutations::{mutated, Mutation};
use crate::state::{LiveRequest, Scheduler};

/// The retry budget if none is configured, so that retries do not feed an overload.
const DEFAULT_BUDGET: RetryBudget = RetryBudget {
    base_allowance: 3.0,
    ratio: 0.3,
    window: 5 * SECOND,
};
const RETRY_PAUSE_LATENCY_FRACTION: f64 = 0.5;
/// A request never sent is rejected after this fraction of its patience, while its client can
/// retry.
const UNSENT_PATIENCE_FRACTION: f64 = 0.5;
const RETRY_AFTER_LATENCY_RATIO: f64 = 2.0;
const RETRY_AFTER_MIN_NS: f64 = 5e7;

impl Scheduler {
    pub(super) fn on_failure(
        &mut self,
        id: RequestId,
        at: NodeId,
        outcome: Outcome,
        actions: &mut Actions,
    ) {
        let live = &self.live[&id];
        if live.queued || live.in_flight > 0 || live.streaming {
            return;
        }
        // A new object that found no connection has cost no server anything.
        let is_free = outcome == Outcome::NotExecuted && live.request.shard.is_none();
        let is_overloaded = self.admitted_fraction() < 1.0 && !is_free;
        let is_late = outcome == Outcome::TimedOut && self.now >= self.answer_due_at(live);
        if outcome == Outcome::NotSent || is_late || is_overloaded || !self.may_retry(live, None) {
            self.give_up(id, actions);
            return;
        }
        let latency = self.nodes[&at].fast_latency.unwrap_or(0.0);
        let pause = latency * RETRY_PAUSE_LATENCY_FRACTION * (0.5 + self.random.f64());
        if let Some(live) = self.live.get_mut(&id) {
            live.not_before = self.now + pause as Nanos;
            if live.possible_execution.is_none() && live.request.shard.is_none() {
                live.shard = None;
            }
        }
        self.enqueue(id, actions);
    }

    /// Whether another attempt is allowed, at a given server or at any.
    pub(super) fn may_retry(&self, live: &LiveRequest, at: Option<NodeId>) -> bool {
        let max_attempts = live.max_attempts.min(self.settings.max_attempts);
        let is_exhausted = live.attempts >= max_attempts && !mutated(Mutation::UnlimitedRetry);
        if is_exhausted
            || live.in_flight > 0
            || self.is_expired(live)
            || self.fleet_retries_exhausted()
        {
            return false;
        }
        let budget = self.retry_budget();
        let recent = self.recent_counts(budget.window);
        let allowed = budget.base_allowance + budget.ratio * recent.requests as f64;
        let is_budgeted = self.settings.retry_budget.is_some() || live.possible_execution.is_some();
        if is_budgeted && (recent.retries + 1) as f64 > allowed {
            return false;
        }
        let Some(first) = live.possible_execution else {
            return true;
        };
        let class = self.class(&live.request);
        let is_in_group = |at: NodeId| match class.group {
            Group::All => true,
            Group::Zone => self.nodes[&at].zone == self.nodes[&first.node].zone,
            Group::Shard => self.nodes[&at].shard == self.nodes[&first.node].shard,
        };
        match class.semantics {
            Semantics::Idempotent => true,
            Semantics::AtMostOnce => mutated(Mutation::RetriesUnsafeWrite),
            Semantics::Deduplicated => {
                self.now < first.sent_at + class.window && at.is_none_or(is_in_group)
            }
        }
    }

    pub(super) fn retry_budget(&self) -> RetryBudget {
        self.settings.retry_budget.clone().unwrap_or(DEFAULT_BUDGET)
    }

    /// Whether an answer must go out now to reach the client: a timer may be late by a tick and a
    /// batch.
    pub(super) fn is_expired(&self, live: &LiveRequest) -> bool {
        self.now >= live.deadline_at - self.deadline_margin()
    }

    fn deadline_margin(&self) -> Nanos {
        TICK_INTERVAL + 2 * self.settings.quantum
    }

    /// Answers a request at once: rejected if repeating it is harmless, failed if it may have been
    /// executed.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Actions) {
        let draw = self.random.f64();
        self.record_client_stayed(id);
        let Some(live) = self.live.get(&id).filter(|live| !live.finished) else {
            return;
        };
        let class = self.class(&live.request);
        let is_repeatable = match class.semantics {
            Semantics::Idempotent => true,
            Semantics::Deduplicated => !live.may_have_executed() || class.group == Group::All,
            Semantics::AtMostOnce => {
                !live.may_have_executed() || mutated(Mutation::RejectsUnsafeWrite)
            }
        };
        let rejection = Action::Reject {
            id,
            retry_after: self.retry_after(live, draw),
        };
        actions.push(if is_repeatable {
            rejection
        } else {
            Action::Fail(id)
        });
        self.finish(id);
    }

    /// When a client's retry may help, spread over the upper half so that clients do not return at
    /// once.
    fn retry_after(&self, live: &LiveRequest, draw: f64) -> Nanos {
        let wait = match live.shard.and_then(|shard| self.preferred_node(shard)) {
            Some(node) if node.is_healthy() => {
                RETRY_AFTER_LATENCY_RATIO * node.fast_latency.unwrap_or(0.0)
            }
            _ => SECOND as f64,
        };
        let scaled = wait.max(RETRY_AFTER_MIN_NS) / self.admitted_fraction().clamp(0.01, 1.0);
        (scaled.min(self.settings.max_retry_after as f64) * (0.5 + 0.5 * draw)) as Nanos
    }

    /// Whether a request cannot be answered in time, so that its client learns it early.
    pub(super) fn is_hopeless(&self, live: &LiveRequest) -> bool {
        let is_expired = self.is_expired(live);
        if live.finished || live.streaming || !(is_expired || live.queued) {
            return false;
        }
        let is_unsent = live.attempts == 0;
        if is_expired || (!is_unsent && !self.may_retry(live, None)) {
            return true;
        }
        let unsent_time = (live.request.patience as f64 * UNSENT_PATIENCE_FRACTION) as Nanos;
        if is_unsent && self.now >= live.received_at + unsent_time - self.deadline_margin() {
            return true;
        }
        let Some(node) = live.shard.and_then(|shard| self.preferred_node(shard)) else {
            return self.now > live.objective_at;
        };
        let is_limited = is_unsent && !self.volume_limit_allows(&live.request);
        let client_leaves =
            self.typical_wait(live.request.class) < live.deadline_at - live.received_at;
        let is_stuck = client_leaves || is_limited || !node.is_healthy();
        let answer_at = self.now + self.expected_latency(live, node) as Nanos;
        answer_at > live.deadline_at || (is_stuck && self.would_be_late(live, node))
    }
}
