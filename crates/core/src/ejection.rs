//! The ejections of chunk servers that the fleet voted for, combined with this front's own results.
//!
//! Without an update from the fleet no request is held back here.

use std::hash::{Hash, Hasher};

use crate::interface::{ClassSet, Nanos, NodeId, Request, Semantics, Settings, ShardId};
use crate::policy::{Node, NodeTable};

/// The number of timely results in a row after which this front readmits a server for itself. It
/// equals the number of successful probes that readmit a server for all fronts.
const READMIT_AFTER_SUCCESSES: u8 = 8;
/// How long a readmitted server warms up, in nanoseconds.
const READMIT_WARMUP: Nanos = 4_000_000_000;

/// The ejection of one chunk server, as this front sees it.
#[derive(Clone, Debug, Default)]
pub(crate) struct EjectionState {
    ejected_for: ClassSet,
    /// The number of this front's timely results in a row since the ejection.
    consecutive_successes: u8,
    /// Until this time the next idempotent request is sent to the server as a probe.
    probe_until: Nanos,
}

impl EjectionState {
    /// Returns whether the server is ejected for a request class.
    pub fn is_ejected(&self, class: usize) -> bool {
        self.ejected_for.contains(class) && !self.is_readmitted()
    }

    /// Returns whether the server is ejected for all classes.
    pub fn is_fully_ejected(&self) -> bool {
        self.ejected_for == ClassSet::ALL && !self.is_readmitted()
    }

    fn is_readmitted(&self) -> bool {
        self.consecutive_successes >= READMIT_AFTER_SUCCESSES
    }

    /// Returns whether the fleet asked this front for a probe that is still to be sent.
    pub fn is_probe_due(&self, now: Nanos) -> bool {
        now < self.probe_until
    }

    /// Requests that the next idempotent request before `until` is sent to the server as a probe.
    pub fn request_probe(&mut self, until: Nanos) {
        self.probe_until = until;
    }

    /// Records that the probe was sent.
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

    /// Replaces the classes for which the fleet ejects the server. Returns whether it is
    /// readmitted.
    fn replace_classes(&mut self, classes: ClassSet) -> bool {
        let before = std::mem::replace(&mut self.ejected_for, classes);
        let was_ejected = before != ClassSet::NONE;
        let is_ejected = classes != ClassSet::NONE;
        if !was_ejected && is_ejected {
            self.consecutive_successes = 0;
        }
        let is_readmitted = was_ejected && !is_ejected;
        if is_readmitted {
            self.record_probe();
        }
        is_readmitted
    }

    /// Hashes all state that later decisions depend on.
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

impl Node {
    /// Applies the classes for which the fleet ejects the server. A readmitted server warms up,
    /// since all fronts start to send to it at the same time. Returns whether a warm-up has begun.
    pub(crate) fn apply_ejection(&mut self, now: Nanos, classes: ClassSet) -> bool {
        let is_readmitted = self.ejection.replace_classes(classes);
        if !is_readmitted || self.slow_start.is_active() {
            return false;
        }
        self.start_warmup(now, now + READMIT_WARMUP, 0.0);
        true
    }
}

impl NodeTable {
    /// Returns whether an ejection keeps a request from a server. A new object is kept from it
    /// while any other server accepts the class, stored data while another server of the shard
    /// does. The last server of a shard still gets the requests that only it can serve.
    pub(crate) fn is_blocked(
        &self,
        now: Nanos,
        request: &Request,
        at: NodeId,
        settings: &Settings,
    ) -> bool {
        let node = &self[at];
        let is_probe = node.ejection.is_probe_due(now) && settings.may_probe(request);
        if !node.ejection.is_ejected(request.class) || is_probe {
            return false;
        }
        let accepts = |node: &Node| !node.ejection.is_ejected(request.class);
        match request.shard {
            Some(shard) => self.up_nodes(shard).any(|(_, node)| accepts(node)),
            None => self.values().any(|node| node.is_up() && accepts(node)),
        }
    }

    /// Returns the shard of a server that is to be probed, for a request that may be the probe.
    pub(crate) fn shard_to_probe(
        &self,
        now: Nanos,
        request: &Request,
        settings: &Settings,
    ) -> Option<ShardId> {
        if !settings.may_probe(request) {
            return None;
        }
        let has_capacity =
            |node: &Node| !node.is_full() && node.warmup_quota(now, settings) >= request.units;
        let is_due =
            |node: &&Node| node.ejection.is_probe_due(now) && node.is_up() && has_capacity(node);
        self.values().find(is_due).map(Node::shard)
    }
}

impl Settings {
    /// Returns whether a request may be a probe, which requires that it may be repeated.
    pub(crate) fn may_probe(&self, request: &Request) -> bool {
        self.classes[request.class].semantics == Semantics::Idempotent
    }
}
