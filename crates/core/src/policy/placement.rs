//! Which chunk server gets a request, and when: the shard of a new object, a shard's servers and
//! queue.

use super::{admission, value, Actions, SECOND};
use crate::interface::{Action, Nanos, NodeId, Request, RequestId, Semantics, ShardId};
use crate::state::{mean, weighted_choice, LiveRequest, Node, Scheduler, SentAttempt};

/// The weight is multiplied by this power of a server's speed relative to the mean, within a bound.
const SPEED_EXPONENT: i32 = 2;
const SPEED_FACTOR_MAX: f64 = 30.0;
/// Without answers the factor decays to a fraction, with a time constant in nanoseconds.
const SPEED_MEMORY_NS: f64 = 5.0 * SECOND as f64;
const SPEED_DECAY_MIN: f64 = 0.03;
const QUEUE_MAX_REQUESTS: usize = 160;
const LOW_VALUE_FRACTION: f64 = 0.25;
const LOW_VALUE_WINDOW_FRACTION: f64 = 0.5;
const CUT_OFF_FAILURE_RATIO: f64 = 0.1;

impl Scheduler {
    /// Queues a request at its shard, choosing the shard of a new object, and sends from that
    /// queue.
    pub(super) fn enqueue(&mut self, id: RequestId, actions: &mut Actions) {
        let draw = self.random.f64();
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let shard = live
            .shard
            .or_else(|| self.choose_shard(draw, &live.request));
        let queue_length = self.join_queue(id, shard);
        // Without any listed server a new object waits for one outside of the queues.
        let Some(shard) = shard else { return };
        if queue_length > QUEUE_MAX_REQUESTS {
            self.give_up(id, actions);
        }
        self.dispatch(shard, actions);
    }

    /// Sends from a shard's queue while its servers have capacity.
    pub(super) fn dispatch(&mut self, shard: ShardId, actions: &mut Actions) {
        if self.queues.get(&shard).is_none_or(Vec::is_empty) {
            return;
        }
        for at in self.nodes_by_preference(shard) {
            while let Some(id) = self.take_next(shard, at) {
                self.send(id, at, actions);
            }
        }
    }

    pub(super) fn dispatch_all(&mut self, actions: &mut Actions) {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        for shard in waiting.map(|(shard, _)| *shard).collect::<Vec<_>>() {
            self.dispatch(shard, actions);
        }
    }

    /// Takes the request that a server should get now: of the highest score, then of the earliest
    /// objective.
    fn take_next(&mut self, shard: ShardId, at: NodeId) -> Option<RequestId> {
        let node = &self.nodes[&at];
        let has_capacity = node.has_capacity(node.window.max(1.0), self.now);
        let is_open = if node.is_healthy() {
            has_capacity
        } else {
            node.may_probe(self.now)
        };
        if !is_open {
            return None;
        }
        let queued = self.queues[&shard]
            .iter()
            .map(|id| &self.live[id])
            .enumerate();
        let sendable = queued.filter(|(_, live)| self.may_send(live, at));
        let scored =
            sendable.map(|(index, live)| (self.score(live, node), live.objective_at, index));
        let precedes =
            |a: &(f64, Nanos, _), b: &(f64, Nanos, _)| a.0 > b.0 || (a.0 == b.0 && a.1 < b.1);
        let (_, _, index) =
            scored.reduce(|best, next| if precedes(&next, &best) { next } else { best })?;
        self.queues.get_mut(&shard).map(|queue| queue.remove(index))
    }

    /// Whether the rules allow this request at this server now, and whether it is worth the
    /// capacity.
    fn may_send(&self, live: &LiveRequest, at: NodeId) -> bool {
        if self.now < live.not_before || self.is_expired(live) || self.is_blocked(live, at) {
            return false;
        }
        let is_allowed = match live.attempts {
            0 => self.volume_limit_allows(&live.request),
            _ => self.may_retry(live, Some(at)),
        };
        let node = &self.nodes[&at];
        let fits = self.warmup_quota(node) >= live.request.units && self.may_use_window(live, node);
        is_allowed && fits && self.is_next_for_key(live)
    }

    /// Whether the order of its key allows a request: it is the first, and earlier attempts have
    /// settled.
    fn is_next_for_key(&self, live: &LiveRequest) -> bool {
        let queue = live.request.key.and_then(|key| self.key_queues.get(&key));
        let Some(queue) = queue.filter(|_| self.class(&live.request).keep_order) else {
            return true;
        };
        let is_first = queue.requests.front() == Some(&live.request.id);
        is_first && (self.now >= queue.settles_at || live.attempts > 0)
    }

    /// Low value keeps to a part of the window and to the pace, so as not to delay better work.
    fn may_use_window(&self, live: &LiveRequest, node: &Node) -> bool {
        // Servers answer in order: work with a wide objective must not fill the queue ahead of a
        // tight one.
        let is_slow = node
            .fast_latency
            .is_some_and(|fast| fast > node.tightest_objective);
        let is_valuable = self.value_fraction(live, node) >= LOW_VALUE_FRACTION;
        if !node.is_healthy() || (is_valuable && !is_slow) {
            return true;
        }
        let reduced_window = (node.window * LOW_VALUE_WINDOW_FRACTION).max(1.0);
        node.has_capacity(reduced_window.min(node.window), self.now)
    }

