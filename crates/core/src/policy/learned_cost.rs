//! What a unit of work costs, as learned from the answers of each class.
//!
//! The cost scales measured latencies to a request of mean size and back, so that a costly request
//! does not look like congestion.

use std::hash::{Hash, Hasher};

use crate::interface::{Nanos, Request};
use crate::state::{mean, moving_average};

/// Smoothing towards a lower cost than learned. It is larger than the smoothing towards a higher
/// one, as the cost to learn is that of a unit with little waiting.
const LOWER_COST_ALPHA: f64 = 0.05;
/// Smoothing towards a higher cost than learned.
const HIGHER_COST_ALPHA: f64 = 0.005;
/// Requests count as at least this many units, so that a tiny one says little about a unit.
const UNITS_MIN: f64 = 0.1;

/// Learned nanoseconds of work per unit, for each class.
#[derive(Clone, Debug)]
pub(crate) struct LearnedCost {
    /// By class; 0 while unknown.
    unit_cost: Vec<f64>,
}

impl LearnedCost {
    /// Costs that are unknown yet.
    pub fn new(classes: usize) -> LearnedCost {
        LearnedCost {
            unit_cost: vec![0.0; classes],
        }
    }

    /// Makes room for further classes, whose cost is unknown.
    pub fn resize(&mut self, classes: usize) {
        self.unit_cost.resize(classes, 0.0);
    }

    /// Gives a class the cost learned for another one.
    pub fn copy_class(&mut self, from: usize, to: usize) {
        self.unit_cost[to] = self.unit_cost[from];
    }

    /// Learns from an answer that took some time.
    pub fn record(&mut self, request: &Request, took: Nanos) {
        let unit_cost = took as f64 / request.units.max(UNITS_MIN);
        let learned = self.unit_cost[request.class];
        let alpha = if unit_cost < learned {
            LOWER_COST_ALPHA
        } else {
            HIGHER_COST_ALPHA
        };
        self.unit_cost[request.class] = moving_average(learned, alpha, unit_cost);
    }

    /// Nanoseconds per unit of a class; 0 while unknown.
    pub fn unit_cost(&self, class: usize) -> f64 {
        self.unit_cost[class]
    }

    /// Nanoseconds of work of a request without waiting; 0 while unknown.
    pub fn work(&self, request: &Request) -> f64 {
        self.unit_cost[request.class] * request.units
    }

    /// A request's latency as a multiple of that of the mean request, at a server whose slow
    /// latency average is given in nanoseconds. The time beyond the mean work is waiting, which is
    /// the same for both.
    pub fn relative_latency(&self, request: &Request, mean_units: f64, slow_latency: f64) -> f64 {
        let known_costs = self.unit_cost.iter().copied().filter(|cost| *cost > 0.0);
        let mean_work = mean(known_costs).unwrap_or(0.0) * mean_units.max(1.0);
        let work = self.work(request);
        if mean_work <= 0.0 || work <= 0.0 {
            return 1.0;
        }
        let waiting = (slow_latency - mean_work).max(0.0);
        (work + waiting) / (mean_work + waiting)
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        for cost in &self.unit_cost {
            cost.to_bits().hash(hasher);
        }
    }
}
