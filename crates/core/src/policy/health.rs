//! Health of one chunk server, one notion for every kind of failure, and the probes of a suspect.

use std::hash::{Hash, Hasher};

use super::{MILLISECOND, SECOND};
use crate::interface::{Nanos, Outcome};

/// A server is silent after this multiple of the longest latency expected of a request in flight.
const SILENCE_RATIO: f64 = 4.0;
/// The least time without an answer that counts as silence.
pub(super) const SILENCE_MIN: Nanos = 150 * MILLISECOND;
/// Losses in a row that make a server suspect; one or two are chance where a third of the packets
/// is lost.
const SUSPECT_AFTER_LOSSES: u32 = 3;
/// The time until the first probe of a suspect, and between the first two.
const PROBE_INTERVAL_MIN: Nanos = 200 * MILLISECOND;
/// The most time between two probes of few fronts.
const PROBE_INTERVAL_MAX: Nanos = SECOND;
/// Probes per second of all fronts together, where the longest interval would allow more.
const FLEET_PROBES_PER_SECOND: Nanos = 10;

/// Whether a chunk server is trusted, whatever the kind of failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Health {
    /// It takes regular requests.
    Healthy,
    /// It does not answer or its connections fail: it gets probe requests only.
    Suspect,
}

/// The health of a server and what it is judged by.
#[derive(Clone, Debug)]
pub(crate) struct HealthState {
    health: Health,
    /// Lost attempts since the last answer.
    consecutive_losses: u32,
    last_answer_at: Nanos,
    /// Send time of the latest-sent attempt that was answered.
    newest_answered_send: Nanos,
    /// When a suspect may be probed next.
    probe_at: Nanos,
    /// The time between two probes.
    probe_interval: Nanos,
}

impl HealthState {
    /// A server without failures.
    pub fn new(now: Nanos) -> HealthState {
        HealthState {
            health: Health::Healthy,
            consecutive_losses: 0,
            last_answer_at: now,
            newest_answered_send: 0,
            probe_at: 0,
            probe_interval: 0,
        }
    }

    /// Whether the server takes regular requests.
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// When the server last answered, or a pause of this front ended.
    pub fn last_answer_at(&self) -> Nanos {
        self.last_answer_at
    }

    /// Send time of the latest-sent attempt that was answered. Servers answer in order: an attempt
    /// sent before it that has no answer is lost.
    pub fn newest_answered_send(&self) -> Nanos {
        self.newest_answered_send
    }

    /// Updates the health by the end of an attempt. Returns whether the server has recovered.
    pub fn record_outcome(&mut self, now: Nanos, outcome: Outcome, sent_at: Nanos) -> bool {
        let was_healthy = self.is_healthy();
        match outcome {
            Outcome::Served | Outcome::Error => self.record_answer(now, sent_at),
            Outcome::NotExecuted => {
                self.consecutive_losses += 1;
                self.mark_suspect(now);
            }
            Outcome::Reset | Outcome::TimedOut | Outcome::Rejected => self.record_loss(now),
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        !was_healthy && self.is_healthy()
    }

    /// Makes a healthy server a suspect.
    pub fn mark_suspect(&mut self, now: Nanos) {
        if self.is_healthy() {
            self.health = Health::Suspect;
            self.probe_interval = PROBE_INTERVAL_MIN;
            self.probe_at = now + self.probe_interval;
        }
    }

    /// Whether nothing was answered for longer than the longest request in flight should take, by
    /// the send time of the oldest request in flight and the longest latency expected.
    pub fn is_silent(&self, now: Nanos, oldest_sent_at: Nanos, expected_latency: f64) -> bool {
        let silence = now - oldest_sent_at.max(self.last_answer_at);
        let longest_silence = (expected_latency * SILENCE_RATIO) as Nanos;
        silence > longest_silence.max(SILENCE_MIN)
    }

    /// Takes a pause of this front for no silence of the server.
    pub fn restart_silence(&mut self, now: Nanos) {
        self.last_answer_at = now;
    }

    /// Whether a suspect may be probed by its own schedule.
    pub fn is_probe_due(&self, now: Nanos) -> bool {
        now >= self.probe_at
    }

    /// Schedules the next probe of a suspect after one was sent. `jitter` is a factor on the
    /// interval.
    pub fn schedule_probe(&mut self, now: Nanos, jitter: f64, front_count: u32) {
        if self.is_healthy() {
            return;
        }
        let fleet_interval = i64::from(front_count) * SECOND / FLEET_PROBES_PER_SECOND;
        self.probe_at = now + (self.probe_interval as f64 * jitter) as Nanos;
        self.probe_interval = (self.probe_interval * 2).min(PROBE_INTERVAL_MAX.max(fleet_interval));
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (self.health, self.consecutive_losses).hash(hasher);
        (now - self.last_answer_at, now - self.newest_answered_send).hash(hasher);
        (now - self.probe_at, self.probe_interval).hash(hasher);
    }

    fn record_answer(&mut self, now: Nanos, sent_at: Nanos) {
        self.last_answer_at = now;
        self.newest_answered_send = self.newest_answered_send.max(sent_at);
        self.consecutive_losses = 0;
        self.health = Health::Healthy;
    }

    /// A lost answer says little: the work was done, and a dead server shows with the next attempt.
    fn record_loss(&mut self, now: Nanos) {
        self.consecutive_losses += 1;
        if self.consecutive_losses >= SUSPECT_AFTER_LOSSES {
            self.mark_suspect(now);
        }
    }
}
