//! The attempts in flight at one chunk server, and when one of them counts as failed.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::health::SILENCE_MIN;
use crate::interface::{Nanos, Outcome, RequestId, Settings};
use crate::mutations::{mutated, Mutation};

/// An attempt in flight for this fraction of the tightest objective, and for a silence, has failed.
const FAILED_OBJECTIVE_FRACTION: f64 = 0.6;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub attempt: u32,
}

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    sent_at: Nanos,
    class: usize,
    /// In nanoseconds.
    expected_latency: f64,
    /// After this time it counts as failed.
    due_at: Nanos,
    /// Whether it was already counted as failed while in flight.
    is_counted: bool,
}

impl SentAttempt {
    /// An attempt of a request class that is sent now, with its expected latency in nanoseconds and
    /// the time after which it counts as failed.
    pub fn new(now: Nanos, class: usize, expected_latency: f64, due_at: Nanos) -> SentAttempt {
        SentAttempt {
            sent_at: now,
            class,
            expected_latency,
            due_at,
            is_counted: false,
        }
    }

    /// When it was sent.
    pub fn sent_at(&self) -> Nanos {
        self.sent_at
    }

    /// Whether it failed to be answered in time, by its end. Absent if its end says nothing about
    /// the server's load, if it was counted while in flight, or if an answer to a later one shows
    /// that it was lost on its way.
    pub fn result(
        &self,
        outcome: Outcome,
        took: Nanos,
        newest_answered_send: Nanos,
    ) -> Option<AttemptResult> {
        let shows_load = matches!(
            outcome,
            Outcome::Served | Outcome::Rejected | Outcome::TimedOut
        );
        if !shows_load || self.is_counted || self.sent_at < newest_answered_send {
            return None;
        }
        let is_late = self.sent_at + took > self.due_at;
        Some(AttemptResult {
            class: self.class,
            failed: outcome != Outcome::Served || is_late,
        })
    }
}

/// The result of an attempt, for admission control.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    /// The request class.
    pub class: usize,
    /// Whether it failed to be answered in time.
    pub failed: bool,
}

/// When an attempt sent now counts as failed: after a fraction of the tightest objective, scaled to
/// its work by its latency relative to that of the mean request.
pub(crate) fn failure_due_at(now: Nanos, settings: &Settings, relative_latency: f64) -> Nanos {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    let tightest = objectives.min().unwrap_or(0);
    let time = (tightest as f64 * FAILED_OBJECTIVE_FRACTION).max(SILENCE_MIN as f64);
    now + (time * relative_latency.max(1.0)) as Nanos
}

/// The attempts in flight at one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightAttempts {
    attempts: BTreeMap<AttemptKey, SentAttempt>,
}

impl InFlightAttempts {
    /// The number of attempts.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt that is sent.
    pub fn insert(&mut self, key: AttemptKey, sent: SentAttempt) {
        self.attempts.insert(key, sent);
    }

    /// Takes out an attempt that has ended.
    pub fn take(&mut self, key: AttemptKey) -> Option<SentAttempt> {
        if mutated(Mutation::EndedStaysInFlight) {
            self.attempts.get(&key).cloned()
        } else {
            self.attempts.remove(&key)
        }
    }

    /// The number of attempts that still take up the server. One sent before another that was
    /// answered is lost and frees its place.
    pub fn pending(&self, newest_answered_send: Nanos) -> usize {
        self.attempts
            .values()
            .filter(|sent| sent.sent_at >= newest_answered_send)
            .count()
    }

    /// When the oldest attempt was sent.
    pub fn oldest_sent_at(&self) -> Option<Nanos> {
        self.attempts.values().map(|sent| sent.sent_at).min()
    }

    /// The longest latency expected of an attempt in nanoseconds, and at least `least`.
    pub fn longest_expected_latency(&self, least: f64) -> f64 {
        let expected = self.attempts.values().map(|sent| sent.expected_latency);
        expected.fold(least, f64::max)
    }

    /// Gives all attempts more time until they count as failed.
    pub fn extend_due_times(&mut self, pause: Nanos) {
        for sent in self.attempts.values_mut() {
            sent.due_at += pause;
        }
    }

    /// Marks the overdue attempts as counted and calls `on_failure` with the class of each that
    /// shows load. One that a later one overtook was lost on its way, which does not.
    pub fn count_overdue(
        &mut self,
        now: Nanos,
        newest_answered_send: Nanos,
        mut on_failure: impl FnMut(usize),
    ) {
        let overdue = |sent: &&mut SentAttempt| !sent.is_counted && now > sent.due_at;
        for sent in self.attempts.values_mut().filter(overdue) {
            sent.is_counted = true;
            if sent.sent_at >= newest_answered_send {
                on_failure(sent.class);
            }
        }
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (key, sent) in &self.attempts {
            let expected_latency = sent.expected_latency.to_bits();
            (key, now - sent.sent_at, expected_latency).hash(hasher);
            (now - sent.due_at, sent.is_counted).hash(hasher);
        }
    }
}
