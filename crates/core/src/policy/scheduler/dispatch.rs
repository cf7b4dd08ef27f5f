//! Dispatch of queued requests to chunk servers, retries, and the final answers that come from the
//! scheduler itself.

use super::Scheduler;
use crate::interface::{Action, Nanos, NodeId, Outcome, RequestId, ShardId};
use crate::mutations::{mutated, Mutation};
use crate::policy::in_flight::{failure_due_at, AttemptKey, SentAttempt};
use crate::policy::node::Node;
use crate::policy::retry::{self, RetryRules};
use crate::policy::send_rules::{SendDecision, SendRules};
use crate::policy::value::Valuation;
use crate::state::LiveRequest;

/// The maximum length of a shard's queue. A further request is rejected, as it would wait too long.
const QUEUE_MAX_REQUESTS: usize = 160;

/// A queued request that may be sent now.
struct Candidate {
    /// The index of the request in its queue.
    index: usize,
    /// The expected value of the request per unit of work.
    score: f64,
    objective_at: Nanos,
}

impl Candidate {
    /// Returns the better of two candidates: the one with the higher score, then the one with the
    /// earlier objective, then the one that is earlier in the queue.
    fn better(self, later: Candidate) -> Candidate {
        let is_urgent = later.objective_at < self.objective_at;
        if later.score > self.score || (later.score == self.score && is_urgent) {
            later
        } else {
            self
        }
    }
}

impl Scheduler {
    /// Adds a request to the queue of its shard and sends from that queue. Chooses a shard for a
    /// new object.
    pub(super) fn enqueue(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let draw = self.random.f64();
        let Some(live) = self.requests.get(id) else {
            return;
        };
        let shard = live.shard().or_else(|| self.choose_shard(live, draw));
        if let Some(live) = self.requests.get_mut(id) {
            live.enqueue(shard);
        }
        // If no server is listed, a new object waits for one outside of the queues.
        let Some(shard) = shard else { return };
        if self.queues.push(shard, id) > QUEUE_MAX_REQUESTS {
            self.give_up(id, actions);
        }
        self.dispatch(shard, actions);
    }

    /// Sends requests from all queues.
    pub(super) fn dispatch_all(&mut self, actions: &mut Vec<Action>) {
        let waiting: Vec<ShardId> = self.queues.waiting_shards().collect();
        for shard in waiting {
            self.dispatch(shard, actions);
        }
    }

    /// Sends requests from the queue of a shard while its servers have capacity.
    pub(super) fn dispatch(&mut self, shard: ShardId, actions: &mut Vec<Action>) {
        if self.queues.requests(shard).is_empty() {
            return;
        }
        for node_id in self.nodes.nodes_by_preference(self.now, shard) {
            while let Some(id) = self.take_next(shard, node_id) {
                self.send(id, node_id, actions);
            }
        }
    }

    /// Removes the request that a server should get now from its queue and returns it.
    fn take_next(&mut self, shard: ShardId, node_id: NodeId) -> Option<RequestId> {
        let node = &self.nodes[node_id];
        if !self.accepts_request(node) {
            return None;
        }
        let rules = self.send_rules();
        let queued = self.queues.requests(shard).iter().enumerate();
        let candidates = queued.filter_map(|(index, id)| {
            let live = &self.requests[*id];
            let is_allowed = rules.decide(live, node_id) == SendDecision::Allowed;
            is_allowed.then(|| Candidate {
                index,
                score: rules.valuation.score(live, node),
                objective_at: live.objective_at(),
            })
        });
        let best = candidates.reduce(Candidate::better)?;
        self.queues.take(shard, best.index)
    }

    fn send(&mut self, id: RequestId, node_id: NodeId, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.get(id) else {
            return;
        };
        let timeout = self.send_rules().attempt_timeout(live);
        let sent = self.new_attempt(live, node_id);
        if !self.nodes[node_id].credit.is_available() {
            self.admission.record_uncredited_send(self.now);
        }
        if live.attempts() == 0 {
            let request = live.request();
            self.volumes.charge(self.now, request.volume, request.units);
        }
        let jitter = 0.5 + self.random.f64();
        self.record_send(id, node_id, sent);
        if let Some(node) = self.nodes.get_mut(node_id) {
            let front_count = self.settings.front_count;
            node.health.schedule_probe(self.now, jitter, front_count);
        }
        actions.push(Action::Send {
            id,
            node: node_id,
            timeout,
        });
    }

