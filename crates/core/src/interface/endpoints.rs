//! The endpoint list: the chunk servers and their states.

use crate::interface::{Nanos, NodeId, ShardId};

/// The state of a chunk server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// In service.
    Up,
    /// Finishing its work before it leaves.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeInfo {
    /// The chunk server.
    pub node: NodeId,
    /// Its zone.
    pub zone: u32,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Its state.
    pub state: EndpointState,
    /// When it last started; 0 is long ago.
    pub started_at: Nanos,
}

/// The kind of an endpoint event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpdateScope {
    /// Changed entries only.
    Update,
    /// The complete list.
    Replace,
    /// The list as last known before a restart, perhaps stale.
    Restored,
    /// The call failed or the subscription broke; there are no entries.
    Unavailable,
}
