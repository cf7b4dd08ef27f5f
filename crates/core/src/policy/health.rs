//! Health of a chunk server, one notion for every kind of failure, and the probes of a suspect.

use super::{congestion::WINDOW_CUT_MAX, Actions, MILLISECOND, SECOND};
use crate::interface::{Action, Nanos, NodeId, Outcome, RuntimeCommand};
use crate::state::{Health, Node, Scheduler};

const SILENCE_RATIO: f64 = 4.0;
pub(super) const SILENCE_MIN: Nanos = 150 * MILLISECOND;
/// Losses in a row that make a server suspect; one or two are chance where a third of the packets
/// is lost.
const SUSPECT_AFTER_LOSSES: u32 = 3;
const REJECTION_OBJECTIVE_RATIO: f64 = 1.5;
const PROBE_INTERVAL_MIN: Nanos = 200 * MILLISECOND;
const PROBE_INTERVAL_MAX: Nanos = SECOND;
/// Probes per second of all fronts together, where the longest interval would allow more.
const FLEET_PROBES_PER_SECOND: Nanos = 10;

impl Node {
    fn mark_suspect(&mut self, now: Nanos) {
        if self.is_healthy() {
            self.health = Health::Suspect;
            self.probe_interval = PROBE_INTERVAL_MIN;
            self.probe_at = now + self.probe_interval;
        }
    }

    /// Whether nothing was answered for longer than the longest request in flight should take.
    fn is_silent(&self, now: Nanos) -> bool {
        let Some(oldest) = self.in_flight.values().map(|sent| sent.sent_at).min() else {
            return false;
        };
        let expected = self.in_flight.values().map(|sent| sent.expected_latency);
        let expected = expected.fold(self.slow_latency, f64::max);
        let silence = now - oldest.max(self.last_answer_at);
        silence > ((expected * SILENCE_RATIO) as Nanos).max(SILENCE_MIN)
    }
}

impl Scheduler {
    /// A pause of this front is no silence of the servers. If timers are always late, failures show
    /// later.
    pub(super) fn forgive_local_pause(&mut self, pause: Nanos) {
        for node in self.nodes.values_mut() {
            node.last_answer_at = self.now;
            node.in_flight
                .values_mut()
                .for_each(|sent| sent.due_at += pause);
        }
    }

    /// Marks silent servers as suspect: guards against hangs, partitions, dead machines and long
    /// stalls.
    pub(super) fn detect_silence(&mut self, actions: &mut Actions) {
        let (now, span) = (self.now, self.settings.overload_window());
        for id in &self.active_nodes {
            let Some(node) = self.nodes.get_mut(id) else {
                continue;
            };
            if node.is_silent(now) {
                if node.is_healthy() {
                    actions.push(Action::Runtime(RuntimeCommand::Log {
                        text: "node is silent",
                        node: *id,
                    }));
                }
                node.mark_suspect(now);
                node.period_congested = true;
            }
            node.end_period(now);
            node.expire_warmup(now, span);
        }
        self.retire_resting_nodes();
    }

    /// Updates health after an attempt and returns a log line if the server has recovered. A
    /// failure, however quick, marks the period as congested.
    pub(super) fn update_health(
        &mut self,
        at: NodeId,
        outcome: Outcome,
        sent_at: Nanos,
    ) -> Option<Action> {
        let node = self.nodes.get_mut(&at)?;
        if matches!(outcome, Outcome::Rejected | Outcome::TimedOut) {
            node.reduce_window(WINDOW_CUT_MAX);
        }
        // A rejection means a full queue: a latency above the tightest objective, though it comes
        // at once.
        if outcome == Outcome::Rejected && node.tightest_objective.is_finite() {
            let latency = node.tightest_objective * REJECTION_OBJECTIVE_RATIO;
            node.fast_latency = Some(node.fast_latency.unwrap_or(0.0).max(latency));
        }
        let was_healthy = node.is_healthy();
        match outcome {
            Outcome::Served | Outcome::Error => {
                node.record_answer(self.now, sent_at);
                node.health = Health::Healthy;
            }
            // A lost answer says little: the work was done, and a dead server shows with the next
            // attempt.
            Outcome::NotExecuted | Outcome::Reset | Outcome::TimedOut | Outcome::Rejected => {
                node.consecutive_losses += 1;
                if outcome == Outcome::NotExecuted
                    || node.consecutive_losses >= SUSPECT_AFTER_LOSSES
                {
                    node.mark_suspect(self.now);
                }
            }
            Outcome::Cancelled | Outcome::NotSent => {}
        }
        node.period_congested |= !matches!(
            outcome,
            Outcome::Served | Outcome::NotSent | Outcome::Cancelled
        );
        node.end_period(self.now);
        (!was_healthy && node.is_healthy()).then_some(Action::Runtime(RuntimeCommand::Log {
            text: "node answers again",
            node: at,
        }))
    }

    /// Schedules the next probe of a suspect after one was sent, with jitter.
    pub(super) fn schedule_probe(&mut self, at: NodeId, jitter: f64) {
        let fleet_interval = i64::from(self.settings.initiators) * SECOND / FLEET_PROBES_PER_SECOND;
        let Some(node) = self.nodes.get_mut(&at).filter(|node| !node.is_healthy()) else {
            return;
        };
        node.probe_at = self.now + (node.probe_interval as f64 * jitter) as Nanos;
        node.probe_interval = (node.probe_interval * 2).min(PROBE_INTERVAL_MAX.max(fleet_interval));
    }
}
