//! A hash of the state, for the model checker, which takes states with the same fingerprint for the
//! same state.

use std::hash::{Hash, Hasher};

use crate::interface::Nanos;
use crate::state::statistics::Rate;
use crate::state::{Admission, ClientPatience, LiveRequest, Node, Scheduler, Volume};

impl Scheduler {
    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (now - self.now, self.started, self.random.get_seed()).hash(h);
        for (id, node) in &self.nodes {
            id.hash(h);
            node.fingerprint(now, h);
        }
        (&self.shards, &self.queues).hash(h);
        for (id, live) in &self.live {
            id.hash(h);
            live.fingerprint(now, h);
        }
        for (id, volume) in &self.volumes {
            id.hash(h);
            volume.fingerprint(now, h);
        }
        for (id, limit) in &self.assigned_limits {
            (id, limit.rate.to_bits(), limit.burst.to_bits()).hash(h);
        }
        self.fleet_limits.fingerprint(now, h);
        for (key, queue) in &self.key_queues {
            (key, &queue.requests, (now - queue.settles_at).min(0)).hash(h);
        }
        hash_floats(&self.unit_cost, h);
        self.retries_sent
            .iter()
            .chain(&self.requests_received)
            .for_each(|at| (now - at).hash(h));
        (self.retries_sent.len(), &self.max_patience).hash(h);
        self.client_patience
            .iter()
            .for_each(|patience| patience.fingerprint(now, h));
        self.admission.fingerprint(now, h);
        (self.warmup_factor.to_bits(), self.mean_warm_rate.to_bits()).hash(h);
        (now - self.last_second_at, now - self.last_tick_at).hash(h);
        (
            self.last_max_latency.map(f64::to_bits),
            self.rebalancing_paused,
        )
            .hash(h);
        (self.subscribe_at.map(|at| now - at), self.subscribe_backoff).hash(h);
        let shuts_down = self.shutdown_deadline < Nanos::MAX;
        shuts_down.then(|| self.shutdown_deadline - now).hash(h);
    }
}

impl Node {
    fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (
            self.shard,
            self.zone,
            self.listed,
            self.health,
            self.consecutive_losses,
        )
            .hash(h);
        (
            self.warmup_since.map(|since| now - since),
            now - self.warmup_until,
        )
            .hash(h);
        let floats = [
            self.warmup_budget,
            self.warm_rate,
            self.base_weight,
            self.weight,
            self.slow_latency,
            self.uncongested_latency,
            self.tightest_objective,
            self.admission_credit,
            self.window,
            self.min_window,
            self.best_latency.current,
            self.best_latency.previous,
        ];
        hash_floats(&floats, h);
        self.served_rate.fingerprint(now, h);
        (
            self.fast_latency.map(f64::to_bits),
            now - self.best_latency.span_started_at,
        )
            .hash(h);
        (now - self.latency_updated_at, now - self.period_started_at).hash(h);
        (self.period_congested, self.window_reduced).hash(h);
        (now - self.last_answer_at, now - self.newest_answered_send).hash(h);
        (now - self.probe_at, self.probe_interval).hash(h);
        for send in &self.warmup_sends {
            (now - send.sent_at, send.units.to_bits()).hash(h);
        }
        for (key, sent) in &self.in_flight {
            (key, now - sent.sent_at, sent.expected_latency.to_bits()).hash(h);
            (now - sent.due_at, sent.counted).hash(h);
        }
        self.limits.fingerprint(now, h);
        self.ejection.fingerprint(now, h);
    }
}

impl LiveRequest {
    fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (
            self.shard,
            now - self.received_at,
            now - self.objective_at,
            now - self.deadline_at,
        )
            .hash(h);
        (self.attempts, self.in_flight, self.max_attempts).hash(h);
        self.possible_execution
            .map(|first| (now - first.sent_at, first.node))
            .hash(h);
        (now - self.not_before, self.queued, self.finished).hash(h);
    }
}

impl Volume {
    fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        self.limit
            .as_ref()
            .map(|limit| limit.level_at(now).to_bits())
            .hash(h);
        (
            self.reserve.level_at(now).to_bits(),
            self.fair_share.to_bits(),
        )
            .hash(h);
        self.excess_rate.fingerprint(now, h);
    }
}

impl ClientPatience {
    fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (
            self.typical_wait.to_bits(),
            self.abandon_ratio.to_bits(),
            now - self.updated_at,
        )
            .hash(h);
    }
}

impl Admission {
    fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (
            self.rate_limit.map(f64::to_bits),
            self.failure_ratio.to_bits(),
        )
            .hash(h);
        for rate in [
            &self.uncredited_requests,
            &self.results,
            &self.uncredited_sends,
        ] {
            rate.fingerprint(now, h);
        }
        self.recent_values
            .iter()
            .for_each(|value| value.to_bits().hash(h));
    }
}

impl Rate {
    fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        (self.per_second.to_bits(), now - self.at).hash(h);
    }
}

fn hash_floats<H: Hasher>(values: &[f64], h: &mut H) {
    values.iter().for_each(|value| value.to_bits().hash(h));
}
