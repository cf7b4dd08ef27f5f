//! The latency of one chunk server: a fast and a slow moving average, and a recent minimum.
//!
//! All latencies are in nanoseconds and scaled to the mean request.

use std::hash::{Hash, Hasher};

use super::SECOND;
use crate::interface::Nanos;
use crate::state::{time_aware_alpha, SlidingMinimum};

/// Minimum weight of a new latency in the fast average.
const FAST_ALPHA: f64 = 0.25;
/// Time constant of the fast average when answers are rare.
const FAST_MEMORY: Nanos = SECOND;
/// Minimum weight of a new latency in the slow average.
const SLOW_ALPHA: f64 = 0.02;
/// Time constant of the slow average when answers are rare.
const SLOW_MEMORY: Nanos = 12 * SECOND;
/// The best latency is the minimum over the current and the previous span of this length.
const BEST_LATENCY_SPAN: Nanos = 5 * SECOND;
/// Up to this multiple of its best latency a server is uncongested.
const UNCONGESTED_BEST_RATIO: f64 = 1.6;
/// Above this multiple of its best latency a server is congested.
const CONGESTED_BEST_RATIO: f64 = 2.6;
/// Minimum of the uncongested latency, as a fraction of the tightest objective: a server far within
/// the objective is not congested, however fast it was before.
const UNCONGESTED_OBJECTIVE_MIN: f64 = 0.15;
/// Minimum of the congested latency, as a fraction of the tightest objective.
const CONGESTED_OBJECTIVE_MIN: f64 = 0.5;
/// Maximum of the uncongested and the congested latency, as a fraction of the tightest objective,
/// so that most answers meet the objective.
const OBJECTIVE_MAX: f64 = 0.8;
/// Ratio of the fast to the slow average above which a control period is congested.
const CONGESTION_RATIO: f64 = 1.10;
/// A rejection counts as a latency of at least this multiple of the tightest objective.
const REJECTION_OBJECTIVE_RATIO: f64 = 1.5;
/// Limits of the round trip time by which requests are paced, in nanoseconds.
const PACING_ROUND_TRIP_MIN_NS: f64 = 1.0;
const PACING_ROUND_TRIP_MAX_NS: f64 = SECOND as f64;

/// What the latency of a server says about its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LoadSignal {
    /// The server can take more.
    Uncongested,
    /// The server has as much load as it should.
    Balanced,
    /// The server has too much load.
    Congested {
        /// The highest latency that is not congested, as a fraction of the fast average.
        target_ratio: f64,
    },
}

/// The latency of one server, learned from its answers.
#[derive(Clone, Debug)]
pub(crate) struct LatencyEstimate {
    /// Moving average over few answers; `None` until the first.
    fast: Option<f64>,
    /// Moving average over many answers; 0 until the first.
    slow: f64,
    /// The recent minimum of the fast average.
    best: SlidingMinimum,
    /// Latency up to which the server is uncongested, as of the last answer.
    uncongested: f64,
    /// The tightest latency objective of any class, as of the last answer.
    tightest_objective: f64,
    /// When a latency was last recorded.
    updated_at: Nanos,
}

impl LatencyEstimate {
    /// Creates the estimate of a server that has not answered yet.
    pub fn new(now: Nanos) -> LatencyEstimate {
        LatencyEstimate {
            fast: None,
            slow: 0.0,
            best: SlidingMinimum::new(now),
            uncongested: f64::INFINITY,
            tightest_objective: f64::INFINITY,
            updated_at: now,
        }
    }

    /// Returns the average over few answers, or `None` before the first.
    pub fn fast(&self) -> Option<f64> {
        self.fast
    }

    /// Returns the average over many answers, or 0 before the first.
    pub fn slow(&self) -> f64 {
        self.slow
    }

    /// Returns when a latency was last recorded.
    pub fn updated_at(&self) -> Nanos {
        self.updated_at
    }

    /// Adds a latency to the averages and returns what the fast average says about the load.
    /// `objective` is the tightest latency objective of any class, in nanoseconds.
    pub fn record(&mut self, now: Nanos, latency: f64, objective: f64) -> LoadSignal {
        let elapsed = now - self.updated_at;
        self.updated_at = now;
        let fast = self.update_averages(elapsed, latency);
        self.best.record(now, fast, BEST_LATENCY_SPAN);
        self.tightest_objective = objective;
        let best = self.best.minimum();
        let max_latency = objective * OBJECTIVE_MAX;
        let congested_min = objective * CONGESTED_OBJECTIVE_MIN;
        let congested = (best * CONGESTED_BEST_RATIO).clamp(congested_min, max_latency);
        let uncongested_min = objective * UNCONGESTED_OBJECTIVE_MIN;
        self.uncongested = (best * UNCONGESTED_BEST_RATIO).clamp(uncongested_min, max_latency);
        if fast <= self.uncongested {
            LoadSignal::Uncongested
        } else if fast > congested {
            let target_ratio = congested / fast;
            LoadSignal::Congested { target_ratio }
        } else {
            LoadSignal::Balanced
        }
    }

    /// Records a rejection. It comes at once, but it means a full queue, so it counts as a latency
    /// above the tightest objective.
    pub fn record_rejection(&mut self) {
        if self.tightest_objective.is_finite() {
            let latency = self.tightest_objective * REJECTION_OBJECTIVE_RATIO;
            self.fast = Some(self.fast.unwrap_or(0.0).max(latency));
        }
    }

    /// Discards the latencies learned so far, which no longer apply when a warm-up starts.
    pub fn reset(&mut self) {
        self.fast = None;
        self.slow = 0.0;
        self.best.clear();
    }

    /// Returns whether the latency has risen so far that the control period is congested.
    pub fn is_rising(&self) -> bool {
        self.fast
            .is_some_and(|fast| fast > self.slow * CONGESTION_RATIO)
    }

    /// Returns whether the fast average exceeds the tightest latency objective of any class.
    pub fn exceeds_tightest_objective(&self) -> bool {
        self.fast.is_some_and(|fast| fast > self.tightest_objective)
    }

    /// Returns the pause after an answer that enforces a window below 1: one request at a time, and
    /// at most one in 1 / `window` round trips.
    pub fn pacing_pause(&self, window: f64) -> Nanos {
        let best = self.best.minimum();
        let round_trip = best.clamp(PACING_ROUND_TRIP_MIN_NS, PACING_ROUND_TRIP_MAX_NS);
        (round_trip * (1.0 / window - 1.0)) as Nanos
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.fast.map(f64::to_bits).hash(hasher);
        self.slow.to_bits().hash(hasher);
        self.best.fingerprint(now, hasher);
        self.uncongested.to_bits().hash(hasher);
        self.tightest_objective.to_bits().hash(hasher);
        (now - self.updated_at).hash(hasher);
    }

    /// Adds a latency to both averages and returns the fast one.
    fn update_averages(&mut self, elapsed: Nanos, latency: f64) -> f64 {
        let fast = self.fast.unwrap_or(latency);
        let slow = self.fast.map_or(latency, |_| self.slow);
        let fast = fast + time_aware_alpha(FAST_ALPHA, elapsed, FAST_MEMORY) * (latency - fast);
        self.fast = Some(fast);
        self.slow = slow + time_aware_alpha(SLOW_ALPHA, elapsed, SLOW_MEMORY) * (latency - slow);
        fast
    }
}

/// Returns whether the highest latency of any server differs so much from an earlier one that base
/// weights are shifted again.
pub(crate) fn has_changed(latency: f64, earlier: f64) -> bool {
    latency > earlier * CONGESTION_RATIO || latency < earlier / CONGESTION_RATIO
}