    /// Creates an attempt sent now, with the latency expected of it and the time after which it
    /// counts as failed.
    fn new_attempt(&self, live: &LiveRequest, node_id: NodeId) -> SentAttempt {
        let node = &self.nodes[node_id];
        let request = live.request();
        let valuation = self.valuation();
        let expected_latency = valuation.expected_latency(request, node);
        let relative_latency = valuation.relative_latency(request, node);
        let due_at = failure_due_at(self.now, &self.settings, relative_latency);
        SentAttempt::new(self.now, request.class, expected_latency, due_at)
    }

    /// Records that an attempt is sent: for the request, its server and the limits on retries.
    fn record_send(&mut self, id: RequestId, node_id: NodeId, sent: SentAttempt) {
        self.nodes.activate(node_id);
        let Some(live) = self.requests.get_mut(id) else {
            return;
        };
        let Some(node) = self.nodes.get_mut(node_id) else {
            return;
        };
        let request = live.request();
        let units = request.units;
        if self.settings.may_probe(request) {
            node.ejection.record_probe();
        }
        let attempt = live.record_send();
        if attempt > 0 {
            self.retry_history.record_retry(self.now);
            self.fleet_limits.record_retry(self.now);
        }
        let key = AttemptKey::new(id, attempt);
        node.record_send(key, sent, units, &self.settings);
    }

    /// Retries a request whose attempt at a server has failed, or answers it without a retry.
    pub(super) fn on_failure(
        &mut self,
        id: RequestId,
        node_id: NodeId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let live = &self.requests[id];
        if live.is_queued() || live.has_attempt_in_flight() || live.is_streaming() {
            return;
        }
        if !self.should_retry(live, outcome) {
            self.give_up(id, actions);
            return;
        }
        let draw = self.random.f64();
        let pause = retry::pause_before_retry(&self.nodes[node_id], draw);
        if let Some(live) = self.requests.get_mut(id) {
            live.pause_until(self.now + pause);
            live.release_shard();
        }
        self.enqueue(id, actions);
    }

    /// Returns whether a server may get one more request now.
    pub(super) fn accepts_request(&self, node: &Node) -> bool {
        if node.is_healthy() {
            node.has_capacity(node.window.size().max(1.0), self.now)
        } else {
            node.may_probe(self.now)
        }
    }

    /// Returns whether a retry after a failure is allowed and worth the load.
    pub(super) fn should_retry(&self, live: &LiveRequest, outcome: Outcome) -> bool {
        // An attempt for a new object that found no connection caused no load at any server.
        let is_free = outcome == Outcome::NotExecuted && live.request().shard.is_none();
        let is_overloaded = self.admission.admitted_fraction(self.now) < 1.0 && !is_free;
        let answer_due_at = self.valuation().answer_due_at(live);
        let is_late = outcome == Outcome::TimedOut && self.now >= answer_due_at;
        let is_pointless = outcome == Outcome::NotSent || is_late || is_overloaded;
        !is_pointless && self.retry_rules().allow(live)
    }

