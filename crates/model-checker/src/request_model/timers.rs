//! The timers that the decision module has set.

use std::hash::{Hash, Hasher};

use tulipbridge_core::Nanos;

/// A timer that the decision module has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Timer {
    due: Nanos,
    cookie: u64,
}

/// All timers, at most one for each cookie, in the order in which they were set.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    timers: Vec<Timer>,
}

impl Timers {
    /// Sets the timer with this cookie, in place of an earlier one.
    pub(super) fn set(&mut self, due: Nanos, cookie: u64) {
        self.clear(cookie);
        self.timers.push(Timer { due, cookie });
    }

    /// Removes the timer with this cookie.
    pub(super) fn clear(&mut self, cookie: u64) {
        self.timers.retain(|timer| timer.cookie != cookie);
    }

    /// The cookies of the timers that are due.
    pub(super) fn due(&self, now: Nanos) -> impl Iterator<Item = u64> + '_ {
        let due = self.timers.iter().filter(move |timer| now >= timer.due);
        due.map(|timer| timer.cookie)
    }

    /// Hashes all timers, with points in time relative to `now`.
    pub(super) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for timer in &self.timers {
            (now - timer.due, timer.cookie).hash(hasher);
        }
    }
}
