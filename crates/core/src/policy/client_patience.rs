//! How long the clients of a class wait before they leave.
//!
//! Some clients abandon a request long before its timeout. Where many do, an answer that comes
//! after their typical wait is wasted work, so the other decisions treat that wait as the end of
//! the request.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::state::{decayed, moving_average};

/// Smoothing of the typical wait towards a client that left earlier.
const SHORTER_WAIT_ALPHA: f64 = 0.1;
/// Smoothing of the typical wait towards a client that left later. It is smaller, as clients that
/// leave for other reasons than impatience also leave late.
const LONGER_WAIT_ALPHA: f64 = 0.02;
/// Smoothing of the ratio of clients that abandon their request.
const ABANDON_RATIO_ALPHA: f64 = 0.03;
/// Time constant, in nanoseconds, with which that ratio decays without new observations.
const ABANDON_RATIO_MEMORY_NS: f64 = 2e10;
/// Below this ratio the class counts as one whose clients wait until their timeout.
const ABANDON_RATIO_MIN: f64 = 0.3;
/// A client that leaves before this fraction of the latency objective did not wait for an answer.
const WAITED_OBJECTIVE_FRACTION: f64 = 0.25;
/// Each of two similar waits is at least this fraction of the other.
const SIMILAR_WAIT_FRACTION: f64 = 0.5;
/// The wait of clients that do not leave early: no bound, yet safe to add to a time.
const UNBOUNDED_WAIT: Nanos = Nanos::MAX / 4;

/// How long clients of one class wait where they leave early, and how often they leave then.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientPatience {
    /// Typical time in nanoseconds after which early leavers leave; 0 until the first.
    typical_wait: f64,
    /// Of the clients that waited about as long, the fraction that left, as of `updated_at`.
    abandon_ratio: f64,
    updated_at: Nanos,
    /// The longest client timeout seen.
    longest_timeout: Nanos,
}

impl ClientPatience {
    /// How long clients typically wait. Where few leave early it has no bound, and is safe to add
    /// to a time.
    pub fn typical_wait(&self, now: Nanos) -> Nanos {
        if self.abandon_ratio(now) < ABANDON_RATIO_MIN {
            return UNBOUNDED_WAIT;
        }
        self.typical_wait as Nanos
    }

    /// Records that a client left after a wait, before its timeout and without an answer.
    pub fn record_disconnect(&mut self, now: Nanos, wait: Nanos, latency_objective: Nanos) {
        let wait = wait as f64;
        if wait < latency_objective as f64 * WAITED_OBJECTIVE_FRACTION {
            return;
        }
        let typical = self.typical_wait;
        let is_similar =
            wait >= typical * SIMILAR_WAIT_FRACTION && wait * SIMILAR_WAIT_FRACTION <= typical;
        let alpha = if wait < typical {
            SHORTER_WAIT_ALPHA
        } else {
            LONGER_WAIT_ALPHA
        };
        self.typical_wait = moving_average(typical, alpha, wait);
        self.record(now, is_similar);
    }

    /// Records that a client waited for its answer, whatever the answer is.
    pub fn record_answered(&mut self, now: Nanos, wait: Nanos) {
        if wait as f64 >= self.typical_wait {
            self.record(now, false);
        }
    }

    /// The time that a client has spent on earlier requests for the same work: one with a shorter
    /// timeout than the longest seen has tried before.
    pub fn time_already_spent(&mut self, timeout: Nanos, class_deadline: Nanos) -> Nanos {
        self.longest_timeout = self.longest_timeout.max(timeout.min(class_deadline));
        (self.longest_timeout - timeout).max(0)
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.typical_wait.to_bits().hash(hasher);
        self.abandon_ratio.to_bits().hash(hasher);
        (now - self.updated_at).hash(hasher);
        self.longest_timeout.hash(hasher);
    }

    /// The fraction of clients that left of those that waited about as long; it decays without new
    /// observations.
    fn abandon_ratio(&self, now: Nanos) -> f64 {
        decayed(
            self.abandon_ratio,
            now - self.updated_at,
            ABANDON_RATIO_MEMORY_NS,
        )
    }

    fn record(&mut self, now: Nanos, abandoned: bool) {
        let ratio = self.abandon_ratio(now);
        let observation = f64::from(u8::from(abandoned));
        self.abandon_ratio = ratio + ABANDON_RATIO_ALPHA * (observation - ratio);
        self.updated_at = now;
    }
}
