//! Records what happens to requests, attempts and limits.

use crate::interface::{
    Class, FleetUpdate, KeyId, Nanos, NodeId, Outcome, Request, RequestId, Semantics, ShardId,
    SharedLimit, VolumeId,
};
use crate::mutations::{mutated, Mutation};
use crate::state::{
    AttemptKey, LiveRequest, PossibleExecution, RateLimit, Scheduler, SentAttempt, WarmupSend,
};

/// Retries sent and requests received within a window of time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RecentCounts {
    pub retries: usize,
    pub requests: usize,
}

impl Scheduler {
    /// Takes a request on; it is answered before the front shuts down.
    pub(crate) fn track(&mut self, mut live: LiveRequest) {
        live.deadline_at = live.deadline_at.min(self.shutdown_deadline);
        self.live.insert(live.request.id, live);
    }

    /// The requests under way that satisfy a condition, in the order of their ids.
    pub(crate) fn live_ids(&self, condition: impl Fn(&LiveRequest) -> bool) -> Vec<RequestId> {
        self.live
            .values()
            .filter(|live| condition(live))
            .map(|live| live.request.id)
            .collect()
    }

    /// Records that a streamed answer has begun.
    pub(crate) fn record_response_started(&mut self, id: RequestId) {
        if let Some(live) = self.live.get_mut(&id) {
            live.streaming = true;
        }
    }

    /// Marks a request as finished. It stays known while attempts are in flight, as they still hold
    /// its key.
    pub(crate) fn finish(&mut self, id: RequestId) {
        let Some(live) = self.live.get_mut(&id) else {
            return;
        };
        live.finished = true;
        if live.queued {
            live.queued = false;
            let queue = live.shard.and_then(|shard| self.queues.get_mut(&shard));
            if let Some(queue) = queue.filter(|_| !mutated(Mutation::FinishedStaysQueued)) {
                queue.retain(|queued| *queued != id);
            }
        }
        if live.in_flight > 0 {
            return;
        }
        if let Some(live) = self.live.remove(&id) {
            self.leave_key_queue(id, live.request.key);
        }
    }

    fn leave_key_queue(&mut self, id: RequestId, key: Option<KeyId>) {
        let Some(key) = key else { return };
        let Some(queue) = self.key_queues.get_mut(&key) else {
            return;
        };
        queue.requests.retain(|queued| *queued != id);
        if queue.requests.is_empty() && self.now >= queue.settles_at {
            self.key_queues.remove(&key);
        }
    }

