//! The nodes, as discovery has described them to the front.

use std::hash::{Hash, Hasher};

use tulipbridge_core::{EndpointState, Nanos, NodeId, NodeInfo, ShardId};

/// Number of zones, over which the nodes are spread in turn.
const ZONES: u32 = 2;
/// Start time of the nodes that are up in the initial state. They have warmed up.
const STARTED_LONG_AGO: Nanos = 0;

/// A node, as discovery has described it to the front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NodeState {
    state: EndpointState,
    shard: ShardId,
    started_at: Nanos,
    /// The front has forgotten it.
    forgotten: bool,
}

impl NodeState {
    /// A node that has started at a moment.
    fn started(shard: ShardId, started_at: Nanos) -> NodeState {
        NodeState {
            state: EndpointState::Up,
            shard,
            started_at,
            forgotten: false,
        }
    }
}

/// All nodes.
#[derive(Clone, Debug)]
pub(super) struct Nodes {
    /// The nodes by their [`NodeId`].
    nodes: Vec<NodeState>,
}

impl Nodes {
    /// Nodes that are up and have warmed up, each with a shard of its own.
    pub(super) fn new(count: usize) -> Nodes {
        let shards = (0..count as u32).map(ShardId);
        Nodes {
            nodes: shards
                .map(|shard| NodeState::started(shard, STARTED_LONG_AGO))
                .collect(),
        }
    }

    /// The identifiers of all nodes.
    pub(super) fn ids(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len()).map(NodeId)
    }

    /// A node as discovery lists it.
    pub(super) fn info(&self, node: NodeId) -> NodeInfo {
        let state = &self.nodes[node.0];
        NodeInfo {
            node,
            zone: node.0 as u32 % ZONES,
            shard: state.shard,
            state: state.state,
            started_at: state.started_at,
        }
    }

    /// Whether a node is listed, and neither draining nor removed.
    pub(super) fn is_up(&self, node: NodeId) -> bool {
        self.nodes[node.0].state == EndpointState::Up
    }

    /// Whether a node has been removed from the endpoint list.
    pub(super) fn is_removed(&self, node: NodeId) -> bool {
        self.nodes[node.0].state == EndpointState::Removed
    }

    /// Whether the front has forgotten a node.
    pub(super) fn is_forgotten(&self, node: NodeId) -> bool {
        self.nodes[node.0].forgotten
    }

    /// The shards of the nodes that are up and have warmed up.
    pub(super) fn warmed_up_shards(&self) -> Vec<ShardId> {
        let is_warmed_up = |node: &&NodeState| {
            node.state == EndpointState::Up && node.started_at == STARTED_LONG_AGO
        };
        let warmed_up = self.nodes.iter().filter(is_warmed_up);
        warmed_up.map(|node| node.shard).collect()
    }

    /// Discovery lists a node differently.
    pub(super) fn set_listed(&mut self, node: NodeId, state: EndpointState) {
        self.nodes[node.0].state = state;
    }

    /// A node starts, either a new one with the next identifier or one that was there before.
    pub(super) fn start(&mut self, node: NodeId, shard: ShardId, now: Nanos) {
        let started = NodeState::started(shard, now);
        if node == NodeId(self.nodes.len()) {
            self.nodes.push(started);
        } else {
            self.nodes[node.0] = started;
        }
    }

    /// The front forgets a node.
    pub(super) fn forget(&mut self, node: NodeId) {
        self.nodes[node.0].forgotten = true;
    }
}

impl Hash for Nodes {
    /// Leaves out when a node started: the policy keeps that, as far as it still matters.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        for node in &self.nodes {
            (node.state, node.shard, node.forgotten).hash(hasher);
        }
    }
}
