//! Admission control by goodput over all chunk servers, as each of many fronts seldom meets one of
//! them. A timely answer earns its server the next request. Beyond these credits an AIMD rate limit
//! holds while many attempts fail, and admits the requests of the highest value. This prevents
//! congestion collapse. It also learns how long clients wait where they leave early, against work
//! for clients that are gone.

use super::{health::SILENCE_MIN, Actions, SECOND};
use crate::interface::{Action, Nanos, NodeId, Outcome, Request, RequestId, Semantics};
use crate::state::{moving_average, LiveRequest, Node, Scheduler, SentAttempt};

pub(super) const RATE_MEMORY_NS: f64 = 1e9;
const FAILURE_RATIO_ALPHA: f64 = 0.2;
const FAILURE_RATIO_MEMORY_NS: f64 = 6e8;
/// An attempt in flight for this fraction of the tightest objective, and for a silence, has failed.
const FAILED_OBJECTIVE_FRACTION: f64 = 0.6;
/// Up to this failure ratio some servers are in trouble, which is no reason to reject work for the
/// others.
const TOLERATED_FAILURE_RATIO: f64 = 0.3;
/// A success raises the limit by this fraction of the step by which a failure reduces it.
const RATE_LIMIT_GROWTH: f64 = 0.5;
/// The limit leaves all fronts together this many requests per second and server, to notice a
/// recovery.
const MIN_REQUESTS_PER_NODE: f64 = 3.0;
const MAX_CREDIT: f64 = 2.0;
const RANKED_RECENT_REQUESTS: usize = 64;
const SHORTER_WAIT_ALPHA: f64 = 0.1;
const LONGER_WAIT_ALPHA: f64 = 0.02;
const ABANDON_RATIO_ALPHA: f64 = 0.03;
const ABANDON_RATIO_MEMORY_NS: f64 = 2e10;
const ABANDON_RATIO_MIN: f64 = 0.3;
/// A client that leaves before this fraction of the objective did not wait for an answer.
const WAITED_OBJECTIVE_FRACTION: f64 = 0.25;
/// Each of two similar waits is at least this fraction of the other.
const SIMILAR_WAIT_FRACTION: f64 = 0.5;

impl Scheduler {
    pub(super) fn admit(&mut self, request: &Request) -> bool {
        let draw = self.random.f64();
        let has_credit =
            |node: &Node| node.is_up() && node.is_healthy() && node.admission_credit >= 1.0;
        let is_credited = match request.shard {
            Some(shard) => self.preferred_node(shard).is_some_and(has_credit),
            None => self.nodes.values().any(has_credit),
        };
        if is_credited {
            return true;
        }
        let value = self.share_value(request) * self.full_value_per_work(request);
        self.admission
            .uncredited_requests
            .count(self.now, RATE_MEMORY_NS);
        self.admission.rank(value, draw, RANKED_RECENT_REQUESTS) < self.admitted_fraction()
    }

    /// The fraction of the requests without credit that the limit admits; all of them from 1 on.
    pub(super) fn admitted_fraction(&self) -> f64 {
        let requests = self
            .admission
            .uncredited_requests
            .now(self.now, RATE_MEMORY_NS);
        self.admission.rate_limit.map_or(f64::INFINITY, |limit| {
            limit / requests.max(f64::MIN_POSITIVE)
        })
    }

    /// Counts the outcome of an attempt, unless it was counted while in flight or lost on its way.
    pub(super) fn count_outcome(
        &mut self,
        at: NodeId,
        outcome: Outcome,
        took: Nanos,
        sent: &SentAttempt,
    ) {
        let counts = matches!(
            outcome,
            Outcome::Served | Outcome::Rejected | Outcome::TimedOut
        );
        if counts && !sent.counted && sent.sent_at >= self.nodes[&at].newest_answered_send {
            let failed = outcome != Outcome::Served || sent.sent_at + took > sent.due_at;
            self.count_result(at, sent.class, failed);
        }
    }

    /// Counts overdue attempts as failed before any outcome, as a server without answers shows
    /// nothing else.
    pub(super) fn count_overdue(&mut self) {
        let mut overdue = Vec::new();
        for id in &self.active_nodes {
            let Some(node) = self.nodes.get_mut(id) else {
                continue;
            };
            let overtaken_before = node.newest_answered_send;
            for sent in node
                .in_flight
                .values_mut()
                .filter(|s| !s.counted && self.now > s.due_at)
            {
                sent.counted = true;
                // One that a later one overtook was lost on its way, which is no sign of the
                // server's load.
                overdue.extend((sent.sent_at >= overtaken_before).then_some((*id, sent.class)));
            }
        }
        for (at, class) in overdue {
            self.count_result(at, class, true);
        }
    }

