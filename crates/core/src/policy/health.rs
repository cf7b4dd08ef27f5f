//! Health of one chunk server, and the probe schedule of a suspect server.
//!
//! One health state covers every kind of failure.

use std::hash::{Hash, Hasher};

use super::{MILLISECOND, SECOND};
use crate::interface::{Nanos, Outcome};

/// A server is silent if it has not answered for this multiple of the longest latency expected of a
/// request in flight.
const SILENCE_RATIO: f64 = 4.0;
/// Minimum time without an answer that counts as silence.
pub(super) const SILENCE_MIN: Nanos = 150 * MILLISECOND;
/// Number of consecutive losses that make a server suspect. One or two may be chance on a network
/// that loses a third of the packets.
const SUSPECT_AFTER_LOSSES: u32 = 3;
/// The time until the first probe of a suspect server, and between the first two probes.
const PROBE_INTERVAL_MIN: Nanos = 200 * MILLISECOND;
/// Maximum time between two probes of one front, unless the fleet's probe rate requires more.
const PROBE_INTERVAL_MAX: Nanos = SECOND;
/// Probes per second that a suspect server gets from all fronts together at the longest interval,
/// if [`PROBE_INTERVAL_MAX`] would allow more.
const FLEET_PROBES_PER_SECOND: Nanos = 10;

/// Whether a chunk server is trusted with regular requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Health {
    /// It takes regular requests.
    Healthy,
    /// It does not answer or its connections fail; it gets only probe requests.
    Suspect,
}

/// The health of a server, the observations behind it, and the probe schedule.
#[derive(Clone, Debug)]
pub(crate) struct HealthState {
    health: Health,
    /// Lost attempts since the last answer.
    consecutive_losses: u32,
    /// When the server last answered, or a pause of this front ended.
    last_answer_at: Nanos,
    /// Send time of the latest-sent attempt that was answered.
    newest_answered_send: Nanos,
    /// When a suspect server may be probed next.
    probe_at: Nanos,
    /// The time from the next probe to the one after it, before jitter; it doubles up to a maximum.
    probe_interval: Nanos,
}

impl HealthState {
    /// Creates the state of a healthy server without failures.
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

    /// Returns whether the server takes regular requests.
    pub fn is_healthy(&self) -> bool {
        self.health == Health::Healthy
    }

    /// Returns when the server last answered, or a pause of this front ended.
    pub fn last_answer_at(&self) -> Nanos {
        self.last_answer_at
    }

    /// Returns the send time of the latest-sent attempt that was answered. Servers answer in order,
    /// so an attempt that was sent earlier and has no answer is lost.
    pub fn newest_answered_send(&self) -> Nanos {
        self.newest_answered_send
    }

    /// Updates the health with the outcome of an attempt. Returns whether the server has recovered.
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

    /// Marks a healthy server as suspect and schedules its first probe.
    pub fn mark_suspect(&mut self, now: Nanos) {
        if self.is_healthy() {
            self.health = Health::Suspect;
            self.probe_interval = PROBE_INTERVAL_MIN;
            self.probe_at = now + self.probe_interval;
        }
    }

    /// Returns whether the server has not answered for much longer than the slowest request in
    /// flight should take. `oldest_sent_at` is the send time of the oldest request in flight,
    /// `expected_latency` the longest latency expected of one, in nanoseconds.
    pub fn is_silent(&self, now: Nanos, oldest_sent_at: Nanos, expected_latency: f64) -> bool {
        let silence = now - oldest_sent_at.max(self.last_answer_at);
        let longest_silence = (expected_latency * SILENCE_RATIO) as Nanos;
        silence > longest_silence.max(SILENCE_MIN)
    }

    /// Records that the server gave a sign of life at `at`, which is not a complete answer.
    pub fn end_silence(&mut self, at: Nanos) {
        self.last_answer_at = self.last_answer_at.max(at);
    }

    /// Restarts the measurement of silence, after a pause of this front.
    pub fn restart_silence(&mut self, now: Nanos) {
        self.last_answer_at = now;
    }

    /// Returns whether the probe schedule of a suspect server allows a probe now.
    pub fn is_probe_due(&self, now: Nanos) -> bool {
        now >= self.probe_at
    }

    /// Schedules the next probe of a suspect server after one was sent. `jitter` is a factor on the
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

    /// Records a lost attempt. A single loss is weak evidence: the server may have executed the
    /// work, and if the server is dead, the next attempts fail as well.
    fn record_loss(&mut self, now: Nanos) {
        self.consecutive_losses += 1;
        if self.consecutive_losses >= SUSPECT_AFTER_LOSSES {
            self.mark_suspect(now);
        }
    }
}