    /// The class of a request.
    pub(crate) fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[request.class]
    }

    /// Appends a request to its key's queue, where its class keeps order.
    pub(crate) fn join_key_queue(&mut self, request: &Request) {
        if self.settings.classes[request.class].keep_order {
            if let Some(key) = request.key {
                self.key_queues
                    .entry(key)
                    .or_default()
                    .requests
                    .push_back(request.id);
            }
        }
    }

    /// Lets a key rest until a time.
    pub(crate) fn settle_key(&mut self, key: Option<KeyId>, until: Nanos) {
        if let Some(queue) = key.and_then(|key| self.key_queues.get_mut(&key)) {
            queue.settles_at = until;
        }
    }

    /// The shard of the request that is next in a key's order.
    pub(crate) fn next_shard_for_key(&self, key: Option<KeyId>) -> Option<ShardId> {
        let queue = self.key_queues.get(&key?)?;
        self.live.get(queue.requests.front()?)?.shard
    }

    /// Lets a request wait in a shard's queue, or outside of the queues for a shard. Returns the
    /// queue's length.
    pub(crate) fn join_queue(&mut self, id: RequestId, shard: Option<ShardId>) -> usize {
        if let Some(live) = self.live.get_mut(&id) {
            live.shard = shard;
            live.queued = true;
        }
        let Some(shard) = shard else { return 0 };
        let queue = self.queues.entry(shard).or_default();
        queue.push(id);
        queue.len()
    }

    /// Moves a waiting request to another shard's queue; false if it waits there already.
    pub(crate) fn move_to_shard(&mut self, id: RequestId, shard: ShardId) -> bool {
        let Some(live) = self.live.get_mut(&id) else {
            return false;
        };
        let old = live.shard.replace(shard);
        if old == Some(shard) {
            return false;
        }
        if let Some(queue) = old.and_then(|old| self.queues.get_mut(&old)) {
            queue.retain(|queued| *queued != id);
        }
        self.queues.entry(shard).or_default().push(id);
        true
    }

    /// Records an attempt that is sent.
    pub(crate) fn record_send(&mut self, id: RequestId, at: NodeId, sent: SentAttempt) {
        let warmup_since = self.nodes.get(&at).and_then(|node| node.warmup_since);
        let growth = warmup_since.map(|since| self.warmup_growth(since));
        let is_probe = self
            .live
            .get(&id)
            .is_some_and(|live| self.may_probe(&live.request));
        self.activate(at);
        let (Some(live), Some(node)) = (self.live.get_mut(&id), self.nodes.get_mut(&at)) else {
            return;
        };
        let units = live.request.units;
        if live.attempts > 0 {
            self.retries_sent.push_back(sent.sent_at);
            self.fleet_limits.record_retry(sent.sent_at);
        }
        node.warmup_sends.push_back(WarmupSend {
            sent_at: sent.sent_at,
            units,
        });
        if let Some(growth) = growth {
            node.limits
                .record_warmup_units(sent.sent_at, units / growth);
        }
        if node.warmup_since.is_some() {
            node.warmup_budget -= units;
        }
        if is_probe {
            node.ejection.record_probe();
        }
        node.admission_credit = (node.admission_credit - 1.0).max(0.0);
        node.in_flight.insert(
            AttemptKey {
                request: id,
                attempt: live.attempts,
            },
            sent,
        );
        live.attempts += 1;
        live.in_flight += 1;
        live.queued = false;
    }

    /// Records the end of an attempt. Returns the attempt and its request, or nothing for an
    /// unknown attempt.
    pub(crate) fn record_end(
        &mut self,
        id: RequestId,
        attempt: u32,
        at: NodeId,
        outcome: Outcome,
        last: bool,
    ) -> Option<(SentAttempt, Request)> {
        let live = self.live.get_mut(&id)?;
        let in_flight = &mut self.nodes.get_mut(&at)?.in_flight;
        let key = AttemptKey {
            request: id,
            attempt,
        };
        let sent = if mutated(Mutation::EndedStaysInFlight) {
            in_flight.get(&key).cloned()
        } else {
            in_flight.remove(&key)
        }?;
        live.in_flight -= 1;
        live.finished |= last;
        if outcome.may_have_executed() && live.possible_execution.is_none() {
            live.possible_execution = Some(PossibleExecution {
                sent_at: sent.sent_at,
                node: at,
            });
        }
        Some((sent, live.request.clone()))
    }

    /// Records a request received and forgets those before the window.
    pub(crate) fn record_request(&mut self, window: Nanos) {
        self.requests_received.push_back(self.now);
        while self
            .requests_received
            .front()
            .is_some_and(|at| *at <= self.now - window)
        {
            self.requests_received.pop_front();
        }
    }

    /// Retries sent and requests received within the window.
    pub(crate) fn recent_counts(&self, window: Nanos) -> RecentCounts {
        let since = self.now - window;
        let retries = self
            .retries_sent
            .iter()
            .rev()
            .take_while(|at| **at >= since)
            .count();
        let requests = self
            .requests_received
            .iter()
            .rev()
            .take_while(|at| **at > since)
            .count();
        RecentCounts { retries, requests }
    }

    /// Drops volumes, key queues and retries that no decision needs any more.
    pub(crate) fn expire_idle(&mut self, volume_idle: Nanos, retry_window: Nanos) {
        let now = self.now;
        self.volumes
            .retain(|_, volume| now - volume.excess_rate.at < volume_idle);
        let known = &self.volumes;
        self.assigned_limits
            .retain(|id, limit| limit.rate > 0.0 || known.contains_key(id));
        self.key_queues
            .retain(|_, queue| !queue.requests.is_empty() || now < queue.settles_at);
        while self
            .retries_sent
            .front()
            .is_some_and(|at| *at < now - retry_window)
        {
            self.retries_sent.pop_front();
        }
    }

    /// Until when an attempt of a request may begin: one that may have been executed may be
    /// repeated only within its deduplication window, and a connection may take time to open.
    pub(crate) fn begin_deadline(&self, id: RequestId) -> Nanos {
        let Some(live) = self.live.get(&id) else {
            return Nanos::MAX;
        };
        let class = &self.settings.classes[live.request.class];
        match live.possible_execution {
            Some(first) if class.semantics == Semantics::Deduplicated => {
                first.sent_at + class.window
            }
            _ => Nanos::MAX,
        }
    }

    /// Returns the units of a first attempt that was not sent after all.
    pub(crate) fn refund(&mut self, volume: VolumeId, units: f64) {
        if let Some(limit) = self
            .volumes
            .get_mut(&volume)
            .and_then(|volume| volume.limit.as_mut())
        {
            limit.level = (limit.level + units).min(limit.capacity);
        }
    }

    /// What a server must be able to serve now, as a multiple of what it could when its warm-up
    /// began.
    pub(crate) fn warmup_growth(&self, since: Nanos) -> f64 {
        self.settings.warm_fraction(self.now - since) / self.settings.warm_fraction(0)
    }

    /// Whether the fleet's limit on retries allows none now.
    pub(crate) fn fleet_retries_exhausted(&self) -> bool {
        self.fleet_limits.retries_exhausted(self.now)
    }

    /// Applies an update from the fleet.
    pub(crate) fn apply_fleet_update(&mut self, update: FleetUpdate) {
        match update {
            FleetUpdate::SharedLimit {
                limit,
                rate,
                burst,
                at,
            } => {
                self.apply_shared_limit(limit, RateLimit { rate, burst }, at);
            }
            FleetUpdate::Ejection { node, classes } => self.apply_ejection(node, classes),
            FleetUpdate::Probe { node, until } => self.apply_probe(node, until),
            FleetUpdate::Shutdown { deadline } => {
                self.shutdown_deadline = deadline;
                self.live
                    .values_mut()
                    .for_each(|live| live.deadline_at = live.deadline_at.min(deadline));
            }
        }
    }

    /// Applies this front's part of a shared limit. Tokens that accrued before stay, as far as they
    /// fit; a volume's limit of 0 is forgotten with its volume.
    fn apply_shared_limit(&mut self, shared: SharedLimit, limit: RateLimit, effective_at: Nanos) {
        match shared {
            SharedLimit::Volume(id) => {
                self.assigned_limits.insert(id, limit);
                if let Some(bucket) = self
                    .volumes
                    .get_mut(&id)
                    .and_then(|volume| volume.limit.as_mut())
                {
                    bucket.set_limit(limit, effective_at);
                }
            }
            SharedLimit::Retries => self.fleet_limits.set_retries(limit, effective_at),
            SharedLimit::WarmingUpNode => {
                self.fleet_limits
                    .set_warming_up(limit, effective_at, self.nodes.values_mut());
            }
            SharedLimit::InFlightPerNode => {
                self.fleet_limits
                    .set_in_flight(limit.rate, self.nodes.values_mut());
            }
        }
    }
}
