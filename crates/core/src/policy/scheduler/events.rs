//! The handlers of the scheduler's events.

use super::attempts::AttemptEnd;
use super::Scheduler;
use crate::interface::{
    Action, Event, Nanos, NodeInfo, Request, RequestId, RuntimeCommand, Semantics, UpdateScope,
};
use crate::mutations::{mutated, Mutation};
use crate::policy::admission::AdmissionDecision;
use crate::policy::in_flight::{AttemptKey, AttemptResult};
use crate::policy::{MILLISECOND, SECOND, TICK_INTERVAL};
use crate::state::LiveRequest;

/// The cookie of the timer that triggers ticks.
const TICK_COOKIE: u64 = 1;
/// Without an event for this long, which is many ticks, this front itself was paused.
const LOCAL_PAUSE_MIN: Nanos = 100 * MILLISECOND;

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
            Event::ResponseBegan {
                id,
                attempt,
                node,
                began_at,
            } => {
                let key = AttemptKey::new(id, attempt);
                self.on_response_began(key, node, began_at);
            }
            Event::ResponsePaused { id, attempt, node } => {
                let key = AttemptKey::new(id, attempt);
                self.on_response_paused(key, node);
            }
            Event::ResponseStopped(node) => self.on_response_stopped(node),
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
                    key: AttemptKey::new(id, attempt),
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
