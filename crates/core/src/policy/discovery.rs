//! When to subscribe to the endpoint list, and what its entries change.

use super::{congestion, Actions, MILLISECOND, SECOND};
use crate::interface::{Nanos, NodeInfo, UpdateScope};
use crate::state::{Scheduler, WarmupSend};

const BACKOFF_MIN: Nanos = 300 * MILLISECOND;
const BACKOFF_MAX: Nanos = 3 * SECOND;
/// Added for each front, as all may call at once.
const CALL_TIME_PER_FRONT: Nanos = 50 * MILLISECOND;
/// A call is made within this fraction of the poll interval at the latest.
const POLL_INTERVAL_FRACTION: f64 = 0.7;

impl Scheduler {
    /// All fronts may start at the same time; a list restored from disk serves meanwhile.
    pub(super) fn schedule_first_subscription(&mut self) {
        self.subscribe_backoff = BACKOFF_MIN.max(self.call_time_of_fleet() / 2);
        let wait = (self.random.f64() * self.call_time_of_fleet() as f64) as Nanos;
        self.subscribe_at = self.settings.polls_discovery.then_some(self.now + wait);
    }

    pub(super) fn on_endpoints(
        &mut self,
        scope: UpdateScope,
        nodes: Vec<NodeInfo>,
        actions: &mut Actions,
    ) {
        self.subscribe_backoff = BACKOFF_MIN.max(self.call_time_of_fleet() / 2);
        if scope != UpdateScope::Update {
            self.mark_unlisted_removed(&nodes);
        }
        for info in nodes {
            self.update_node(info);
        }
        if scope == UpdateScope::Restored {
            // What this front had sent to starting servers before it was restarted is unknown, and
            // counts.
            for node in self
                .nodes
                .values_mut()
                .filter(|node| node.warmup_since.is_some())
            {
                node.warmup_sends.push_back(WarmupSend {
                    sent_at: self.now,
                    units: f64::INFINITY,
                });
            }
        }
        self.dispatch_all(actions);
    }

    /// Backs off with jitter, as all fronts lose discovery at the same time.
    pub(super) fn back_off_subscription(&mut self) {
        let wait = (self.subscribe_backoff as f64 * (0.5 + self.random.f64())) as Nanos;
        let interval = self.settings.poll_interval;
        let max_wait =
            if interval > 0 { interval } else { Nanos::MAX } as f64 * POLL_INTERVAL_FRACTION;
        self.subscribe_at = Some(self.now + wait.min(max_wait as Nanos));
        let max_backoff = BACKOFF_MAX.max(2 * self.call_time_of_fleet());
        self.subscribe_backoff = (self.subscribe_backoff * 2).min(max_backoff);
    }

    /// The time that discovery needs for a call of every front.
    fn call_time_of_fleet(&self) -> Nanos {
        i64::from(self.settings.initiators) * CALL_TIME_PER_FRONT
    }

    fn update_node(&mut self, info: NodeInfo) {
        let (now, warmup, mean_units) = (
            self.now,
            self.settings.warmup_duration,
            self.settings.mean_units,
        );
        let jitter = 2.0 * self.random.f64() - 1.0;
        // A new server is taken to serve what its shard's other servers serve.
        let members = self.shards.get(&info.shard).into_iter().flatten();
        let warm_rate = members
            .map(|id| self.nodes[id].warm_rate)
            .fold(0.0, f64::max);
        let node = self.upsert_node(&info, congestion::INITIAL_WINDOW);
        node.warm_rate = node.warm_rate.max(warm_rate);
        let has_started = info.started_at > node.started_at;
        node.started_at = node.started_at.max(info.started_at);
        if has_started && now - info.started_at < warmup {
            node.start_warmup(info.started_at, info.started_at + warmup);
            node.warmup_budget = jitter * mean_units;
            self.activate(info.node);
        }
    }
}
