//! Ejections of chunk servers that the fleet voted for, merged with this front's own results.
//!
//! Without an update from the fleet nothing here holds a request back.

use std::hash::{Hash, Hasher};

use crate::interface::{ClassSet, Listed, Nanos, NodeId, Request, Semantics, ShardId};
use crate::state::{LiveRequest, Node, Scheduler};

/// Timely results in a row of this front that readmit a server here: as many as successful probes
/// readmit it for all.
const READMIT_AFTER_SUCCESSES: u8 = 8;
/// A readmitted server warms up for this long, in nanoseconds.
const READMIT_WARMUP: Nanos = 4_000_000_000;

/// The ejection of one chunk server, as this front sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EjectionState {
    ejected_for: ClassSet,
    /// This front's timely results in a row since the ejection.
    consecutive_successes: u8,
    /// Until then the next idempotent request is sent there as a probe.
    probe_until: Nanos,
}

impl EjectionState {
    /// Whether the server is ejected for a request class.
    pub fn is_ejected(&self, class: usize) -> bool {
        self.ejected_for.contains(class) && !self.is_readmitted()
    }

    /// Whether the server is ejected for all classes.
    pub fn is_fully_ejected(&self) -> bool {
        self.ejected_for == ClassSet::ALL && !self.is_readmitted()
    }

    fn is_readmitted(&self) -> bool {
        self.consecutive_successes >= READMIT_AFTER_SUCCESSES
    }

    /// Whether the fleet asked this front for a probe.
    pub fn is_probe_due(&self, now: Nanos) -> bool {
        now < self.probe_until
    }

    /// Records that a request was sent that serves as the probe.
    pub fn record_probe(&mut self) {
        self.probe_until = 0;
    }

    /// Records a result of this front. Results of classes that are not ejected say nothing about
    /// the ejection.
    pub fn record_result(&mut self, class: usize, failed: bool) {
        if self.ejected_for.contains(class) {
            self.consecutive_successes = if failed {
                0
            } else {
                self.consecutive_successes.saturating_add(1)
            };
        }
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, h: &mut H) {
        let consecutive_successes = self.consecutive_successes.min(READMIT_AFTER_SUCCESSES);
        (
            self.ejected_for,
            consecutive_successes,
            (self.probe_until - now).max(0),
        )
            .hash(h);
    }
}

impl Scheduler {
    /// Applies the classes for which a server is ejected. A readmitted server warms up, as all
    /// fronts would send to it at once.
    pub(crate) fn apply_ejection(&mut self, at: NodeId, classes: ClassSet) {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&at) else {
            return;
        };
        let before = std::mem::replace(&mut node.ejection.ejected_for, classes);
        if before == ClassSet::NONE && classes != ClassSet::NONE {
            node.ejection.consecutive_successes = 0;
        }
        if before != ClassSet::NONE && classes == ClassSet::NONE {
            node.ejection.record_probe();
            if node.warmup_since.is_none() {
                node.start_warmup(now, now + READMIT_WARMUP);
                node.warmup_budget = 0.0;
                self.activate(at);
            }
        }
    }

    /// Sends the next idempotent request to a server as a probe, once.
    pub(crate) fn apply_probe(&mut self, at: NodeId, until: Nanos) {
        self.nodes
            .entry(at)
            .and_modify(|node| node.ejection.probe_until = until);
    }

    /// Whether an ejection keeps a request from a server: a new object while any other server takes
    /// it, stored data while its shard has another server. The last one still gets what only it can
    /// serve.
    pub(crate) fn is_blocked(&self, live: &LiveRequest, at: NodeId) -> bool {
        let (class, node) = (live.request.class, &self.nodes[&at]);
        let is_probe = node.ejection.is_probe_due(self.now) && self.may_probe(&live.request);
        if !node.ejection.is_ejected(class) || is_probe {
            return false;
        }
        let accepts = |node: &Node| !node.ejection.is_ejected(class);
        match live.request.shard {
            Some(shard) => self.up_nodes(shard).any(|(_, node)| accepts(node)),
            None => self
                .nodes
                .values()
                .any(|node| node.listed == Listed::Up && accepts(node)),
        }
    }

    /// The shard of a server that is to be probed, for a request that may be the probe.
    pub(crate) fn shard_to_probe(&self, request: &Request) -> Option<ShardId> {
        if !self.may_probe(request) {
            return None;
        }
        let has_capacity =
            |node: &Node| !node.is_full() && self.warmup_quota(node) >= request.units;
        let is_due = |node: &&Node| {
            node.ejection.is_probe_due(self.now) && node.listed == Listed::Up && has_capacity(node)
        };
        self.nodes.values().find(is_due).map(|node| node.shard)
    }

    /// Whether a request may be a probe: only if it may be repeated.
    pub(crate) fn may_probe(&self, request: &Request) -> bool {
        self.settings.classes[request.class].semantics == Semantics::Idempotent
    }
}
