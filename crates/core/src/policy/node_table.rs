//! The table of chunk servers, its index by shard, and the set of servers that ticks visit.
//!
//! A front of a large fleet knows thousands of servers and has work for a few. The state of an idle
//! server does not change with time: nothing is in flight, it is not warming up, and its weight has
//! recovered. A tick visits only the other servers, the active ones, so that its cost grows with
//! the work of this front and not with the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::ops::Index;

use super::node::Node;
use crate::fleet_limits::FleetLimits;
use crate::interface::{Nanos, NodeId, NodeInfo, Settings, ShardId};
use crate::mutations::{mutated, Mutation};

/// All chunk servers that are in the endpoint list or still referred to.
#[derive(Clone, Debug)]
pub(crate) struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    /// The servers of each shard, including those removed from the endpoint list.
    shards: BTreeMap<ShardId, Vec<NodeId>>,
    /// The servers that the next tick visits because their state may change with time.
    active: BTreeSet<NodeId>,
    last_tick_at: Nanos,
}

impl Index<NodeId> for NodeTable {
    type Output = Node;

    /// # Panics
    /// Panics if the table has no such server. It keeps each server to which a request refers.
    fn index(&self, id: NodeId) -> &Node {
        &self.nodes[&id]
    }
}

impl NodeTable {
    /// Creates an empty table.
    pub fn new(now: Nanos) -> NodeTable {
        NodeTable {
            nodes: BTreeMap::new(),
            shards: BTreeMap::new(),
            active: BTreeSet::new(),
            last_tick_at: now,
        }
    }

    /// Returns the number of servers, including removed ones that are still referred to.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns the number of servers that the next tick visits.
    pub fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Returns mutable access to a server, if the table has it.
    pub fn get_mut(&mut self, id: NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(&id)
    }

