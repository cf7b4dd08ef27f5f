//! What the chunk servers of a testbed received, compared with the limits of the fleet.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::config::{MAX_UNITS_PER_REQUEST, UNITS_PER_READ, VOLUME_BURST};
use super::Testbed;
use crate::chunk_server::Attempt;

/// By how much a clock may run fast, as a factor.
const CLOCK_DRIFT: f64 = 1.001;
/// The longest window that is compared with a rate.
const MAX_WINDOW: Duration = Duration::from_secs(10);

/// The units that were sent within any window of a length, and how many may be. Serialized as an
/// array, as in stored results.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct WindowUsage {
    /// The most units of a volume within any window.
    pub max_units: f64,
    /// The bound.
    pub allowed_units: f64,
}

impl From<(f64, f64)> for WindowUsage {
    fn from((max_units, allowed_units): (f64, f64)) -> WindowUsage {
        WindowUsage {
            max_units,
            allowed_units,
        }
    }
}

impl From<WindowUsage> for (f64, f64) {
    fn from(usage: WindowUsage) -> Self {
        (usage.max_units, usage.allowed_units)
    }
}

/// A rate limit in units, with a burst.
#[derive(Clone, Copy, Debug)]
pub struct RateBound {
    /// Units of each attempt.
    pub units: f64,
    /// Units a second.
    pub rate: f64,
    /// Units that may come at once.
    pub burst: f64,
}

impl RateBound {
    /// The most units within any window of up to 10 s beyond the bound; at most 0 if the bound
    /// holds. Each attempt is recorded within `slack` of being sent.
    pub fn max_excess(&self, moments: &[Duration], slack: Duration) -> f64 {
        let mut worst = f64::NEG_INFINITY;
        for (first, start) in moments.iter().enumerate() {
            for (last, end) in moments.iter().enumerate().skip(first) {
                let window = end.saturating_sub(*start);
                if window > MAX_WINDOW {
                    break;
                }
                let allowed = self.rate * (window + slack).as_secs_f64() * CLOCK_DRIFT + self.burst;
                worst = worst.max((last - first + 1) as f64 * self.units - allowed);
            }
        }
        worst
    }
}

impl Testbed {
    /// Units sent within a span, as a fraction of what the volumes' limits allow in it without any
    /// burst.
    pub fn served_fraction(&self, from: Duration, to: Duration) -> f64 {
        let count = self
            .attempts
            .select(|attempt| attempt.at >= from && attempt.at < to)
            .len();
        let rate = self.config.rate * self.config.volumes as f64;
        count as f64 * UNITS_PER_READ / (rate * (to - from).as_secs_f64())
    }

    /// The most units of any volume, retries apart, that were sent within any window of up to 10 s
    /// beyond the bound; at most 0 if the bound holds. `slack` is how long a read may take from
    /// being sent to being recorded.
    pub fn max_excess(&self, slack: Duration) -> f64 {
        let bound = RateBound {
            units: UNITS_PER_READ,
            rate: self.config.rate,
            burst: self.max_burst(),
        };
        let excesses = (0..self.config.volumes)
            .map(|volume| bound.max_excess(&self.first_attempts_of(volume), slack));
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// The most units of any volume that were sent within any window of a length, and the bound for
    /// that length.
    pub fn window_usage(&self, window: Duration, slack: Duration) -> WindowUsage {
        let volumes = 0..self.config.volumes;
        let counts =
            volumes.map(|volume| max_count_within(&self.first_attempts_of(volume), window));
        let max_units = counts.max().unwrap_or(0) as f64 * UNITS_PER_READ;
        let span = (window + slack).as_secs_f64();
        let allowed_units = self.config.rate * span * CLOCK_DRIFT + self.max_burst();
        WindowUsage {
            max_units,
            allowed_units,
        }
    }

    /// The burst of a volume's limit over the whole fleet: each front may send one request beyond
    /// it.
    fn max_burst(&self) -> f64 {
        VOLUME_BURST + self.config.fronts as f64 * MAX_UNITS_PER_REQUEST
    }

    /// When the attempts of a volume arrived that are no retries.
    fn first_attempts_of(&self, volume: usize) -> Vec<Duration> {
        self.attempt_times(|attempt| attempt.volume == volume && !attempt.is_retry)
    }

    /// When the attempts arrived that match.
    pub fn attempt_times(&self, matches: impl Fn(&Attempt) -> bool) -> Vec<Duration> {
        self.attempts
            .select(matches)
            .iter()
            .map(|attempt| attempt.at)
            .collect()
    }

    /// The most attempts that were in flight at the chunk servers at any time within a span.
    pub fn max_in_flight(&self, from: Duration, to: Duration) -> usize {
        let now = self.elapsed();
        let in_span = |attempt: &Attempt| {
            attempt.at < to && attempt.ended_at.is_none_or(|ended| ended >= from)
        };
        let mut changes: Vec<(Duration, i32)> = Vec::new();
        for attempt in self.attempts.select(in_span) {
            changes.push((attempt.at, 1));
            changes.push((attempt.ended_at.unwrap_or(now), -1));
        }
        // Of one moment, ends come first: their capacity is free by then.
        changes.sort_unstable();
        let (mut in_flight, mut max) = (0, 0);
        for (at, change) in changes {
            in_flight += change;
            if at >= from && at < to {
                max = max.max(in_flight);
            }
        }
        max as usize
    }
}

/// The most moments within any window of a length.
fn max_count_within(moments: &[Duration], window: Duration) -> usize {
    let mut first = 0;
    let mut max = 0;
    for (last, end) in moments.iter().enumerate() {
        while moments[first] + window < *end {
            first += 1;
        }
        max = max.max(last - first + 1);
    }
    max
}
