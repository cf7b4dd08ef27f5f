//! Estimators for the decisions: decaying rates, moving averages, a sliding minimum and a weighted
//! choice. The callers provide the time constants.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;

/// A rate per second that decays exponentially. The caller passes the same time constant, in
/// nanoseconds, on each call.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// The rate at `updated_at`.
    per_second: f64,
    /// When an amount was last added, or when the rate was created.
    updated_at: Nanos,
}

impl Rate {
    /// Creates a rate of zero.
    pub fn new(now: Nanos) -> Rate {
        Rate {
            per_second: 0.0,
            updated_at: now,
        }
    }

    /// Returns the rate at `now`.
    pub fn now(&self, now: Nanos, time_constant: f64) -> f64 {
        decayed(self.per_second, now - self.updated_at, time_constant)
    }

    /// Counts one event and returns the rate.
    pub fn count(&mut self, now: Nanos, time_constant: f64) -> f64 {
        self.add(now, 1.0, time_constant)
    }

    /// Adds an amount and returns the rate.
    pub fn add(&mut self, now: Nanos, amount: f64, time_constant: f64) -> f64 {
        self.per_second = self.now(now, time_constant) + amount * (1e9 / time_constant);
        self.updated_at = now;
        self.per_second
    }

    /// Returns when an amount was last added, or when the rate was created.
    pub fn updated_at(&self) -> Nanos {
        self.updated_at
    }

    /// Hashes the rate, with times relative to `now`.
    pub(crate) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.per_second.to_bits().hash(hasher);
        (now - self.updated_at).hash(hasher);
    }
}

/// Returns a value after exponential decay for `elapsed` nanoseconds, with a time constant in
/// nanoseconds.
pub fn decayed(value: f64, elapsed: Nanos, time_constant: f64) -> f64 {
    value * (-(elapsed.max(0) as f64) / time_constant).exp()
}

/// The minimum of the values in the current and the previous span of time; infinite without values.
#[derive(Clone, Debug)]
pub struct SlidingMinimum {
    current: f64,
    previous: f64,
    span_started_at: Nanos,
}

impl SlidingMinimum {
    /// Creates a minimum without values whose first span starts at `now`.
    pub fn new(now: Nanos) -> SlidingMinimum {
        SlidingMinimum {
            current: f64::INFINITY,
            previous: f64::INFINITY,
            span_started_at: now,
        }
    }

    /// Drops all values and continues the current span.
    pub fn clear(&mut self) {
        self.current = f64::INFINITY;
        self.previous = f64::INFINITY;
    }

    /// Records a value. If the current span started more than `span` nanoseconds ago, starts a new
    /// one first.
    pub fn record(&mut self, now: Nanos, value: f64, span: Nanos) {
        if now - self.span_started_at > span {
            self.previous = self.current;
            self.current = f64::INFINITY;
            self.span_started_at = now;
        }
        self.current = self.current.min(value);
    }

    /// Returns the minimum over both spans.
    pub fn minimum(&self) -> f64 {
        self.current.min(self.previous)
    }

    /// Hashes all state that later minima depend on, with times relative to `now`.
    pub(crate) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.current.to_bits().hash(hasher);
        self.previous.to_bits().hash(hasher);
        (now - self.span_started_at).hash(hasher);
    }
}

/// Returns the exponentially weighted moving average `old` after the value `new`, whose weight is
/// `alpha`. An average of 0 has no value yet and becomes `new`.
pub fn moving_average(old: f64, alpha: f64, new: f64) -> f64 {
    if old > 0.0 {
        old + alpha * (new - old)
    } else {
        new
    }
}

/// Returns the weight of a new value in a moving average that also ages with time: at least
/// `alpha`, and more when `elapsed` is long relative to the time constant, both in nanoseconds.
pub fn time_aware_alpha(alpha: f64, elapsed: Nanos, time_constant: Nanos) -> f64 {
    alpha.max(1.0 - (-(elapsed.max(0) as f64) / time_constant as f64).exp())
}

/// Returns the arithmetic mean, or `None` without items.
pub fn mean(items: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = items.fold((0.0, 0u32), |(sum, count), item| (sum + item, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Chooses an item with a probability proportional to its weight, or returns `None` without items.
/// `draw` is uniform in 0..1.
pub fn weighted_choice<T: Copy>(draw: f64, items: &[(T, f64)]) -> Option<T> {
    let mut remaining = draw * items.iter().map(|(_, weight)| weight).sum::<f64>();
    let mut chosen = None;
    for &(item, weight) in items {
        chosen = Some(item);
        remaining -= weight;
        if remaining < 0.0 {
            break;
        }
    }
    chosen
}