    /// Answers a request without another attempt: it is rejected if it is safe to repeat, and fails
    /// otherwise, as it may have been executed.
    pub(super) fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let draw = self.random.f64();
        self.record_client_waited(id);
        let Some(live) = self.requests.unfinished(id) else {
            return;
        };
        let class = self.class(live.request());
        if retry::is_repeatable_by_client(live, class) {
            let retry_after = self.retry_after(live, draw);
            actions.push(Action::Reject { id, retry_after });
        } else {
            actions.push(Action::Fail(id));
        }
        self.finish(id);
    }

    /// Records that the client waited until its answer, whatever the answer is.
    pub(super) fn record_client_waited(&mut self, id: RequestId) {
        if let Some(live) = self.requests.unfinished(id) {
            let wait = self.now - live.received_at();
            self.client_patience[live.request().class].record_answered(self.now, wait);
        }
    }

    /// Rejects or fails all requests that cannot be answered in time.
    pub(super) fn give_up_hopeless(&mut self, actions: &mut Vec<Action>) {
        let rules = self.send_rules();
        let hopeless = self.requests.ids_where(|live| rules.should_give_up(live));
        for id in hopeless {
            self.give_up(id, actions);
        }
    }

    /// Marks a request as finished and removes it from its queue. It stays in the table while
    /// attempts are in flight, as they still block the next request of its key.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(live) = self.requests.get_mut(id) else {
            return;
        };
        let was_queued = live.finish();
        let queue = live.shard().filter(|_| was_queued);
        let has_attempt_in_flight = live.has_attempt_in_flight();
        if let Some(shard) = queue.filter(|_| !mutated(Mutation::FinishedStaysQueued)) {
            self.queues.remove(shard, id);
        }
        if has_attempt_in_flight {
            return;
        }
        let key = self.requests.remove(id).and_then(|live| live.request().key);
        if let Some(key) = key {
            self.key_order.remove(self.now, key, id);
        }
    }

    /// Moves new objects that wait for a server that is suspect, ejected or not listed to another
    /// shard.
    pub(super) fn move_waiting_objects(&mut self, actions: &mut Vec<Action>) {
        for id in self
            .requests
            .ids_where(|live| self.waits_for_unavailable_node(live))
        {
            let draw = self.random.f64();
            let live = self.requests.get(id).filter(|live| live.is_queued());
            let shard = live.and_then(|live| self.choose_shard(live, draw));
            if let Some(shard) = shard.filter(|shard| self.move_to_shard(id, *shard)) {
                self.dispatch(shard, actions);
            }
        }
    }

    /// Moves a waiting request to the queue of a shard. Returns `false` if it already waits there.
    fn move_to_shard(&mut self, id: RequestId, shard: ShardId) -> bool {
        let Some(live) = self.requests.get_mut(id) else {
            return false;
        };
        let old = live.replace_shard(shard);
        if old == Some(shard) {
            return false;
        }
        if let Some(old) = old {
            self.queues.remove(old, id);
        }
        self.queues.push(shard, id);
        true
    }

    /// Returns whether a new object waits for a server that is suspect, ejected or not listed, and
    /// may move to another shard.
    fn waits_for_unavailable_node(&self, live: &LiveRequest) -> bool {
        let class = live.request().class;
        let is_available = |node: &Node| node.is_healthy() && !node.ejection.is_ejected(class);
        let is_movable = live.is_queued() && live.is_unplaced_object();
        is_movable && !self.preferred_node(live).is_some_and(is_available)
    }

    fn choose_shard(&self, live: &LiveRequest, draw: f64) -> Option<ShardId> {
        self.nodes
            .choose_shard(self.now, live.request(), &self.settings, draw)
    }

    /// Returns the server that would get a request.
    fn preferred_node(&self, live: &LiveRequest) -> Option<&Node> {
        self.nodes.preferred_node(live.shard()?)
    }

    fn retry_after(&self, live: &LiveRequest, draw: f64) -> Nanos {
        let admitted_fraction = self.admission.admitted_fraction(self.now);
        let max_retry_after = self.settings.max_retry_after;
        let node = self.preferred_node(live);
        retry::retry_after(node, admitted_fraction, max_retry_after, draw)
    }

    /// Returns the valuation of requests at the present time.
    pub(super) fn valuation(&self) -> Valuation<'_> {
        Valuation {
            now: self.now,
            settings: &self.settings,
            learned_cost: &self.learned_cost,
            client_patience: &self.client_patience,
            volumes: &self.volumes,
        }
    }

    /// Returns the rules for sending requests at the present time.
    pub(super) fn send_rules(&self) -> SendRules<'_> {
        SendRules {
            now: self.now,
            settings: &self.settings,
            nodes: &self.nodes,
            key_order: &self.key_order,
            admission: &self.admission,
            valuation: self.valuation(),
            retry_rules: self.retry_rules(),
        }
    }

    /// Returns the rules for retries at the present time.
    fn retry_rules(&self) -> RetryRules<'_> {
        RetryRules {
            now: self.now,
            settings: &self.settings,
            history: &self.retry_history,
            fleet_limits: &self.fleet_limits,
            nodes: &self.nodes,
        }
    }
}