    fn send(&mut self, id: RequestId, at: NodeId, actions: &mut Actions) {
        let (now, node) = (self.now, &self.nodes[&at]);
        let Some(live) = self.live.get(&id) else {
            return;
        };
        let time_left = (self.answer_due_at(live) - now).max(0);
        let timeout = if self.is_cut_off_when_late(live) {
            time_left
        } else {
            0
        };
        let expected_latency = self.expected_latency(live, node);
        let due_at = self.due_at(&live.request, node);
        let sent = SentAttempt::new(now, live.request.class, expected_latency, due_at);
        if node.admission_credit < 1.0 {
            self.admission
                .uncredited_sends
                .count(now, admission::RATE_MEMORY_NS);
        }
        if let Some(volume) = self
            .volumes
            .get_mut(&live.request.volume)
            .filter(|_| live.attempts == 0)
        {
            volume.charge(now, live.request.units, value::VOLUME_RATE_MEMORY_NS);
        }
        let jitter = 0.5 + self.random.f64();
        self.record_send(id, at, sent);
        self.schedule_probe(at, jitter);
        actions.push(Action::Send {
            id,
            node: at,
            timeout,
        });
    }

    /// While many attempts fail, a late read has less value than the work queued behind it.
    fn is_cut_off_when_late(&self, live: &LiveRequest) -> bool {
        let class = self.class(&live.request);
        let is_read =
            class.late_value < LOW_VALUE_FRACTION && class.semantics == Semantics::Idempotent;
        let many_fail = self.admission.failure_ratio > CUT_OFF_FAILURE_RATIO;
        is_read && many_fail && self.settings.cancellation
    }

    /// While one server of a shard replaces another both are listed, and the old one is warm and
    /// preferred.
    pub(super) fn nodes_by_preference(&self, shard: ShardId) -> Vec<NodeId> {
        let mut nodes: Vec<(NodeId, &Node)> = self.up_nodes(shard).collect();
        nodes.sort_by_key(|entry| (!entry.1.ejection.is_probe_due(self.now), preference(entry)));
        nodes.iter().map(|(id, _)| *id).collect()
    }

    pub(super) fn preferred_node(&self, shard: ShardId) -> Option<&Node> {
        self.up_nodes(shard)
            .min_by_key(preference)
            .map(|(_, node)| node)
    }

    /// Chooses the shard of a new object by weight, among servers with free capacity.
    pub(super) fn choose_shard(&self, draw: f64, request: &Request) -> Option<ShardId> {
        let accepts = |node: &Node| !node.ejection.is_ejected(request.class);
        let fits =
            |n: &Node| n.has_capacity(n.window, self.now) && self.warmup_quota(n) >= request.units;
        let is_free = |node: &Node| node.is_healthy() && accepts(node) && fits(node);
        let choose_usual = || {
            self.choose_among(draw, is_free)
                .or_else(|| self.choose_among(draw, accepts))
        };
        self.shard_to_probe(request)
            .or_else(choose_usual)
            .or_else(|| self.choose_among(draw, |_| true))
    }

    fn choose_among(&self, draw: f64, is_eligible: impl Fn(&Node) -> bool) -> Option<ShardId> {
        let nodes = || {
            self.nodes
                .values()
                .filter(|node| node.is_up() && is_eligible(node))
        };
        let mean_latency = mean(nodes().filter_map(|node| node.fast_latency)).unwrap_or(0.0);
        let weight = |node: &Node| node.weight * speed_factor(node, mean_latency, self.now);
        weighted_choice(
            draw,
            &nodes()
                .map(|node| (node.shard, weight(node)))
                .collect::<Vec<_>>(),
        )
    }

    /// Chooses another shard for new objects that wait for a server that is suspect, ejected or not
    /// listed.
    pub(super) fn move_waiting_objects(&mut self, actions: &mut Actions) {
        for id in self.live_ids(|live| self.waits_in_vain(live)) {
            let draw = self.random.f64();
            let live = self.live.get(&id).filter(|live| live.queued);
            let shard = live.and_then(|live| self.choose_shard(draw, &live.request));
            if let Some(shard) = shard.filter(|shard| self.move_to_shard(id, *shard)) {
                self.dispatch(shard, actions);
            }
        }
    }

    fn waits_in_vain(&self, live: &LiveRequest) -> bool {
        let node = live.shard.and_then(|shard| self.preferred_node(shard));
        let is_available = |n: &Node| n.is_healthy() && !n.ejection.is_ejected(live.request.class);
        let is_new_object = live.request.shard.is_none() && live.possible_execution.is_none();
        live.queued && is_new_object && !node.is_some_and(is_available)
    }
}

/// Prefers fast servers with recent answers, as the weight adapts too slowly for one front of a
/// hundred.
fn speed_factor(node: &Node, mean_latency: f64, now: Nanos) -> f64 {
    let Some(fast_latency) = node.fast_latency else {
        return SPEED_DECAY_MIN;
    };
    let speed = mean_latency.max(1.0) / fast_latency.max(1.0);
    let silence = (now - node.latency_updated_at) as f64;
    let decay = (-silence / SPEED_MEMORY_NS).exp().max(SPEED_DECAY_MIN);
    decay
        * speed
            .powi(SPEED_EXPONENT)
            .clamp(1.0 / SPEED_FACTOR_MAX, SPEED_FACTOR_MAX)
}

/// Healthy servers come first, then warm ones, then those that started last.
fn preference(&(id, node): &(NodeId, &Node)) -> (bool, bool, Nanos, NodeId) {
    let is_avoided = !node.is_healthy() || node.ejection.is_fully_ejected();
    (
        is_avoided,
        node.warmup_since.is_some(),
        -node.started_at,
        id,
    )
}
