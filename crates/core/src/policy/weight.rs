//! The weight by which new objects are placed on a chunk server, and its base.
//!
//! Congestion cuts the weight for a while; the base weight is shifted slowly from slow servers to
//! fast ones.

use std::hash::{Hash, Hasher};

use super::{latency, node_table::NodeTable, MILLISECOND, SECOND, TICK_INTERVAL};
use crate::interface::Nanos;

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
/// The control period of a server that has not answered yet.
const INITIAL_PERIOD: Nanos = SECOND / 10;
/// The least control period, for servers that answer at once.
const PERIOD_MIN: Nanos = MILLISECOND;

/// The weight of one server and its control period, which is one round trip.
#[derive(Clone, Debug)]
pub(crate) struct PlacementWeight {
    /// The weight without recent congestion.
    base: f64,
    current: f64,
    period_started_at: Nanos,
    /// Whether congestion was seen in this period.
    is_congested: bool,
}

impl PlacementWeight {
    /// The weight of a new server: an even share.
    pub fn new(now: Nanos) -> PlacementWeight {
        PlacementWeight {
            base: 1.0,
            current: 1.0,
            period_started_at: now,
            is_congested: false,
        }
    }

    /// The present weight.
    pub fn current(&self) -> f64 {
        self.current
    }

    /// Records that congestion was seen in this period.
    pub fn mark_congested(&mut self) {
        self.is_congested = true;
    }

    /// Whether the ends of periods change the weight.
    pub fn is_recovering(&self) -> bool {
        self.current < self.base || self.is_congested
    }

    /// Ends the period if it is over, which it is after a round trip: a congested one cuts the
    /// weight, a clean one restores a step. Returns whether another period has begun.
    pub fn end_period(&mut self, now: Nanos, fast_latency: Option<f64>) -> bool {
        if now - self.period_started_at < period_length(fast_latency) {
            return false;
        }
        self.current = if self.is_congested {
            (self.current * WEIGHT_CUT).max(self.base * WEIGHT_MIN_FRACTION)
        } else {
            (self.current + self.base * WEIGHT_STEP).min(self.base)
        };
        self.period_started_at = now;
        self.is_congested = false;
        true
    }

    /// Starts the period that would have begun last, had ticks ended the periods of a server at
    /// rest.
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

    /// Whether a step of base weight can be taken from the server.
    fn has_step(&self) -> bool {
        self.base - WEIGHT_STEP >= BASE_WEIGHT_MIN
    }

    /// Shifts the base weight; the weight keeps its ratio to it.
    fn shift_base(&mut self, amount: f64) {
        let ratio = self.current / self.base;
        self.base += amount;
        self.current = ratio * self.base;
    }
}

/// The length of a control period: one round trip.
fn period_length(fast_latency: Option<f64>) -> Nanos {
    fast_latency
        .map_or(INITIAL_PERIOD, |fast| fast as Nanos)
        .max(PERIOD_MIN)
}

/// Rebalances the base weights of all servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct BaseWeightRebalancer {
    /// The highest latency at the last rebalancing.
    last_max_latency: Option<f64>,
    is_paused: bool,
}

impl BaseWeightRebalancer {
    /// Design: shifts base weight from the slowest server to the fastest, until the highest latency
    /// stays.
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

    /// Whether a shift may lower the highest latency. A shift that did not is followed by a pause
    /// until that latency changes.
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
