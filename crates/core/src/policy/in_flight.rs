//! The attempts in flight at one chunk server, and when an attempt counts as failed.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::health::SILENCE_MIN;
use crate::interface::{Nanos, Outcome, RequestId, Settings};
use crate::mutations::{mutated, Mutation};

/// Fraction of the tightest latency objective after which an attempt of mean size counts as failed,
/// though not before [`SILENCE_MIN`].
const FAILED_OBJECTIVE_FRACTION: f64 = 0.6;

/// Identifies one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct AttemptKey {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within its request, from 0.
    pub attempt: u32,
}

impl AttemptKey {
    /// Creates the key of attempt number `attempt` of `request`.
    pub fn new(request: RequestId, attempt: u32) -> AttemptKey {
        AttemptKey { request, attempt }
    }
}

/// What is recorded of an attempt when it is sent.
#[derive(Clone, Debug)]
pub(crate) struct SentAttempt {
    sent_at: Nanos,
    /// Index of the request class.
    class: usize,
    /// Latency expected when it was sent, in nanoseconds.
    expected_latency: f64,
    /// Time after which it counts as failed.
    due_at: Nanos,
    /// Whether it was already found overdue while in flight.
    is_counted: bool,
    /// When its response began, if that is known and the response was not complete then.
    response_began_at: Option<Nanos>,
    /// Whether its response is passed on while its server pauses.
    is_paused: bool,
}

impl SentAttempt {
    /// Creates the record of an attempt of a request class that is sent now. `expected_latency` is
    /// in nanoseconds; after `due_at` the attempt counts as failed.
    pub fn new(now: Nanos, class: usize, expected_latency: f64, due_at: Nanos) -> SentAttempt {
        SentAttempt {
            sent_at: now,
            class,
            expected_latency,
            due_at,
            is_counted: false,
            response_began_at: None,
            is_paused: false,
        }
    }

    /// Returns whether its response was passed on while its server paused, so that it says nothing
    /// about the server yet.
    pub fn is_paused(&self) -> bool {
        self.is_paused
    }

    /// Returns how long the server took to begin its response, given the time `took` until the end
    /// of the attempt.
    pub fn response_latency(&self, took: Nanos) -> Nanos {
        self.response_began_at
            .map_or(took, |began_at| took.min(began_at - self.sent_at))
    }

    /// Returns when the attempt was sent.
    pub fn sent_at(&self) -> Nanos {
        self.sent_at
    }

    /// Returns whether the attempt was answered in time, given its outcome and duration. Returns
    /// `None` if the outcome says nothing about the server's load, if the attempt was already found
    /// overdue, or if it was lost in transit, as the answer to a later attempt shows.
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

/// The result of an attempt, for admission control and ejection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptResult {
    /// Index of the request class.
    pub class: usize,
    /// Whether the attempt was not answered in time.
    pub failed: bool,
}

/// Returns the time after which an attempt sent now counts as failed: a fraction of the tightest
/// objective later, scaled by the request's latency relative to that of the mean request.
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
    /// Returns the number of attempts in flight.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt when it is sent.
    pub fn insert(&mut self, key: AttemptKey, sent: SentAttempt) {
        self.attempts.insert(key, sent);
    }

    /// Removes and returns an attempt that has ended.
    pub fn take(&mut self, key: AttemptKey) -> Option<SentAttempt> {
        if mutated(Mutation::EndedStaysInFlight) {
            self.attempts.get(&key).cloned()
        } else {
            self.attempts.remove(&key)
        }
    }

    /// Records when the response of an attempt began.
    pub fn record_response(&mut self, key: AttemptKey, began_at: Nanos) {
        if let Some(sent) = self.attempts.get_mut(&key) {
            sent.response_began_at = Some(began_at);
        }
    }

    /// Records that the response of an attempt is passed on while its server pauses.
    pub fn record_pause(&mut self, key: AttemptKey) {
        if let Some(sent) = self.attempts.get_mut(&key) {
            sent.is_paused = true;
        }
    }

    /// Returns the number of attempts that still occupy the server. An attempt sent before an
    /// answered one is lost and no longer counts against the window.
    pub fn pending(&self, newest_answered_send: Nanos) -> usize {
        self.attempts
            .values()
            .filter(|sent| sent.sent_at >= newest_answered_send)
            .count()
    }

    /// Returns when the oldest attempt without a response was sent.
    pub fn oldest_unanswered_at(&self) -> Option<Nanos> {
        self.unanswered().map(|sent| sent.sent_at).min()
    }

    /// Returns the longest latency expected of any attempt without a response, but at least
    /// `minimum`. Both are in nanoseconds.
    pub fn longest_expected_latency(&self, minimum: f64) -> f64 {
        let expected = self.unanswered().map(|sent| sent.expected_latency);
        expected.fold(minimum, f64::max)
    }

    fn unanswered(&self) -> impl Iterator<Item = &SentAttempt> {
        self.attempts
            .values()
            .filter(|sent| sent.response_began_at.is_none())
    }

    /// Extends the due times of all attempts by the length of a pause of this front.
    pub fn extend_due_times(&mut self, pause: Nanos) {
        for sent in self.attempts.values_mut() {
            sent.due_at += pause;
        }
    }

    /// Marks the overdue attempts as counted and calls `on_failure` with the class of each that
    /// indicates load. One sent before an answered attempt was lost in transit and does not.
    pub fn count_overdue(
        &mut self,
        now: Nanos,
        newest_answered_send: Nanos,
        mut on_failure: impl FnMut(usize),
    ) {
        let overdue = |sent: &&mut SentAttempt| {
            !sent.is_counted && sent.response_began_at.is_none() && now > sent.due_at
        };
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
            let began_at = sent.response_began_at.map(|began_at| now - began_at);
            (began_at, sent.is_paused).hash(hasher);
        }
    }
}
