//! Handling of the responses and the ends of attempts.

use super::Scheduler;
use crate::interface::{Action, Nanos, NodeId, Outcome, Request, RequestId, RuntimeCommand};
use crate::policy::admission::AdmissionControl;
use crate::policy::in_flight::{AttemptKey, AttemptResult, SentAttempt};
use crate::policy::send_rules::{SendDecision, SendRules};

/// The minimum relative latency by which an answer is scaled to the mean request.
const RELATIVE_LATENCY_MIN: f64 = 0.05;

/// The end of an attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptEnd {
    /// The attempt that has ended.
    pub key: AttemptKey,
    /// The chunk server that it was sent to.
    pub node: NodeId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time from sending it to its end.
    pub took: Nanos,
    /// Whether the client has its answer.
    pub is_answered: bool,
}

impl Scheduler {
    /// Handles a response that began at `began_at` and is not complete yet.
    pub(super) fn on_response_began(&mut self, key: AttemptKey, node: NodeId, began_at: Nanos) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.record_response(key, began_at);
        }
    }

    /// Handles a response that is passed on although its server pauses.
    pub(super) fn on_response_paused(&mut self, key: AttemptKey, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.in_flight.record_pause(key);
        }
    }

    /// Handles a response that was passed on during a pause and did not go on: for the health of its
    /// server it is a lost attempt.
    pub(super) fn on_response_stopped(&mut self, node: NodeId) {
        if let Some(node) = self.nodes.get_mut(node) {
            node.record_outcome(self.now, Outcome::Reset, self.now);
        }
    }

    /// Returns whether a request would be sent again at once if its attempt in flight, sent to
    /// `node_id` at `sent_at`, ended at `now` without a complete response.
    pub fn would_retry(&self, now: Nanos, id: RequestId, node_id: NodeId, sent_at: Nanos) -> bool {
        let Some(live) = self.requests.unfinished(id) else {
            return false;
        };
        let mut ended = live.clone();
        ended.record_end(Outcome::Reset, sent_at, node_id);
        if !self.should_retry(&ended, Outcome::Reset) {
            return false;
        }
        ended.enqueue(ended.shard());
        let rules = SendRules {
            now: self.now.max(now),
            ..self.send_rules()
        };
        let Some(shard) = ended.shard().filter(|_| !rules.should_give_up(&ended)) else {
            return false;
        };
        let mut servers = self.nodes.nodes_by_preference(self.now, shard).into_iter();
        servers.any(|at| {
            self.accepts_request(&self.nodes[at])
                && rules.decide(&ended, at) == SendDecision::Allowed
        })
    }

    /// Handles the end of an attempt.
    pub(super) fn on_attempt_ended(&mut self, mut end: AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.key.request;
        if end.is_answered {
            self.record_client_waited(id);
        }
        let Some(sent) = self.record_end(end) else {
            return;
        };
        // A server is judged by when it begins to answer, not by how it writes.
        if end.outcome == Outcome::Served {
            end.took = sent.response_latency(end.took);
        }
        let request = self.requests[id].request().clone();
        self.settle_key(&request, end.outcome);
        if end.outcome == Outcome::NotSent && end.key.attempt == 0 {
            self.volumes.refund(request.volume, request.units);
        }
        if !sent.is_paused() {
            self.judge_server(&request, end, &sent, actions);
        }
        if self.requests[id].is_finished() {
            self.finish(id);
        } else {
            self.on_failure(id, end.node, end.outcome, actions);
        }
        self.dispatch_after_end(&request, end.node, actions);
    }

    /// Updates what is known of the server with the end of an attempt.
    fn judge_server(
        &mut self,
        request: &Request,
        end: AttemptEnd,
        sent: &SentAttempt,
        actions: &mut Vec<Action>,
    ) {
        if end.outcome == Outcome::Served {
            self.learn_from_answer(request, end);
        }
        self.count_outcome(end, sent);
        self.update_health(end, sent, actions);
    }

    /// Records the end of an attempt and returns the attempt, or `None` if it is unknown.
    fn record_end(&mut self, end: AttemptEnd) -> Option<SentAttempt> {
        let live = self.requests.get_mut(end.key.request)?;
        let sent = self.nodes.get_mut(end.node)?.in_flight.take(end.key)?;
        live.record_end(end.outcome, sent.sent_at(), end.node);
        if end.is_answered {
            live.mark_answered();
        }
        Some(sent)
    }

    /// Holds back the other requests of a key after an attempt that may still be executed.
    fn settle_key(&mut self, request: &Request, outcome: Outcome) {
        if let Some(key) = request.key.filter(|_| outcome.may_still_execute()) {
            let settles_at = self.now + self.settings.order_settle_time;
            self.key_order.block_until(key, settles_at);
        }
    }

    /// Updates the cost of the class and the latency of the server from an answer.
    fn learn_from_answer(&mut self, request: &Request, end: AttemptEnd) {
        self.learned_cost.record(request, end.took);
        let valuation = self.valuation();
        let relative_latency = valuation.relative_latency(request, &self.nodes[end.node]);
        let objective = valuation.tightest_objective() as f64;
        let latency = end.took as f64 / relative_latency.max(RELATIVE_LATENCY_MIN);
        let fronts = self.settings.fronts();
        if let Some(node) = self.nodes.get_mut(end.node) {
            node.window.set_front_count(fronts);
            node.slow_start.record_served(self.now, request.units);
            node.record_latency(self.now, latency, objective);
        }
    }

    fn count_outcome(&mut self, end: AttemptEnd, sent: &SentAttempt) {
        let newest_answered_send = self.nodes[end.node].health.newest_answered_send();
        if let Some(result) = sent.result(end.outcome, end.took, newest_answered_send) {
            self.record_result(end.node, result);
        }
    }

    pub(super) fn record_result(&mut self, node_id: NodeId, result: AttemptResult) {
        if let Some(node) = self.nodes.get_mut(node_id) {
            node.record_result(result);
            if node.slow_start.is_active() {
                self.warmup_rates.record_result(result.failed);
            }
        }
        let min_limit = AdmissionControl::min_rate_limit(self.nodes.len(), self.settings.fronts());
        self.admission
            .record_result(self.now, result.failed, min_limit);
    }

    fn update_health(&mut self, end: AttemptEnd, sent: &SentAttempt, actions: &mut Vec<Action>) {
        let Some(node) = self.nodes.get_mut(end.node) else {
            return;
        };
        if node.record_outcome(self.now, end.outcome, sent.sent_at()) {
            actions.push(Action::Runtime(RuntimeCommand::Log {
                text: "node answers again",
                node: end.node,
            }));
        }
    }

    /// Sends the requests that the end of an attempt allows: those queued at the shard of its
    /// server and the next request of its key.
    fn dispatch_after_end(&mut self, request: &Request, node: NodeId, actions: &mut Vec<Action>) {
        let shard = self.nodes[node].shard();
        self.dispatch(shard, actions);
        let next = request.key.and_then(|key| self.key_order.first(key));
        let next_shard = next.and_then(|id| self.requests.get(id)?.shard());
        if let Some(next_shard) = next_shard.filter(|next_shard| *next_shard != shard) {
            self.dispatch(next_shard, actions);
        }
    }
}
