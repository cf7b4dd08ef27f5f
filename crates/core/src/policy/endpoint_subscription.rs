//! When to subscribe to the endpoint list.

use std::hash::{Hash, Hasher};

use super::{MILLISECOND, SECOND};
use crate::interface::{Nanos, Settings};

/// The least backoff after a call that failed.
const BACKOFF_MIN: Nanos = 300 * MILLISECOND;
/// The most backoff, where the calls of all fronts take less than half of it.
const BACKOFF_MAX: Nanos = 3 * SECOND;
/// Time that discovery is given for the call of one front, as all may call at once.
const CALL_TIME_PER_FRONT: Nanos = 50 * MILLISECOND;
/// A call is made within this fraction of the poll interval at the latest.
const POLL_INTERVAL_FRACTION: f64 = 0.7;

/// The subscription of this front. Waits are spread at random, as all fronts start together and
/// lose discovery together.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndpointSubscription {
    /// When to subscribe, while that is due.
    subscribe_at: Option<Nanos>,
    backoff: Nanos,
}

impl EndpointSubscription {
    /// Schedules the first call. A list restored from disk serves meanwhile. `draw` is uniform in
    /// 0..1.
    pub fn schedule_first(&mut self, now: Nanos, settings: &Settings, draw: f64) {
        self.reset_backoff(settings);
        let wait = (draw * call_time_of_fleet(settings) as f64) as Nanos;
        self.subscribe_at = settings.polls_discovery.then_some(now + wait);
    }

    /// Schedules another call after one that failed. `draw` is uniform in 0..1.
    pub fn back_off(&mut self, now: Nanos, settings: &Settings, draw: f64) {
        let wait = (self.backoff as f64 * (0.5 + draw)) as Nanos;
        let interval = settings.poll_interval;
        let bound = if interval > 0 { interval } else { Nanos::MAX };
        let max_wait = (bound as f64 * POLL_INTERVAL_FRACTION) as Nanos;
        self.subscribe_at = Some(now + wait.min(max_wait));
        let max_backoff = BACKOFF_MAX.max(2 * call_time_of_fleet(settings));
        self.backoff = (self.backoff * 2).min(max_backoff);
    }

    /// Resets the backoff after a call that succeeded.
    pub fn reset_backoff(&mut self, settings: &Settings) {
        self.backoff = BACKOFF_MIN.max(call_time_of_fleet(settings) / 2);
    }

    /// Whether to subscribe now; true once for each scheduled call.
    pub fn take_due(&mut self, now: Nanos) -> bool {
        self.subscribe_at.take_if(|at| now >= *at).is_some()
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        let elapsed = self.subscribe_at.map(|at| now - at);
        (elapsed, self.backoff).hash(hasher);
    }
}

/// The time that discovery needs for a call of every front.
fn call_time_of_fleet(settings: &Settings) -> Nanos {
    i64::from(settings.front_count) * CALL_TIME_PER_FRONT
}
