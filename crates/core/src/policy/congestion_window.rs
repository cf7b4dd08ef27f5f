//! The congestion window of one chunk server: how many requests this front may have in flight
//! there.

use std::hash::{Hash, Hasher};

/// Maximum window, in requests.
const WINDOW_MAX: f64 = 32.0;
/// Minimum window, in requests, whatever the number of fronts. A window below 1 paces requests.
const WINDOW_MIN: f64 = 0.3;
/// Initial window, in requests. It is small because all fronts may start at once and send to all
/// servers.
const INITIAL_WINDOW: f64 = 4.0;
/// A window below 1 grows by this fraction of itself for each uncongested answer.
const PACE_GROWTH: f64 = 0.5;
/// Smallest factor by which the window is reduced; it applies after a rejection or a timeout.
const STRONGEST_REDUCTION: f64 = 0.5;
/// Number of requests in flight at a chunk server, from all fronts together, up to which no front
/// has to be paced: fewer than a server with one core keeps in its queue.
const UNPACED_REQUESTS_PER_NODE: f64 = 16.0;

/// The congestion window of one server. It is reduced at most once in each control period.
#[derive(Clone, Debug)]
pub(crate) struct CongestionWindow {
    /// In requests; below 1 requests are paced.
    size: f64,
    /// Minimum size, derived from the number of fronts that share the server; 0 until known.
    min_size: f64,
    /// Whether the window was reduced in this control period.
    is_reduced: bool,
}

impl CongestionWindow {
    /// Creates the window of a server that is new to this front.
    pub fn new() -> CongestionWindow {
        CongestionWindow {
            size: INITIAL_WINDOW,
            min_size: 0.0,
            is_reduced: false,
        }
    }

    /// Returns the window in requests; below 1 requests are paced.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Returns whether the window was reduced in this control period.
    pub fn is_reduced(&self) -> bool {
        self.is_reduced
    }

    /// Sets the minimum window by the number of fronts. A window below 1 paces requests, which
    /// keeps the sum over many fronts within what a server can queue. A few fronts with one request
    /// each stay within it without pacing.
    pub fn set_front_count(&mut self, fronts: f64) {
        self.min_size = (UNPACED_REQUESTS_PER_NODE / fronts).min(1.0);
    }

    /// Grows the window for an uncongested answer if the window is in use: by one request per round
    /// trip, or by a fraction of itself below 1.
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

    /// Reduces the window by a factor, at most once per control period. The reduction starts from
    /// the part in use, because reducing the unused part would have no effect.
    pub fn reduce(&mut self, factor: f64, in_flight: usize) {
        if !self.is_reduced {
            let in_use = in_flight.max(1) as f64;
            let factor = factor.max(STRONGEST_REDUCTION);
            self.size = (self.size.min(in_use) * factor).max(WINDOW_MIN.max(self.min_size));
            self.is_reduced = true;
        }
    }

    /// Reduces the window by the largest step that a control period allows.
    pub fn reduce_strongly(&mut self, in_flight: usize) {
        self.reduce(STRONGEST_REDUCTION, in_flight);
    }

    /// Starts a control period, in which the window may be reduced again.
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
