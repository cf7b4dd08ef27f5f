//! The handlers of the scheduler's events.

use super::Scheduler;
use crate::interface::{
    Action, Event, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, RuntimeCommand, Semantics,
    UpdateScope,
};
use crate::mutations::{mutated, Mutation};
use crate::policy::admission::{AdmissionControl, AdmissionDecision};
use crate::policy::in_flight::{AttemptKey, AttemptResult, SentAttempt};
use crate::policy::{MILLISECOND, SECOND, TICK_INTERVAL};
use crate::state::LiveRequest;

/// The cookie of the timer that triggers ticks.
const TICK_COOKIE: u64 = 1;
/// Without an event for this long, which is many ticks, this front itself was paused.
const LOCAL_PAUSE_MIN: Nanos = 100 * MILLISECOND;
/// The minimum relative latency by which an answer is scaled to the mean request.
const RELATIVE_LATENCY_MIN: f64 = 0.05;

/// The end of an attempt.
#[derive(Clone, Copy)]
struct AttemptEnd {
    key: AttemptKey,
    node: NodeId,
    outcome: Outcome,
    took: Nanos,
    /// Whether the client has its answer.
    is_answered: bool,
}

impl Scheduler {
    /// Handles one event and appends the actions to carry out.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.advance_clock(now);
        if !self.is_started {
            self.start(actions);
        }
        match event {
            Event::Endpoints {
                scope: UpdateScope::Unavailable,
                ..
            } => self.on_discovery_unavailable(),
            Event::Endpoints { scope, nodes } => self.on_endpoints(scope, &nodes, actions),
            Event::Request(request) => self.on_request(request, actions),
            Event::ClientDisconnected(id) => self.on_client_disconnected(id, actions),
            Event::ResponseStarted(id) => self.on_response_started(id),
            Event::AttemptEnded {
                id,
                attempt,
                node,
                outcome,
                took,
                is_answered,
                ..
            } => {
                let end = AttemptEnd {
                    key: AttemptKey {
                        request: id,
                        attempt,
                    },
                    node,
                    outcome,
                    took,
                    is_answered,
                };
                self.on_attempt_ended(end, actions);
            }
            Event::Timer(TICK_COOKIE) => self.on_tick(actions),
            Event::FleetUpdate(update) => self.on_fleet_update(update),
            Event::Timer(_) => {}
        }
    }

    /// Advances the clock. A pause of this front must not count as silence of the servers, although
    /// failures are detected later if timers are always late.
    fn advance_clock(&mut self, now: Nanos) {
        let elapsed = now - self.now;
        self.now = self.now.max(now);
        if elapsed > LOCAL_PAUSE_MIN {
            for node in self.nodes.values_mut() {
                node.exclude_local_pause(self.now, elapsed);
            }
        }
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.is_started = true;
        let draw = self.random.f64();
        self.subscription
            .schedule_first(self.now, &self.settings, draw);
        self.on_tick(actions);
    }

    fn on_discovery_unavailable(&mut self) {
        let draw = self.random.f64();
        self.subscription.back_off(self.now, &self.settings, draw);
    }

    fn on_endpoints(&mut self, scope: UpdateScope, nodes: &[NodeInfo], actions: &mut Vec<Action>) {
        self.subscription.reset_backoff(&self.settings);
        if scope != UpdateScope::Update {
            self.nodes.mark_unlisted_removed(nodes);
        }
        for info in nodes {
            let jitter = 2.0 * self.random.f64() - 1.0;
            self.queues.ensure(info.shard);
            self.nodes
                .apply_entry(self.now, info, &self.fleet_limits, &self.settings, jitter);
        }
        if scope == UpdateScope::Restored {
            for node in self.nodes.values_mut() {
                node.slow_start.assume_fully_used(self.now);
            }
        }
        self.dispatch_all(actions);
    }

    fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        if self.requests.contains(id) {
            return;
        }
        if !self.settings.has_class_and_plan(&request) {
            actions.push(Action::Reject { id, retry_after: 0 });
            return;
        }
        let retry_window = self.settings.effective_retry_budget().window;
        self.retry_history.record_request(self.now, retry_window);
        let objective = self.remaining_objective(&request);
        self.join_key_order(&request);
        self.volumes.ensure(self.now, &request, &self.settings);
        let is_admitted = self.decide_admission(&request).is_admitted();
        let max_attempts = self.settings.max_attempts;
        self.requests
            .insert(LiveRequest::new(request, self.now, objective, max_attempts));
        if is_admitted {
            self.enqueue(id, actions);
        }
        // A request may arrive with less time left than a tick takes.
        if !is_admitted || self.is_hopeless(id) {
            self.give_up(id, actions);
        }
    }

    fn is_hopeless(&self, id: RequestId) -> bool {
        let live = self.requests.get(id);
        live.is_some_and(|live| self.send_rules().should_give_up(live))
    }

    /// Returns the time left to a request's latency objective, less what its client has spent on
    /// earlier requests for the same work.
    fn remaining_objective(&mut self, request: &Request) -> Nanos {
        let class = &self.settings.classes[request.class];
        let patience = &mut self.client_patience[request.class];
        let spent = patience.time_already_spent(request.client_timeout, class.deadline);
        let unit_cost = self.learned_cost.unit_cost(request.class);
        let stretch = class.objective_stretch * unit_cost * request.units;
        let objective = (class.latency_objective + stretch as Nanos).min(class.deadline);
        objective - spent
    }

    fn join_key_order(&mut self, request: &Request) {
        if self.class(request).keep_order {
            if let Some(key) = request.key {
                self.key_order.enqueue(key, request.id);
            }
        }
    }

    fn decide_admission(&mut self, request: &Request) -> AdmissionDecision {
        let draw = self.random.f64();
        if self.nodes.has_admission_credit(request.shard) {
            return AdmissionDecision::AdmittedByCredit;
        }
        let value = self.valuation().timely_value_per_work(request);
        self.admission.decide_uncredited(self.now, value, draw)
    }

    fn on_client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.record_client_disconnected(id);
        self.cancel_abandoned(id, actions);
        if !mutated(Mutation::IgnoresDisconnect) {
            self.finish(id);
        }
    }

    fn record_client_disconnected(&mut self, id: RequestId) {
        let Some(live) = self.requests.unfinished(id) else {
            return;
        };
        if live.is_expired(self.now, self.settings.deadline_margin()) {
            return;
        }
        let class = live.request().class;
        let wait = self.now - live.received_at();
        let objective = self.settings.classes[class].latency_objective;
        self.client_patience[class].record_disconnect(self.now, wait, objective);
    }

    /// Cancels the attempt of a disconnected client to save work. Only idempotent requests qualify,
    /// as it is unknown whether a cancelled write was executed.
    fn cancel_abandoned(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.unfinished(id) else {
            return;
        };
        if !live.has_attempt_in_flight() || live.is_streaming() {
            return;
        }
        let is_idempotent = self.class(live.request()).semantics == Semantics::Idempotent;
        if self.settings.cancellation && is_idempotent {
            // At most one attempt is in flight, so it is the last one sent.
            let attempt = live.attempts() - 1;
            actions.push(Action::Cancel { id, attempt });
        }
    }

    fn on_response_started(&mut self, id: RequestId) {
        if let Some(live) = self.requests.get_mut(id) {
            live.start_streaming();
        }
    }

    fn on_attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.key.request;
        if end.is_answered {
            self.record_client_waited(id);
        }
        let Some(sent) = self.record_end(end) else {
            return;
        };
        let request = self.requests[id].request().clone();
        self.settle_key(&request, end.outcome);
        if end.outcome == Outcome::NotSent && end.key.attempt == 0 {
            self.volumes.refund(request.volume, request.units);
        }
        if end.outcome == Outcome::Served {
            self.learn_from_answer(&request, end);
        }
        self.count_outcome(end, &sent);
        self.update_health(end, &sent, actions);
        if self.requests[id].is_finished() {
            self.finish(id);
        } else {
            self.on_failure(id, end.node, end.outcome, actions);
        }
        self.dispatch_after_end(&request, end.node, actions);
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

    fn record_result(&mut self, node_id: NodeId, result: AttemptResult) {
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

    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::Runtime(RuntimeCommand::SetTimer {
            after: TICK_INTERVAL,
            cookie: TICK_COOKIE,
        }));
        if self.subscription.take_due(self.now) {
            actions.push(Action::Runtime(RuntimeCommand::Subscribe));
        }
        self.count_overdue();
        let elapsed = self.nodes.start_tick(self.now);
        self.warmup_rates
            .accrue(self.now, elapsed, &self.settings, &mut self.nodes);
        self.visit_active_nodes(actions);
        self.give_up_hopeless(actions);
        self.move_waiting_objects(actions);
        if self.now - self.last_second_at >= SECOND {
            self.last_second_at = self.now;
            self.run_every_second(actions);
        }
        self.dispatch_all(actions);
    }

    /// Counts overdue attempts as failed before they end, as a server that does not answer gives no
    /// other sign of its load.
    fn count_overdue(&mut self) {
        let now = self.now;
        let mut overdue = Vec::new();
        self.nodes.for_each_active(|id, node| {
            let newest_answered_send = node.health.newest_answered_send();
            let on_failure = |class| overdue.push((id, class));
            node.in_flight
                .count_overdue(now, newest_answered_send, on_failure);
        });
        for (node_id, class) in overdue {
            let result = AttemptResult {
                class,
                failed: true,
            };
            self.record_result(node_id, result);
        }
    }

    /// Detects silent servers, and ends the control periods and warm-ups that are over.
    fn visit_active_nodes(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let window = self.settings.overload_window();
        self.nodes.for_each_active(|id, node| {
            if node.detect_silence(now) {
                actions.push(Action::Runtime(RuntimeCommand::Log {
                    text: "node is silent",
                    node: id,
                }));
            }
            node.end_period(now);
            node.slow_start.expire(now, window);
        });
        self.nodes.deactivate_idle();
    }

    fn run_every_second(&mut self, actions: &mut Vec<Action>) {
        self.rebalancer.rebalance(&mut self.nodes);
        self.warmup_rates.update(self.now, &mut self.nodes);
        self.volumes.expire_idle(self.now);
        self.key_order.expire(self.now);
        let retry_window = self.settings.effective_retry_budget().window;
        self.retry_history.expire_retries(self.now, retry_window);
        let referenced = self.requests.possible_executors();
        let removed = self.nodes.forget_removed(&referenced);
        let forgotten = removed.into_iter().map(RuntimeCommand::ForgetNode);
        actions.extend(forgotten.map(Action::Runtime));
    }
}
