//! Slow start of chunk servers that warm up: the units that this front may send them.

use super::SECOND;
use crate::interface::{Nanos, Settings};
use crate::state::{mean, Node, Scheduler};

/// The factor on the rate to starting servers: its bounds and its steps for a timely and a failed
/// attempt.
const FACTOR_MIN: f64 = 0.4;
const FACTOR_MAX: f64 = 2.0;
const FACTOR_GROWTH: f64 = 1.2;
const FACTOR_CUT: f64 = 0.8;
const BUDGET_MAX_MEAN_REQUESTS: f64 = 3.0;
pub(super) const SERVED_RATE_MEMORY_NS: f64 = 4e9;

impl Settings {
    /// The window in which a starting server must not be overloaded, and what a batch of events may
    /// add.
    pub(super) fn overload_window(&self) -> Nanos {
        self.overload_span + 2 * self.quantum
    }

    /// The least fraction of its full capacity that a server has at an age, an overload span
    /// behind.
    pub(crate) fn warm_fraction(&self, age: Nanos) -> f64 {
        let initial = self.warmup_floor.clamp(0.05, 1.0);
        let progress =
            (age - self.overload_span).max(0) as f64 / self.warmup_duration.max(1) as f64;
        initial + (1.0 - initial) * progress.min(1.0)
    }
}

impl Scheduler {
    /// Units that a server may get now, by the larger of two budgets: an even part of what a
    /// starting server can always bear, growing with its age, and one that accrues by the rate that
    /// it served before.
    pub(crate) fn warmup_quota(&self, node: &Node) -> f64 {
        let Some(since) = node.warmup_since else {
            return f64::INFINITY;
        };
        let growth = self.warmup_growth(since);
        let even_part = self.settings.warmup_units / self.settings.fronts() * growth;
        let even_budget =
            even_part - node.units_sent_after(self.now - self.settings.overload_window());
        let has_mean = node.warmup_budget >= self.settings.mean_units;
        let own_budget = if has_mean {
            self.settings.max_units
        } else {
            node.warmup_budget
        };
        let assigned = node.limits.warmup_allowance(self.now);
        assigned.map_or(own_budget.max(even_budget), |units| units * growth)
    }

    /// Learns from all starting servers together, as each is met too seldom.
    pub(super) fn adjust_warmup_factor(&mut self, failed: bool) {
        let step = if failed { FACTOR_CUT } else { FACTOR_GROWTH };
        self.warmup_factor = (self.warmup_factor * step).clamp(FACTOR_MIN, FACTOR_MAX);
    }

    /// Notes the rate that each warm server serves and their mean, for servers that start anew.
    pub(super) fn update_warm_rates(&mut self) {
        for node in self.nodes.values_mut().filter(|node| node.is_warm()) {
            node.warm_rate = node.served_rate.now(self.now, SERVED_RATE_MEMORY_NS);
        }
        let warm_rates = self
            .nodes
            .values()
            .filter(|node| node.is_warm())
            .map(|node| node.warm_rate);
        self.mean_warm_rate = mean(warm_rates).unwrap_or(self.mean_warm_rate);
    }

    pub(super) fn accrue_warmup_budgets(&mut self) {
        let elapsed_seconds = (self.now - self.last_tick_at) as f64 / SECOND as f64;
        self.last_tick_at = self.now;
        let peak_factor = self.warmup_factor * self.settings.tip_multiple;
        let max_budget = self.settings.mean_units * BUDGET_MAX_MEAN_REQUESTS;
        for id in &self.active_nodes {
            let Some(node) = self.nodes.get_mut(id) else {
                continue;
            };
            let Some(since) = node.warmup_since else {
                continue;
            };
            let fraction = self.settings.warm_fraction(self.now - since);
            let factor = (peak_factor * fraction).min(self.warmup_factor.max(1.0));
            let accrued = factor * node.warm_rate.max(self.mean_warm_rate) * elapsed_seconds;
            node.warmup_budget = (node.warmup_budget + accrued).min(max_budget);
        }
    }
}
