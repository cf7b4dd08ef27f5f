//! What admission control has learned: goodput over all chunk servers, and how long clients wait.

use std::collections::VecDeque;

use crate::interface::Nanos;
use crate::state::statistics::{decayed, Rate};

/// How long clients of a class wait where they leave early, and how often they leave then.
#[derive(Clone, Debug, Default)]
pub struct ClientPatience {
    /// Typical time in nanoseconds after which early leavers leave.
    pub typical_wait: f64,
    pub(super) abandon_ratio: f64,
    pub(super) updated_at: Nanos,
}

impl ClientPatience {
    /// The ratio of the clients that waited about as long and left then. It decays without new
    /// observations.
    pub fn abandon_ratio(&self, now: Nanos, memory: f64) -> f64 {
        decayed(self.abandon_ratio, now - self.updated_at, memory)
    }

    /// Records a client that waited as long: whether it left about then.
    pub fn record(&mut self, now: Nanos, abandoned: bool, alpha: f64, memory: f64) {
        let ratio = self.abandon_ratio(now, memory);
        self.abandon_ratio = ratio + alpha * (f64::from(u8::from(abandoned)) - ratio);
        self.updated_at = now;
    }
}

/// Admission control over all chunk servers.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    /// Requests per second admitted without credit; absent is no limit.
    pub rate_limit: Option<f64>,
    /// Moving average of the attempts that were not answered in time.
    pub failure_ratio: f64,
    /// Rate of requests received without credit.
    pub uncredited_requests: Rate,
    /// Rate of attempts whose result was counted.
    pub results: Rate,
    /// Rate of attempts sent without credit.
    pub uncredited_sends: Rate,
    /// Value per unit of work of the latest requests.
    pub recent_values: VecDeque<f64>,
}

impl Admission {
    /// Multiplies the rate limit by a factor, where there is a limit.
    pub fn scale_rate_limit(&mut self, factor: f64) {
        self.rate_limit = self.rate_limit.map(|limit| limit * factor);
    }

    /// The fraction of the latest requests with a higher value than this one, which becomes the
    /// latest of at most `capacity`. Of those with the same value, the fraction `draw` counts as
    /// higher.
    pub fn rank(&mut self, value: f64, draw: f64, capacity: usize) -> f64 {
        let higher = self
            .recent_values
            .iter()
            .filter(|recent| **recent > value)
            .count() as f64;
        let equal = self
            .recent_values
            .iter()
            .filter(|recent| **recent == value)
            .count() as f64;
        let rank = (higher + equal * draw) / self.recent_values.len().max(1) as f64;
        self.recent_values.push_back(value);
        if self.recent_values.len() > capacity {
            self.recent_values.pop_front();
        }
        rank
    }
}