    /// Iterates over the servers with their ids, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (NodeId, &Node)> {
        self.nodes.iter().map(|(id, node)| (*id, node))
    }

    /// Iterates over the servers in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    /// Iterates mutably over the servers in the order of their ids.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.nodes.values_mut()
    }

    /// Iterates over the servers of a shard that are in service according to the endpoint list.
    pub fn up_nodes(&self, shard: ShardId) -> impl Iterator<Item = (NodeId, &Node)> {
        let members = self.shards.get(&shard).into_iter().flatten();
        let nodes = members.map(|id| (*id, &self.nodes[id]));
        let drain_missed = |node: &Node| mutated(Mutation::DrainIgnoresQueue) && node.is_draining();
        nodes.filter(move |(_, node)| node.is_up() || drain_missed(node))
    }

    /// Returns whether the preferred server of a shard, or any server if no shard is given, has a
    /// credit that admits a request.
    pub fn has_admission_credit(&self, shard: Option<ShardId>) -> bool {
        match shard {
            Some(shard) => self
                .preferred_node(shard)
                .is_some_and(Node::has_admission_credit),
            None => self.values().any(Node::has_admission_credit),
        }
    }

    /// Applies an entry of the endpoint list. A new server gets the limits of the fleet, and one
    /// that has recently started begins its warm-up. `jitter` is the initial warm-up budget in
    /// requests of mean size, random so as to spread the first sends of all fronts.
    pub fn apply_entry(
        &mut self,
        now: Nanos,
        info: &NodeInfo,
        limits: &FleetLimits,
        settings: &Settings,
        jitter: f64,
    ) {
        // The server is assumed to serve at least what the other servers of its shard served.
        let warm_rate = self.warm_rate_of_shard(info.shard);
        let node = self.upsert(now, info, limits);
        node.slow_start.raise_warm_rate(warm_rate);
        let has_started = node.update_start(info.started_at);
        let warmup = settings.warmup_duration;
        if has_started && now - info.started_at < warmup {
            let budget = jitter * settings.mean_units;
            node.start_warmup(info.started_at, info.started_at + warmup, budget);
            self.activate(info.node);
        }
    }

    /// Marks all servers that a complete endpoint list does not contain as removed.
    pub fn mark_unlisted_removed(&mut self, listed: &[NodeInfo]) {
        let listed: BTreeSet<NodeId> = listed.iter().map(|info| info.node).collect();
        for (id, node) in &mut self.nodes {
            if !listed.contains(id) {
                node.mark_removed();
            }
        }
    }

    /// Drops the removed servers that nothing refers to any more and returns their ids. Without
    /// this the table would grow with every replacement of a server. `referenced` lists the servers
    /// to which requests refer.
    pub fn forget_removed(&mut self, referenced: &[NodeId]) -> Vec<NodeId> {
        let is_unused = |id: &NodeId, node: &Node| {
            let is_idle = node.in_flight.is_empty() && !node.slow_start.has_recent_sends();
            node.is_removed() && is_idle && !referenced.contains(id)
        };
        let unused = self.nodes.iter().filter(|(id, node)| is_unused(id, node));
        let removed: Vec<NodeId> = unused.map(|(id, _)| *id).collect();
        for id in &removed {
            if let Some(node) = self.nodes.remove(id) {
                self.remove_from_shard(*id, node.shard());
            }
        }
        removed
    }

    /// Makes ticks visit a server again and aligns its control period.
    pub fn activate(&mut self, id: NodeId) {
        if !self.active.insert(id) {
            return;
        }
        if let Some(node) = self.nodes.get_mut(&id) {
            let fast_latency = node.latency.fast();
            node.weight.align_period(self.last_tick_at, fast_latency);
        }
    }

    /// Calls `visit` for each active server, in the order of their ids.
    pub fn for_each_active(&mut self, mut visit: impl FnMut(NodeId, &mut Node)) {
        for id in &self.active {
            if let Some(node) = self.nodes.get_mut(id) {
                visit(*id, node);
            }
        }
    }

    /// Removes the servers from the active set whose state no longer changes with time.
    pub fn deactivate_idle(&mut self) {
        let nodes = &self.nodes;
        self.active
            .retain(|id| nodes.get(id).is_some_and(Node::needs_ticks));
    }

    /// Records the start of a tick and returns the time since the previous one.
    pub fn start_tick(&mut self, now: Nanos) -> Nanos {
        let elapsed = now - self.last_tick_at;
        self.last_tick_at = now;
        elapsed
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (id, node) in &self.nodes {
            id.hash(hasher);
            node.fingerprint(now, hasher);
        }
        self.shards.hash(hasher);
        (now - self.last_tick_at).hash(hasher);
    }

    /// Returns the highest rate in units per second that any server of a shard served this front
    /// when it was last warm.
    fn warm_rate_of_shard(&self, shard: ShardId) -> f64 {
        let members = self.shards.get(&shard).into_iter().flatten();
        members
            .map(|id| self.nodes[id].slow_start.warm_rate())
            .fold(0.0, f64::max)
    }

    /// Inserts or updates a server with the shard, zone and state of its endpoint list entry.
    fn upsert(&mut self, now: Nanos, info: &NodeInfo, limits: &FleetLimits) -> &mut Node {
        self.assign_shard(info.node, info.shard);
        let new_node = || Node::new(info, now, limits.node_limits(now));
        let node = self.nodes.entry(info.node).or_insert_with(new_node);
        node.update_entry(info);
        node
    }

    /// Updates the index by shard for a server, which may have moved to another shard.
    fn assign_shard(&mut self, id: NodeId, shard: ShardId) {
        let old = self
            .nodes
            .get_mut(&id)
            .map(|node| node.replace_shard(shard));
        if let Some(old) = old.filter(|old| *old != shard) {
            self.remove_from_shard(id, old);
        }
        let members = self.shards.entry(shard).or_default();
        if !members.contains(&id) {
            members.push(id);
        }
    }

    fn remove_from_shard(&mut self, id: NodeId, shard: ShardId) {
        if let Some(members) = self.shards.get_mut(&shard) {
            members.retain(|member| *member != id);
        }
    }
}
