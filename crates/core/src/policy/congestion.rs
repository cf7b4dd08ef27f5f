//! Congestion control of one chunk server: its window, its weight, and the base weights of all.

use super::{MILLISECOND, SECOND};
use crate::interface::Nanos;
use crate::state::{time_aware_alpha, Node, Scheduler};

/// Design: fast over slow average of a congested period, and change of the highest latency that
/// counts.
const CONGESTION_RATIO: f64 = 1.10;
/// Design: factor on the weight after a congested period.
const WEIGHT_CUT: f64 = 0.5;
/// Design: recovery after a clean period, and shift of base weight each second, as a fraction of
/// it.
const WEIGHT_STEP: f64 = 0.01;
/// The weight stays above this fraction of base, so that a server is tried again in some hundred
/// choices.
const WEIGHT_MIN_FRACTION: f64 = 0.02;
/// The base weight stays above this fraction of an even share, so that rebalancing cannot starve a
/// server.
const BASE_WEIGHT_MIN: f64 = 0.25;
/// Design: the window's bounds in requests. It starts small, as all fronts start at once on all
/// servers.
const WINDOW_MAX: f64 = 32.0;
const WINDOW_MIN: f64 = 0.3;
pub(super) const INITIAL_WINDOW: f64 = 4.0;
/// A window below 1, which paces, recovers by this fraction of itself for each good answer.
const PACE_GROWTH: f64 = 0.5;
pub(super) const WINDOW_CUT_MAX: f64 = 0.5;
const FAST_ALPHA: f64 = 0.25;
const FAST_MEMORY: Nanos = SECOND;
const SLOW_ALPHA: f64 = 0.02;
const SLOW_MEMORY: Nanos = 12 * SECOND;
/// Multiples of the best latency up to which the window grows, and above which it shrinks.
const GROW_BEST_RATIO: f64 = 1.6;
const SHRINK_BEST_RATIO: f64 = 2.6;
/// Bounds of these two latencies, as fractions of the tightest objective.
const GROW_OBJECTIVE_MIN: f64 = 0.15;
const SHRINK_OBJECTIVE_MIN: f64 = 0.5;
const OBJECTIVE_MAX: f64 = 0.8;
const BEST_LATENCY_SPAN: Nanos = 5 * SECOND;
const INITIAL_PERIOD: Nanos = SECOND / 10;
const PERIOD_MIN: Nanos = MILLISECOND;

impl Node {
    /// Whether a window allows one more request. Below 1 it paces, as one of each front may be too
    /// many.
    pub(super) fn has_capacity(&self, window: f64, now: Nanos) -> bool {
        let window = if self.is_full() {
            0.0
        } else {
            window.min(self.limits.max_in_flight())
        };
        // Servers answer in order: one sent before another that was answered is lost and frees its
        // place.
        let pending = self
            .in_flight
            .values()
            .filter(|s| s.sent_at >= self.newest_answered_send)
            .count();
        if window < 1.0 {
            let best = self.best_latency.minimum().clamp(1.0, SECOND as f64);
            let pause = best * (1.0 / window - 1.0);
            return pending == 0 && now - self.last_answer_at >= pause as Nanos;
        }
        (pending as f64) < window.floor()
    }

    /// Reduces the window once a period, from the part in use, as shrinking the unused part has no
    /// effect.
    pub(super) fn reduce_window(&mut self, factor: f64) {
        if !self.window_reduced {
            let in_use = self.in_flight.len().max(1) as f64;
            self.window = (self.window.min(in_use) * factor).max(WINDOW_MIN.max(self.min_window));
            self.window_reduced = true;
        }
    }

    /// Grows the window by a request for each round trip, if it is in use.
    fn grow_window(&mut self) {
        if (self.in_flight.len() + 1) as f64 >= self.window.floor() {
            let step = if self.window < 1.0 {
                self.window * PACE_GROWTH
            } else {
                1.0 / self.window
            };
            self.window = (self.window + step).min(WINDOW_MAX);
        }
    }

    /// Takes a latency, scaled to the mean request, into the averages and adapts the window.
    pub(super) fn record_latency(&mut self, now: Nanos, latency: f64, objective: f64) {
        let elapsed = now - self.latency_updated_at;
        self.latency_updated_at = now;
        let fast = self.fast_latency.unwrap_or(latency);
        let slow = self.fast_latency.map_or(latency, |_| self.slow_latency);
        let fast = fast + time_aware_alpha(FAST_ALPHA, elapsed, FAST_MEMORY) * (latency - fast);
        self.fast_latency = Some(fast);
        self.slow_latency =
            slow + time_aware_alpha(SLOW_ALPHA, elapsed, SLOW_MEMORY) * (latency - slow);
        self.best_latency.record(now, fast, BEST_LATENCY_SPAN);
        let best = self.best_latency.minimum();
        let max_latency = objective * OBJECTIVE_MAX;
        let congested =
            (best * SHRINK_BEST_RATIO).clamp(objective * SHRINK_OBJECTIVE_MIN, max_latency);
        self.tightest_objective = objective;
        let uncongested =
            (best * GROW_BEST_RATIO).clamp(objective * GROW_OBJECTIVE_MIN, max_latency);
        self.uncongested_latency = uncongested;
        if fast <= uncongested {
            self.grow_window();
        } else if fast > congested {
            self.reduce_window((congested / fast).max(WINDOW_CUT_MAX));
        }
        self.period_congested |= fast > self.slow_latency * CONGESTION_RATIO;
    }

    /// The length of a control period: one round trip.
    pub(crate) fn period_length(&self) -> Nanos {
        self.fast_latency
            .map_or(INITIAL_PERIOD, |fast| fast as Nanos)
            .max(PERIOD_MIN)
    }

    /// Ends a period: a congested one cuts the weight, a clean one restores a step.
    pub(super) fn end_period(&mut self, now: Nanos) {
        if now - self.period_started_at < self.period_length() {
            return;
        }
        self.weight = if self.period_congested {
            (self.weight * WEIGHT_CUT).max(self.base_weight * WEIGHT_MIN_FRACTION)
        } else {
            (self.weight + self.base_weight * WEIGHT_STEP).min(self.base_weight)
        };
        self.start_period(now);
    }
}

impl Scheduler {
    /// Design: shifts base weight from the slowest server to the fastest, until the highest latency
    /// stays.
    pub(super) fn rebalance_base_weights(&mut self) {
        let measured = || {
            self.nodes
                .iter()
                .filter(|(_, node)| node.is_up() && node.fast_latency.is_some())
        };
        let slowest = measured().max_by(|(_, a), (_, b)| a.slow_latency.total_cmp(&b.slow_latency));
        let fastest = measured().min_by(|(_, a), (_, b)| a.slow_latency.total_cmp(&b.slow_latency));
        let (Some((&from, slowest)), Some((&to, _))) = (slowest, fastest) else {
            return;
        };
        let highest = slowest.slow_latency;
        let last = self.last_max_latency.unwrap_or(f64::INFINITY);
        let changed = highest > last * CONGESTION_RATIO || highest < last / CONGESTION_RATIO;
        if self.rebalancing_paused && !changed {
            return;
        }
        self.last_max_latency = Some(highest);
        self.rebalancing_paused = !self.rebalancing_paused && highest >= last;
        let has_weight = self.nodes[&from].base_weight - WEIGHT_STEP >= BASE_WEIGHT_MIN;
        if !self.rebalancing_paused && from != to && has_weight {
            self.move_base_weight(from, to, WEIGHT_STEP);
        }
    }
}
