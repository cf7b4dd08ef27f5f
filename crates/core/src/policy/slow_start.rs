//! Slow start: how many units of work this front may send to chunk servers that are warming up.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use super::{node_table::NodeTable, SECOND};
use crate::interface::{Nanos, Settings};
use crate::state::{mean, Rate};

/// Lower and upper limit of the learned factor on the rate to servers that are warming up.
const FACTOR_MIN: f64 = 0.4;
const FACTOR_MAX: f64 = 2.0;
/// The learned factor is multiplied by this after each timely attempt.
const FACTOR_GROWTH: f64 = 1.2;
/// The learned factor is multiplied by this after each failed attempt.
const FACTOR_REDUCTION: f64 = 0.8;
/// Maximum budget that a server accumulates, in requests of mean size.
const BUDGET_MAX_MEAN_REQUESTS: f64 = 3.0;
/// Time constant, in nanoseconds, of the rate at which a server serves units.
const SERVED_RATE_MEMORY_NS: f64 = 4e9;
/// Lower and upper limit applied to the configured fraction of its capacity that a server has when
/// it starts.
const INITIAL_FRACTION_MIN: f64 = 0.05;
const INITIAL_FRACTION_MAX: f64 = 1.0;

impl Settings {
    /// Returns the length of the window in which a starting server must not be overloaded, extended
    /// by the delay that batches of events may add.
    pub(super) fn overload_window(&self) -> Nanos {
        self.overload_span + 2 * self.quantum
    }

    /// Returns the minimum capacity of a server at an age, as a multiple of that when its warm-up
    /// began.
    pub(super) fn warmup_growth(&self, age: Nanos) -> f64 {
        self.warm_fraction(age) / self.warm_fraction(0)
    }

    /// Returns the minimum fraction of its full capacity that a server has at an age, with a lag of
    /// one overload span.
    fn warm_fraction(&self, age: Nanos) -> f64 {
        let initial = self
            .warmup_floor
            .clamp(INITIAL_FRACTION_MIN, INITIAL_FRACTION_MAX);
        let progress =
            (age - self.overload_span).max(0) as f64 / self.warmup_duration.max(1) as f64;
        initial + (1.0 - initial) * progress.min(1.0)
    }
}

/// Units sent to a server, which count against its warm-up limit if it is warming up.
#[derive(Clone, Copy, Debug)]
struct RecentSend {
    sent_at: Nanos,
    units: f64,
}

/// The warm-up state of one server.
#[derive(Clone, Debug)]
pub(crate) struct SlowStart {
    /// When the warm-up began; `None` while the server is not warming up.
    started_at: Option<Nanos>,
    /// When the warm-up ends, or the last one ended.
    ends_at: Nanos,
    /// Sends within the overload window, oldest first.
    recent_sends: VecDeque<RecentSend>,
    /// Units that this front may send during the warm-up, accrued from the rate served before it.
    budget: f64,
    /// Units per second that the server serves this front.
    served_rate: Rate,
    /// Units per second that it served this front when it was last up, healthy and not warming up.
    warm_rate: f64,
}

impl SlowStart {
    /// Creates the state of a server that is not warming up.
    pub fn new(now: Nanos) -> SlowStart {
        SlowStart {
            started_at: None,
            ends_at: 0,
            recent_sends: VecDeque::new(),
            budget: 0.0,
            served_rate: Rate::new(now),
            warm_rate: 0.0,
        }
    }

    /// Returns whether the server is warming up.
    pub fn is_active(&self) -> bool {
        self.started_at.is_some()
    }

    /// Returns whether any recorded send may still be within the overload window.
    pub fn has_recent_sends(&self) -> bool {
        !self.recent_sends.is_empty()
    }

    /// Starts a warm-up with an initial budget in units.
    pub fn start(&mut self, started_at: Nanos, ends_at: Nanos, budget: f64) {
        self.started_at = Some(started_at);
        self.ends_at = ends_at;
        self.budget = budget;
    }

    /// Ends a warm-up that is over, and drops the sends before the overload window, whose length is
    /// `window`.
    pub fn expire(&mut self, now: Nanos, window: Nanos) {
        if self.is_active() && now >= self.ends_at {
            self.started_at = None;
            self.budget = 0.0;
        }
        while self
            .recent_sends
            .front()
            .is_some_and(|send| send.sent_at <= now - window)
        {
            self.recent_sends.pop_front();
        }
    }

    /// Returns the minimum capacity of the server as a multiple of that when its warm-up began, or
    /// `None` if it is not warming up.
    pub fn growth(&self, now: Nanos, settings: &Settings) -> Option<f64> {
        let started_at = self.started_at?;
        Some(settings.warmup_growth(now - started_at))
    }

