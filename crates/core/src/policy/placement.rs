//! The choice of the preferred chunk server of a shard, and of the shard for a new object.

use super::node::Node;
use super::node_table::NodeTable;
use super::SECOND;
use crate::interface::{Nanos, NodeId, Request, Settings, ShardId};
use crate::state::{mean, weighted_choice};

/// Exponent of a server's speed relative to the mean, in the factor on its weight.
const SPEED_EXPONENT: i32 = 2;
/// Maximum speed factor before its decay; its inverse is the minimum.
const SPEED_FACTOR_MAX: f64 = 30.0;
/// Time constant, in nanoseconds, with which the speed factor decays without answers.
const SPEED_MEMORY_NS: f64 = 5.0 * SECOND as f64;
/// Fraction of the speed factor that always remains after its decay; also the factor of a server
/// that has not answered yet.
const SPEED_DECAY_MIN: f64 = 0.03;

/// Sort key of a server among those of its shard; the lowest is preferred.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    /// Whether it is suspect, or ejected for all classes.
    is_avoided: bool,
    is_warming_up: bool,
    /// The negated time of the last start, so that the server that started last sorts first.
    negative_start: Nanos,
    id: NodeId,
}

impl Preference {
    /// Returns the sort key of a server. While one server of a shard replaces another, both are
    /// listed; the old one is preferred until the new one has warmed up.
    fn of(id: NodeId, node: &Node) -> Preference {
        Preference {
            is_avoided: !node.is_healthy() || node.ejection.is_fully_ejected(),
            is_warming_up: node.slow_start.is_active(),
            negative_start: -node.started_at(),
            id,
        }
    }
}

impl NodeTable {
    /// Returns the preferred server of a shard, if any is in service.
    pub fn preferred_node(&self, shard: ShardId) -> Option<&Node> {
        let up_nodes = self.up_nodes(shard);
        let preferred = up_nodes.min_by_key(|(id, node)| Preference::of(*id, node));
        preferred.map(|(_, node)| node)
    }

    /// Returns the servers of a shard that are in service: first those for which the fleet has
    /// requested a probe, and otherwise by preference.
    pub fn nodes_by_preference(&self, now: Nanos, shard: ShardId) -> Vec<NodeId> {
        let mut nodes: Vec<(NodeId, &Node)> = self.up_nodes(shard).collect();
        nodes.sort_by_key(|(id, node)| {
            let is_probe_due = node.ejection.is_probe_due(now);
            (!is_probe_due, Preference::of(*id, node))
        });
        nodes.iter().map(|(id, _)| *id).collect()
    }

    /// Chooses the shard of a new object. A server to be probed comes first. Otherwise the choice
    /// is random by weight: among healthy servers with free capacity that are not ejected for the
    /// request's class, else among all that are not ejected for it, else among all. `draw` is a
    /// random number uniform in 0..1.
    pub fn choose_shard(
        &self,
        now: Nanos,
        request: &Request,
        settings: &Settings,
        draw: f64,
    ) -> Option<ShardId> {
        let accepts = |node: &Node| !node.ejection.is_ejected(request.class);
        let fits = |node: &Node| {
            node.has_capacity(node.window.size(), now)
                && node.warmup_quota(now, settings) >= request.units
        };
        let is_free = |node: &Node| node.is_healthy() && accepts(node) && fits(node);
        self.shard_to_probe(now, request, settings)
            .or_else(|| self.choose_among(now, draw, is_free))
            .or_else(|| self.choose_among(now, draw, accepts))
            .or_else(|| self.choose_among(now, draw, |_| true))
    }

    fn choose_among(
        &self,
        now: Nanos,
        draw: f64,
        is_eligible: impl Fn(&Node) -> bool,
    ) -> Option<ShardId> {
        let nodes = || {
            let up_nodes = self.values().filter(|node| node.is_up());
            up_nodes.filter(|node| is_eligible(node))
        };
        let mean_latency = mean(nodes().filter_map(|node| node.latency.fast())).unwrap_or(0.0);
        let weight = |node: &Node| node.weight.current() * speed_factor(node, mean_latency, now);
        let weighted: Vec<(ShardId, f64)> =
            nodes().map(|node| (node.shard(), weight(node))).collect();
        weighted_choice(draw, &weighted)
    }
}

/// Returns a factor on the weight that favors fast servers with recent answers. The weight alone
/// adapts too slowly if this front is one of a hundred.
fn speed_factor(node: &Node, mean_latency: f64, now: Nanos) -> f64 {
    let Some(fast_latency) = node.latency.fast() else {
        return SPEED_DECAY_MIN;
    };
    let speed = mean_latency.max(1.0) / fast_latency.max(1.0);
    let silence = (now - node.latency.updated_at()) as f64;
    let decay = (-silence / SPEED_MEMORY_NS).exp().max(SPEED_DECAY_MIN);
    let factor = speed
        .powi(SPEED_EXPONENT)
        .clamp(1.0 / SPEED_FACTOR_MAX, SPEED_FACTOR_MAX);
    decay * factor
}
