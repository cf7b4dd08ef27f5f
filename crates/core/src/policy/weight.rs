//! The weight by which a chunk server is chosen for new objects, and its base weight.
//!
//! Congestion reduces the weight for some time. The base weight, to which it recovers, is shifted
//! slowly from slow servers to fast ones.

use std::hash::{Hash, Hasher};

use super::{latency, node_table::NodeTable, MILLISECOND, SECOND, TICK_INTERVAL};
use crate::interface::Nanos;

/// Factor on the weight after a congested control period.
const WEIGHT_REDUCTION: f64 = 0.5;
/// Recovery of the weight after an uncongested control period, as a fraction of the base weight;
/// also the base weight shifted by each rebalancing, once a second.
const WEIGHT_STEP: f64 = 0.01;
/// Minimum weight as a fraction of the base weight, so that a server is tried again within some
/// hundred choices.
const WEIGHT_MIN_FRACTION: f64 = 0.02;
/// Minimum base weight as a fraction of an equal share, so that rebalancing cannot starve a server.
const BASE_WEIGHT_MIN: f64 = 0.25;
/// The control period of a server that has not answered yet.
const INITIAL_PERIOD: Nanos = SECOND / 10;
/// Minimum control period, for servers that answer at once.
const PERIOD_MIN: Nanos = MILLISECOND;

/// The weight of one server, and its control period, which lasts one round trip.
#[derive(Clone, Debug)]
pub(crate) struct PlacementWeight {
    /// The base weight, which is the weight without recent congestion.
    base: f64,
    /// The weight in effect; congestion reduces it below the base weight.
    current: f64,
    /// When the control period began.
    period_started_at: Nanos,
    /// Whether congestion was seen in this control period.
    is_congested: bool,
}

impl PlacementWeight {
    /// Creates the weight of a new server: an equal share.
    pub fn new(now: Nanos) -> PlacementWeight {
        PlacementWeight {
            base: 1.0,
            current: 1.0,
            period_started_at: now,
            is_congested: false,
        }
    }

    /// Returns the weight in effect.
    pub fn current(&self) -> f64 {
        self.current
    }

    /// Records that congestion was seen in this control period.
    pub fn mark_congested(&mut self) {
        self.is_congested = true;
    }

    /// Returns whether the end of the control period would change the weight.
    pub fn is_recovering(&self) -> bool {
        self.current < self.base || self.is_congested
    }

    /// Ends the control period if a round trip has passed. A congested period reduces the weight,
    /// an uncongested one restores a step of it. Returns whether a new period has begun.
    pub fn end_period(&mut self, now: Nanos, fast_latency: Option<f64>) -> bool {
        if now - self.period_started_at < period_length(fast_latency) {
            return false;
        }
        self.current = if self.is_congested {
            (self.current * WEIGHT_REDUCTION).max(self.base * WEIGHT_MIN_FRACTION)
        } else {
            (self.current + self.base * WEIGHT_STEP).min(self.base)
        };
        self.period_started_at = now;
        self.is_congested = false;
        true
    }

    /// Moves the start of the control period to where it would be if ticks had also visited the
    /// server while it was idle.
    pub fn align_period(&mut self, last_tick_at: Nanos, fast_latency: Option<f64>) {
        let length = period_length(fast_latency);
        let span = (length + TICK_INTERVAL - 1) / TICK_INTERVAL * TICK_INTERVAL;
        let elapsed = (last_tick_at - self.period_started_at).max(0);
        self.period_started_at += elapsed / span * span;
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.base.to_bits().hash(hasher);
        self.current.to_bits().hash(hasher);
        (now - self.period_started_at).hash(hasher);
        self.is_congested.hash(hasher);
    }

    /// Returns whether the server has enough base weight to give up a step of it.
    fn has_step(&self) -> bool {
        self.base - WEIGHT_STEP >= BASE_WEIGHT_MIN
    }

    /// Changes the base weight; the weight in effect keeps its ratio to it.
    fn shift_base(&mut self, amount: f64) {
        let ratio = self.current / self.base;
        self.base += amount;
        self.current = ratio * self.base;
    }
}

/// Returns the length of a control period: one round trip, estimated by the fast latency average.
fn period_length(fast_latency: Option<f64>) -> Nanos {
    fast_latency
        .map_or(INITIAL_PERIOD, |fast| fast as Nanos)
        .max(PERIOD_MIN)
}

/// Shifts base weight between the servers to lower the highest latency.
#[derive(Clone, Debug, Default)]
pub(crate) struct BaseWeightRebalancer {
    /// The highest slow latency average, in nanoseconds, when a shift was last considered.
    last_max_latency: Option<f64>,
    /// Whether shifts are paused because the last one did not lower the highest latency.
    is_paused: bool,
}

impl BaseWeightRebalancer {
    /// Shifts a step of base weight from the slowest server to the fastest, unless the last shift
    /// did not lower the highest latency.
    pub fn rebalance(&mut self, nodes: &mut NodeTable) {
        let table: &NodeTable = nodes;
        let measured = || {
            let up_nodes = table.iter().filter(|(_, node)| node.is_up());
            up_nodes.filter(|(_, node)| node.latency.fast().is_some())
        };
        let slowest =
            measured().max_by(|(_, a), (_, b)| a.latency.slow().total_cmp(&b.latency.slow()));
        let fastest =
            measured().min_by(|(_, a), (_, b)| a.latency.slow().total_cmp(&b.latency.slow()));
        let (Some((from, slowest)), Some((to, _))) = (slowest, fastest) else {
            return;
        };
        let has_step = slowest.weight.has_step();
        if self.is_shift_due(slowest.latency.slow()) && from != to && has_step {
            for (id, amount) in [(from, -WEIGHT_STEP), (to, WEIGHT_STEP)] {
                if let Some(node) = nodes.get_mut(id) {
                    node.weight.shift_base(amount);
                }
            }
        }
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        let last_max_latency = self.last_max_latency.map(f64::to_bits);
        (last_max_latency, self.is_paused).hash(hasher);
    }

    /// Returns whether a shift may lower the highest latency. After a shift that did not, further
    /// shifts are paused until that latency changes.
    fn is_shift_due(&mut self, max_latency: f64) -> bool {
        let last = self.last_max_latency.unwrap_or(f64::INFINITY);
        if self.is_paused && !latency::has_changed(max_latency, last) {
            return false;
        }
        self.last_max_latency = Some(max_latency);
        self.is_paused = !self.is_paused && max_latency >= last;
        !self.is_paused
    }
}
