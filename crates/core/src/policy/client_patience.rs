//! How long the clients of a class wait before they disconnect.
//!
//! Some clients abandon a request long before its timeout. If many do, an answer after their
//! typical wait is wasted work, so other decisions count an answer as late from then on.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::state::{decayed, moving_average};

/// Smoothing factor of the typical wait for a client that disconnected earlier.
const SHORTER_WAIT_ALPHA: f64 = 0.1;
/// Smoothing factor of the typical wait for a client that disconnected later. It is smaller
/// because clients that disconnect for other reasons than impatience also do so late.
const LONGER_WAIT_ALPHA: f64 = 0.02;
/// Smoothing factor of the abandon ratio.
const ABANDON_RATIO_ALPHA: f64 = 0.03;
/// Time constant, in nanoseconds, with which the abandon ratio decays without new observations.
const ABANDON_RATIO_MEMORY_NS: f64 = 2e10;
/// Below this abandon ratio the clients of a class are assumed to wait until their timeout.
const ABANDON_RATIO_MIN: f64 = 0.3;
/// A client that disconnects before this fraction of the latency objective did not wait for an
/// answer.
const WAITED_OBJECTIVE_FRACTION: f64 = 0.25;
/// Two waits are similar if each is at least this fraction of the other.
const SIMILAR_WAIT_FRACTION: f64 = 0.5;
/// The wait of clients that do not disconnect early: unbounded in effect, but small enough that
/// adding it to a time does not overflow.
const UNBOUNDED_WAIT: Nanos = Nanos::MAX / 4;

/// Estimates of how long clients of one class wait if they disconnect early, and how often they
/// do.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientPatience {
    /// Typical time in nanoseconds after which clients disconnect early; 0 until the first does.
    typical_wait: f64,
    /// Moving average, as of `updated_at`, of 1 for each client that disconnected after about the
    /// typical wait, and 0 for each one that waited longer or disconnected at another time.
    abandon_ratio: f64,
    updated_at: Nanos,
    /// The longest client timeout seen, limited to the deadline of the class.
    longest_timeout: Nanos,
}

impl ClientPatience {
    /// Returns how long clients typically wait. If few disconnect early, that is a wait without
    /// effective bound that can still be added to a time without overflow.
    pub fn typical_wait(&self, now: Nanos) -> Nanos {
        if self.abandon_ratio(now) < ABANDON_RATIO_MIN {
            return UNBOUNDED_WAIT;
        }
        self.typical_wait as Nanos
    }

    /// Records that a client disconnected after a wait, before its timeout and without an answer.
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

    /// Records that a client waited until its answer, whatever the answer is.
    pub fn record_answered(&mut self, now: Nanos, wait: Nanos) {
        if wait as f64 >= self.typical_wait {
            self.record(now, false);
        }
    }

    /// Returns the time that a client has presumably spent on earlier requests for the same work: a
    /// timeout shorter than the longest seen is taken as a sign of a retry with the rest of the
    /// client's time.
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

    /// Returns the abandon ratio at `now`, after its decay since the last observation.
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
