//! The schedule of this front's calls to subscribe to the endpoint list of discovery.

use std::hash::{Hash, Hasher};

use super::{MILLISECOND, SECOND};
use crate::interface::{Nanos, Settings};

/// Minimum backoff after a failed call.
const BACKOFF_MIN: Nanos = 300 * MILLISECOND;
/// Maximum backoff, unless the calls of all fronts together take more than half of it.
const BACKOFF_MAX: Nanos = 3 * SECOND;
/// Time allowed to discovery for the call of one front. The backoff scales with the number of
/// fronts, because all may call at once.
const CALL_TIME_PER_FRONT: Nanos = 50 * MILLISECOND;
/// Maximum wait before another call, as a fraction of the poll interval.
const POLL_INTERVAL_FRACTION: f64 = 0.7;

/// The schedule of calls to discovery. Waits are randomized because all fronts may start at the
/// same time and lose discovery at the same time.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointSubscription {
    /// Time of the next scheduled call; `None` if there is none.
    subscribe_at: Option<Nanos>,
    /// Mean wait after the next failed call; it doubles with each failure up to a maximum.
    backoff: Nanos,
}

impl EndpointSubscription {
    /// Schedules the first call if the settings have this front poll discovery. A list restored
    /// from disk is used until then. `draw` is a random number uniform in 0..1.
    pub fn schedule_first(&mut self, now: Nanos, settings: &Settings, draw: f64) {
        self.reset_backoff(settings);
        let wait = (draw * call_time_of_fleet(settings) as f64) as Nanos;
        self.subscribe_at = settings.polls_discovery.then_some(now + wait);
    }

    /// Schedules another call after one that failed, and doubles the backoff. `draw` is a random
    /// number uniform in 0..1.
    pub fn back_off(&mut self, now: Nanos, settings: &Settings, draw: f64) {
        let wait = (self.backoff as f64 * (0.5 + draw)) as Nanos;
        let interval = settings.poll_interval;
        let bound = if interval > 0 { interval } else { Nanos::MAX };
        let max_wait = (bound as f64 * POLL_INTERVAL_FRACTION) as Nanos;
        self.subscribe_at = Some(now + wait.min(max_wait));
        let max_backoff = BACKOFF_MAX.max(2 * call_time_of_fleet(settings));
        self.backoff = (self.backoff * 2).min(max_backoff);
    }

    /// Resets the backoff to its minimum after a successful call.
    pub fn reset_backoff(&mut self, settings: &Settings) {
        self.backoff = BACKOFF_MIN.max(call_time_of_fleet(settings) / 2);
    }

    /// Returns whether to subscribe now, and clears the schedule if so.
    pub fn take_due(&mut self, now: Nanos) -> bool {
        self.subscribe_at.take_if(|at| now >= *at).is_some()
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        let elapsed = self.subscribe_at.map(|at| now - at);
        (elapsed, self.backoff).hash(hasher);
    }
}

/// Returns the time allowed to discovery for one call of every front.
fn call_time_of_fleet(settings: &Settings) -> Nanos {
    i64::from(settings.front_count) * CALL_TIME_PER_FRONT
}