    /// Returns the units that a server that is warming up may get now: the larger of two budgets.
    /// One is this front's equal share of what any starting server can bear, which grows with the
    /// server's age. The other accrues from the rate that the server served before its warm-up;
    /// once it covers a request of mean size, it allows a request of any size.
    pub fn allowance(&self, now: Nanos, settings: &Settings, growth: f64) -> f64 {
        let equal_share = settings.warmup_units / settings.fronts() * growth;
        let shared_budget = equal_share - self.units_sent_after(now - settings.overload_window());
        let accrued_budget = if self.budget >= settings.mean_units {
            settings.max_units
        } else {
            self.budget
        };
        accrued_budget.max(shared_budget)
    }

    /// Records units that are sent to the server.
    pub fn record_send(&mut self, now: Nanos, units: f64) {
        self.recent_sends.push_back(RecentSend {
            sent_at: now,
            units,
        });
        if self.is_active() {
            self.budget -= units;
        }
    }

    /// Treats a server that is warming up as fully used until the overload window has passed. After
    /// a restart of this front it is unknown what the front had sent to the server before.
    pub fn assume_fully_used(&mut self, now: Nanos) {
        if self.is_active() {
            self.recent_sends.push_back(RecentSend {
                sent_at: now,
                units: f64::INFINITY,
            });
        }
    }

    /// Records units that the server has served, unless it is warming up.
    pub fn record_served(&mut self, now: Nanos, units: f64) {
        if !self.is_active() {
            self.served_rate.add(now, units, SERVED_RATE_MEMORY_NS);
        }
    }

    /// Returns the units per second that the server served this front when it was last warm.
    pub fn warm_rate(&self) -> f64 {
        self.warm_rate
    }

    /// Raises the assumed rate of the warm server to at least this many units per second.
    pub fn raise_warm_rate(&mut self, rate: f64) {
        self.warm_rate = self.warm_rate.max(rate);
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        let age = self.started_at.map(|started_at| now - started_at);
        (age, now - self.ends_at).hash(hasher);
        self.budget.to_bits().hash(hasher);
        self.warm_rate.to_bits().hash(hasher);
        self.served_rate.fingerprint(now, hasher);
        for send in &self.recent_sends {
            (now - send.sent_at, send.units.to_bits()).hash(hasher);
        }
    }

    fn update_warm_rate(&mut self, now: Nanos) {
        self.warm_rate = self.served_rate.now(now, SERVED_RATE_MEMORY_NS);
    }

    fn units_sent_after(&self, time: Nanos) -> f64 {
        let recent = self.recent_sends.iter().filter(|send| send.sent_at > time);
        recent.map(|send| send.units).sum()
    }
}

/// Rates learned from all servers together, because one front sends too little to each server that
/// is warming up.
#[derive(Clone, Debug)]
pub(crate) struct WarmupRates {
    /// Learned factor on the rate to servers that are warming up.
    factor: f64,
    /// Mean units per second that a warm server serves this front; kept while no server is warm.
    mean_warm_rate: f64,
}

impl WarmupRates {
    /// Creates the state before anything is learned.
    pub fn new() -> WarmupRates {
        WarmupRates {
            factor: 1.0,
            mean_warm_rate: 0.0,
        }
    }

    /// Adapts the factor to the result of an attempt at a server that is warming up.
    pub fn record_result(&mut self, failed: bool) {
        let step = if failed {
            FACTOR_REDUCTION
        } else {
            FACTOR_GROWTH
        };
        self.factor = (self.factor * step).clamp(FACTOR_MIN, FACTOR_MAX);
    }

    /// Updates the rate that each warm server serves and the mean of these rates, for use when a
    /// server starts again.
    pub fn update(&mut self, now: Nanos, nodes: &mut NodeTable) {
        for node in nodes.values_mut().filter(|node| node.is_warm()) {
            node.slow_start.update_warm_rate(now);
        }
        let warm_nodes = nodes.values().filter(|node| node.is_warm());
        let warm_rates = warm_nodes.map(|node| node.slow_start.warm_rate);
        self.mean_warm_rate = mean(warm_rates).unwrap_or(self.mean_warm_rate);
    }

    /// Adds what accrued since the last tick, `elapsed` ago, to the budgets of the servers that are
    /// warming up.
    pub fn accrue(&self, now: Nanos, elapsed: Nanos, settings: &Settings, nodes: &mut NodeTable) {
        let elapsed_seconds = elapsed as f64 / SECOND as f64;
        let peak_factor = self.factor * settings.overload_factor;
        let max_budget = settings.mean_units * BUDGET_MAX_MEAN_REQUESTS;
        nodes.for_each_active(|_, node| {
            let slow_start = &mut node.slow_start;
            let Some(started_at) = slow_start.started_at else {
                return;
            };
            let fraction = settings.warm_fraction(now - started_at);
            let factor = (peak_factor * fraction).min(self.factor.max(1.0));
            let rate = slow_start.warm_rate.max(self.mean_warm_rate);
            let accrued = factor * rate * elapsed_seconds;
            slow_start.budget = (slow_start.budget + accrued).min(max_budget);
        });
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        let rate = self.mean_warm_rate.to_bits();
        (self.factor.to_bits(), rate).hash(hasher);
    }
}
