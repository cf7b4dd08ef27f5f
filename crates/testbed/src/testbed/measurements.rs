//! Comparing what chunk servers received with the limits of the fleet.

use std::ops::Range;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::chunk_server::Attempt;

/// By which factor a clock may run fast.
pub const CLOCK_DRIFT_FACTOR: f64 = 1.001;
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
                let allowed =
                    self.rate * (window + slack).as_secs_f64() * CLOCK_DRIFT_FACTOR + self.burst;
                worst = worst.max((last - first + 1) as f64 * self.units - allowed);
            }
        }
        worst
    }
}

/// The most moments within any window of a length. The moments are in their order.
pub fn max_count_within(moments: &[Duration], window: Duration) -> usize {
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

/// The start or the end of an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct InFlightChange {
    at: Duration,
    /// 1 at a start, -1 at an end. Of one moment, ends come first: their capacity is free by then.
    change: i32,
}

/// The most attempts in flight at any time within a span. Attempts that have not ended are in
/// flight until `now`.
pub fn max_in_flight(attempts: &[Attempt], span: Range<Duration>, now: Duration) -> usize {
    let mut changes: Vec<InFlightChange> = Vec::new();
    for attempt in attempts {
        changes.push(InFlightChange {
            at: attempt.at,
            change: 1,
        });
        changes.push(InFlightChange {
            at: attempt.ended_at.unwrap_or(now),
            change: -1,
        });
    }
    changes.sort_unstable();
    let mut in_flight = 0;
    let mut max = 0;
    for InFlightChange { at, change } in changes {
        in_flight += change;
        if span.contains(&at) {
            max = max.max(in_flight);
        }
    }
    max as usize
}
