//! The chunk servers that ticks visit.
//!
//! A front of a large fleet knows thousands of servers and has work for a few. At a server at rest
//! nothing changes with time: nothing is in flight, it does not warm up, and its weight is
//! restored. Only the others are visited, so that the cost of a tick grows with the work of this
//! front and not with the fleet.

use crate::interface::{Nanos, NodeId};
use crate::state::{Node, Scheduler};

/// The interval of ticks, to which control periods of resting servers are aligned.
const TICK: Nanos = 10_000_000;

impl Node {
    /// Whether anything changes at this server with time alone.
    fn needs_ticks(&self) -> bool {
        let is_recovering =
            self.weight < self.base_weight || self.period_congested || self.window_reduced;
        let has_sends = !self.in_flight.is_empty() || !self.warmup_sends.is_empty();
        has_sends || is_recovering || self.warmup_since.is_some()
    }

    /// Starts the control period that would have begun last, had the periods of this length been
    /// ended by ticks.
    fn align_period(&mut self, last_tick_at: Nanos, length: Nanos) {
        let span = (length + TICK - 1) / TICK * TICK;
        let elapsed = (last_tick_at - self.period_started_at).max(0);
        self.period_started_at += elapsed / span * span;
    }
}

impl Scheduler {
    /// Has ticks visit a server again.
    pub(crate) fn activate(&mut self, at: NodeId) {
        let last_tick_at = self.last_tick_at;
        if !self.active_nodes.insert(at) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(&at) {
            let length = node.period_length();
            node.align_period(last_tick_at, length);
        }
    }

    /// Ends the visits to servers that have come to rest.
    pub(crate) fn retire_resting_nodes(&mut self) {
        let nodes = &self.nodes;
        self.active_nodes
            .retain(|id| nodes.get(id).is_some_and(Node::needs_ticks));
    }
}
