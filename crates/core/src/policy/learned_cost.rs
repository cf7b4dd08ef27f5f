//! The cost of a unit of work, learned from the answers of each class.
//!
//! The cost is used to scale measured latencies to the mean request and back, so that a costly
//! request does not look like congestion.

use std::hash::{Hash, Hasher};

use crate::interface::{Nanos, Request};
use crate::state::{mean, moving_average};

/// Smoothing factor for a cost below the learned one. It is larger than that for a cost above,
/// because the cost to learn is that of a unit with little waiting.
const LOWER_COST_ALPHA: f64 = 0.05;
/// Smoothing factor for a cost above the learned one.
const HIGHER_COST_ALPHA: f64 = 0.005;
/// Minimum units that a request counts as, so that a tiny request has little effect on the cost of
/// a unit.
const UNITS_MIN: f64 = 0.1;

/// The learned cost of a unit of work for each class.
#[derive(Clone, Debug)]
pub(crate) struct LearnedCost {
    /// In nanoseconds, by class; 0 while unknown.
    unit_cost: Vec<f64>,
}

impl LearnedCost {
    /// Creates a table for a number of classes, all with unknown cost.
    pub fn new(classes: usize) -> LearnedCost {
        LearnedCost {
            unit_cost: vec![0.0; classes],
        }
    }

    /// Extends the table to a number of classes; the cost of the new ones is unknown.
    pub fn resize(&mut self, classes: usize) {
        self.unit_cost.resize(classes, 0.0);
    }

    /// Copies the learned cost of one class to another.
    pub fn copy_class(&mut self, from: usize, to: usize) {
        self.unit_cost[to] = self.unit_cost[from];
    }

    /// Updates the cost of the request's class from an answer that took the time `took`.
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

    /// Returns the nanoseconds per unit of a class, or 0 while unknown.
    pub fn unit_cost(&self, class: usize) -> f64 {
        self.unit_cost[class]
    }

    /// Returns the nanoseconds of work of a request, without waiting, or 0 while unknown.
    pub fn work(&self, request: &Request) -> f64 {
        self.unit_cost[request.class] * request.units
    }

    /// Returns a request's latency as a multiple of that of the mean request; 1 while the costs are
    /// unknown. `slow_latency` is the server's slow latency average in nanoseconds. Its excess over
    /// the mean work is taken as waiting time, which is the same for both requests.
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
