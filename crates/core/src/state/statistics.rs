//! Estimators shared by the decisions: decaying rates, moving averages, a sliding minimum, a
//! weighted choice. Their time constants are chosen by the callers.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;

/// A rate per second that decays exponentially with a given time constant, in nanoseconds.
#[derive(Clone, Debug, Default)]
pub struct Rate {
    /// The rate at `updated_at`.
    per_second: f64,
    /// When an amount was last added.
    updated_at: Nanos,
}

impl Rate {
    /// A rate of zero.
    pub fn new(now: Nanos) -> Rate {
        Rate {
            per_second: 0.0,
            updated_at: now,
        }
    }

    /// The rate at `now`.
    pub fn now(&self, now: Nanos, memory: f64) -> f64 {
        decayed(self.per_second, now - self.updated_at, memory)
    }

    /// Counts one event and returns the rate.
    pub fn count(&mut self, now: Nanos, memory: f64) -> f64 {
        self.add(now, 1.0, memory)
    }

    /// Adds an amount and returns the rate.
    pub fn add(&mut self, now: Nanos, amount: f64, memory: f64) -> f64 {
        self.per_second = self.now(now, memory) + amount * (1e9 / memory);
        self.updated_at = now;
        self.per_second
    }

    /// When an amount was last added.
    pub fn updated_at(&self) -> Nanos {
        self.updated_at
    }

    /// Hashes the rate, with times relative to `now`.
    pub(crate) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.per_second.to_bits().hash(hasher);
        (now - self.updated_at).hash(hasher);
    }
}

/// What is left of a value after some time, decaying with the time constant `memory` in
/// nanoseconds.
pub fn decayed(value: f64, elapsed: Nanos, memory: f64) -> f64 {
    value * (-(elapsed.max(0) as f64) / memory).exp()
}

/// The minimum over the current and the previous span of time; infinite without values.
#[derive(Clone, Debug)]
pub struct SlidingMinimum {
    current: f64,
    previous: f64,
    span_started_at: Nanos,
}

impl SlidingMinimum {
    /// A minimum without values whose first span starts at `now`.
    pub fn new(now: Nanos) -> SlidingMinimum {
        SlidingMinimum {
            current: f64::INFINITY,
            previous: f64::INFINITY,
            span_started_at: now,
        }
    }

    /// Forgets all values; the span goes on.
    pub fn clear(&mut self) {
        self.current = f64::INFINITY;
        self.previous = f64::INFINITY;
    }

    /// Records a value, after starting another span when the current one is longer than `span`.
    pub fn record(&mut self, now: Nanos, value: f64, span: Nanos) {
        if now - self.span_started_at > span {
            self.previous = self.current;
            self.current = f64::INFINITY;
            self.span_started_at = now;
        }
        self.current = self.current.min(value);
    }

    /// The minimum of both spans.
    pub fn minimum(&self) -> f64 {
        self.current.min(self.previous)
    }

    /// Hashes all that later minima depend on, with times relative to `now`.
    pub(crate) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        self.current.to_bits().hash(hasher);
        self.previous.to_bits().hash(hasher);
        (now - self.span_started_at).hash(hasher);
    }
}

/// An exponentially weighted moving average that starts at its first value.
pub fn moving_average(old: f64, alpha: f64, new: f64) -> f64 {
    if old > 0.0 {
        old + alpha * (new - old)
    } else {
        new
    }
}

/// The weight of a new value in a moving average that also ages by time: at least `alpha`, more
/// after a long pause.
pub fn time_aware_alpha(alpha: f64, elapsed: Nanos, time_constant: Nanos) -> f64 {
    alpha.max(1.0 - (-(elapsed.max(0) as f64) / time_constant as f64).exp())
}

/// The arithmetic mean; absent without items.
pub fn mean(items: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = items.fold((0.0, 0u32), |(sum, count), item| (sum + item, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Chooses an item with a probability proportional to its weight; `draw` is uniform in 0..1.
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
