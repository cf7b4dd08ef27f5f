//! The table of chunk servers and its index by shard.

use std::collections::BTreeSet;

use crate::interface::{Listed, NodeId, NodeInfo, ShardId};
use crate::mutations::{mutated, Mutation};
use crate::state::{Node, Scheduler};

impl Scheduler {
    /// The chunk servers that are listed up for a shard.
    pub(crate) fn up_nodes(&self, shard: ShardId) -> impl Iterator<Item = (NodeId, &Node)> {
        let members = self
            .shards
            .get(&shard)
            .into_iter()
            .flatten()
            .map(|id| (*id, &self.nodes[id]));
        let drain_missed =
            |node: &Node| mutated(Mutation::DrainIgnoresQueue) && node.listed == Listed::Draining;
        members.filter(move |(_, node)| node.listed == Listed::Up || drain_missed(node))
    }

    /// Applies the shard, zone and state of an entry of the endpoint list. A new chunk server gets
    /// the given window.
    pub(crate) fn upsert_node(&mut self, info: &NodeInfo, window: f64) -> &mut Node {
        self.assign_shard(info.node, info.shard);
        let (now, limits) = (self.now, &self.fleet_limits);
        let new_node = || Node::new(info, now, window, limits.node_limits(now));
        let node = self.nodes.entry(info.node).or_insert_with(new_node);
        node.zone = info.zone;
        node.listed = info.listed;
        node
    }

    /// Moves base weight from one chunk server to another.
    pub(crate) fn move_base_weight(&mut self, from: NodeId, to: NodeId, amount: f64) {
        for (id, change) in [(from, -amount), (to, amount)] {
            self.nodes
                .entry(id)
                .and_modify(|node| node.shift_base_weight(change));
        }
    }

    /// Keeps the index by shard; a chunk server may move to another shard.
    fn assign_shard(&mut self, id: NodeId, shard: ShardId) {
        self.queues.entry(shard).or_default();
        let old = self
            .nodes
            .get_mut(&id)
            .map(|node| std::mem::replace(&mut node.shard, shard));
        if let Some(members) = old
            .filter(|old| *old != shard)
            .and_then(|old| self.shards.get_mut(&old))
        {
            members.retain(|member| *member != id);
        }
        let members = self.shards.entry(shard).or_default();
        if !members.contains(&id) {
            members.push(id);
        }
    }

    /// Marks the chunk servers that are missing in a complete list as removed.
    pub(crate) fn mark_unlisted_removed(&mut self, listed: &[NodeInfo]) {
        let listed: BTreeSet<NodeId> = listed.iter().map(|info| info.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.listed = Listed::Removed;
            }
        }
    }

    /// Drops removed chunk servers that nothing refers to any more and returns their ids. Without
    /// this the table would grow with every replacement.
    pub(crate) fn forget_removed_nodes(&mut self) -> Vec<NodeId> {
        let executions = self
            .live
            .values()
            .filter_map(|live| live.possible_execution);
        let referenced: Vec<NodeId> = executions.map(|execution| execution.node).collect();
        let is_unused = |id: &NodeId, node: &Node| {
            node.listed == Listed::Removed
                && node.in_flight.is_empty()
                && node.warmup_sends.is_empty()
                && !referenced.contains(id)
        };
        let unused = self.nodes.iter().filter(|(id, node)| is_unused(id, node));
        let removed: Vec<NodeId> = unused.map(|(id, _)| *id).collect();
        for id in &removed {
            if let Some(members) = self
                .nodes
                .remove(id)
                .and_then(|node| self.shards.get_mut(&node.shard))
            {
                members.retain(|member| member != id);
            }
        }
        removed
    }
}