    /// When an attempt sent now is overdue: a fraction of the tightest objective, scaled to its
    /// work.
    pub(super) fn due_at(&self, request: &Request, node: &Node) -> Nanos {
        let tightest = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0);
        let time = (tightest as f64 * FAILED_OBJECTIVE_FRACTION).max(SILENCE_MIN as f64);
        self.now + (time * self.relative_latency(request, node).max(1.0)) as Nanos
    }

    fn count_result(&mut self, at: NodeId, class: usize, failed: bool) {
        let min_limit = MIN_REQUESTS_PER_NODE * self.nodes.len() as f64 / self.settings.fronts();
        if let Some(node) = self.nodes.get_mut(&at) {
            node.record_result(class, failed, MAX_CREDIT);
            if node.warmup_since.is_some() {
                self.adjust_warmup_factor(failed);
            }
        }
        let (now, admission) = (self.now, &mut self.admission);
        let result_rate = admission.results.count(now, RATE_MEMORY_NS);
        let alpha = FAILURE_RATIO_ALPHA.min(SECOND as f64 / FAILURE_RATIO_MEMORY_NS / result_rate);
        admission.failure_ratio += alpha * (f64::from(u8::from(failed)) - admission.failure_ratio);
        if !failed {
            admission.scale_rate_limit(1.0 + alpha * RATE_LIMIT_GROWTH);
        } else if admission.failure_ratio > TOLERATED_FAILURE_RATIO {
            let sent = admission.uncredited_sends.now(now, RATE_MEMORY_NS);
            let limit = admission.rate_limit.unwrap_or(sent).min(sent);
            admission.rate_limit = Some((limit * (1.0 - alpha)).max(min_limit));
        }
    }

    pub(super) fn record_client_left(&mut self, id: RequestId) {
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let wait = (self.now - live.received_at) as f64;
        let min_wait =
            self.class(&live.request).latency_objective as f64 * WAITED_OBJECTIVE_FRACTION;
        if live.finished || wait < min_wait || self.is_expired(live) {
            return;
        }
        let patience = &mut self.client_patience[live.request.class];
        let typical = patience.typical_wait;
        let is_similar =
            wait >= typical * SIMILAR_WAIT_FRACTION && wait * SIMILAR_WAIT_FRACTION <= typical;
        let alpha = if wait < typical {
            SHORTER_WAIT_ALPHA
        } else {
            LONGER_WAIT_ALPHA
        };
        patience.typical_wait = moving_average(typical, alpha, wait);
        patience.record(
            self.now,
            is_similar,
            ABANDON_RATIO_ALPHA,
            ABANDON_RATIO_MEMORY_NS,
        );
    }

    /// The client waited until its answer, whatever the answer is.
    pub(super) fn record_client_stayed(&mut self, id: RequestId) {
        let Some(live) = self.live.get(&id).filter(|live| !live.finished) else {
            return;
        };
        let patience = &mut self.client_patience[live.request.class];
        if (self.now - live.received_at) as f64 >= patience.typical_wait {
            patience.record(
                self.now,
                false,
                ABANDON_RATIO_ALPHA,
                ABANDON_RATIO_MEMORY_NS,
            );
        }
    }

    /// Cancels the attempt of a client that is gone to save work, unless that leaves a write in
    /// doubt.
    pub(super) fn cancel_abandoned(&mut self, id: RequestId, actions: &mut Actions) {
        let is_waiting =
            |live: &&LiveRequest| live.in_flight > 0 && !live.finished && !live.streaming;
        let Some(live) = self.live.get(&id).filter(is_waiting) else {
            return;
        };
        if self.settings.cancellation
            && self.class(&live.request).semantics == Semantics::Idempotent
        {
            // Never more than one attempt is in flight.
            actions.push(Action::Cancel {
                id,
                attempt: live.attempts - 1,
            });
        }
    }

    /// How long clients of a class typically wait; without a bound, a wait that is safe to add to a
    /// time.
    pub(super) fn typical_wait(&self, class: usize) -> Nanos {
        let patience = &self.client_patience[class];
        if patience.abandon_ratio(self.now, ABANDON_RATIO_MEMORY_NS) < ABANDON_RATIO_MIN {
            return Nanos::MAX / 4;
        }
        patience.typical_wait as Nanos
    }

    /// Until when an answer is in time.
    pub(super) fn answer_due_at(&self, live: &LiveRequest) -> Nanos {
        live.objective_at
            .min(live.received_at + self.typical_wait(live.request.class))
    }

    /// The time left to the objective: a client with less patience than the longest seen has tried
    /// before.
    pub(super) fn remaining_objective(&mut self, request: &Request) -> Nanos {
        let class = &self.settings.classes[request.class];
        let longest = self.max_patience[request.class].max(request.patience.min(class.deadline));
        self.max_patience[request.class] = longest;
        let stretch = class.objective_stretch * self.unit_cost[request.class] * request.units;
        let objective = (class.latency_objective + stretch as Nanos).min(class.deadline);
        objective - (longest - request.patience).max(0)
    }
}
