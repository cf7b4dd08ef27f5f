//! The congestion window of one chunk server: how many requests this front keeps in flight there.

use std::hash::{Hash, Hasher};

/// Design: the most requests in flight.
const WINDOW_MAX: f64 = 32.0;
/// Design: the least window, which paces requests, whatever the number of fronts.
const WINDOW_MIN: f64 = 0.3;
/// The first window in requests. It is small, as all fronts start at once on all servers.
const INITIAL_WINDOW: f64 = 4.0;
/// A window below 1, which paces, recovers by this fraction of itself for each good answer.
const PACE_GROWTH: f64 = 0.5;
/// The strongest reduction of the window, as a factor: that after a rejection or a timeout.
const STRONGEST_REDUCTION: f64 = 0.5;
/// Requests in flight at a chunk server from all fronts together for which no front is paced: fewer
/// than a server with one core keeps in its queue.
const UNPACED_REQUESTS_PER_NODE: f64 = 16.0;

/// The window, adapted at most once down for each control period.
#[derive(Clone, Debug)]
pub(crate) struct CongestionWindow {
    /// In requests; below 1 it is a pace.
    size: f64,
    /// The least size, by the number of fronts that share the server; 0 until known.
    min_size: f64,
    /// Whether it was reduced in this control period.
    is_reduced: bool,
}

impl CongestionWindow {
    /// The window of a new server.
    pub fn new() -> CongestionWindow {
        CongestionWindow {
            size: INITIAL_WINDOW,
            min_size: 0.0,
            is_reduced: false,
        }
    }

    /// The window in requests; below 1 it is a pace.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Whether it was reduced in this control period.
    pub fn is_reduced(&self) -> bool {
        self.is_reduced
    }

    /// Sets the least window for a number of fronts. A window below 1 is paced, which keeps the sum
    /// over many fronts within what a server can queue; few fronts with one request each stay
    /// within it without pacing.
    pub fn set_front_count(&mut self, fronts: f64) {
        self.min_size = (UNPACED_REQUESTS_PER_NODE / fronts).min(1.0);
    }

    /// Grows the window by a request for each round trip, if it is in use.
    pub fn grow(&mut self, in_flight: usize) {
        if (in_flight + 1) as f64 >= self.size.floor() {
            let step = if self.size < 1.0 {
                self.size * PACE_GROWTH
            } else {
                1.0 / self.size
            };
            self.size = (self.size + step).min(WINDOW_MAX);
        }
    }

    /// Reduces the window by a factor once a period, from the part in use, as shrinking the unused
    /// part has no effect.
    pub fn reduce(&mut self, factor: f64, in_flight: usize) {
        if !self.is_reduced {
            let in_use = in_flight.max(1) as f64;
            let factor = factor.max(STRONGEST_REDUCTION);
            self.size = (self.size.min(in_use) * factor).max(WINDOW_MIN.max(self.min_size));
            self.is_reduced = true;
        }
    }

    /// Reduces the window as far as a period allows.
    pub fn reduce_strongly(&mut self, in_flight: usize) {
        self.reduce(STRONGEST_REDUCTION, in_flight);
    }

    /// Starts a control period.
    pub fn start_period(&mut self) {
        self.is_reduced = false;
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        self.size.to_bits().hash(hasher);
        self.min_size.to_bits().hash(hasher);
        self.is_reduced.hash(hasher);
    }
}
