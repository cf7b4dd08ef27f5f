//! The entries of the endpoint list: the chunk servers that discovery names, and their states.

use crate::interface::{Nanos, NodeId, ShardId};

/// The state of a chunk server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// In service: requests may be sent to it.
    Up,
    /// Finishing the work in flight before it is removed; it gets no new attempts.
    Draining,
    /// Removed from the endpoint list.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeInfo {
    /// The chunk server that the entry describes.
    pub node: NodeId,
    /// The index of the zone in which the chunk server runs.
    pub zone: u32,
    /// The shard that it holds.
    pub shard: ShardId,
    /// Whether the chunk server is in service.
    pub state: EndpointState,
    /// When the chunk server last started, in nanoseconds; 0 means long ago.
    pub started_at: Nanos,
}

/// How an endpoint event relates to the entries known before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpdateScope {
    /// The event holds only the entries that changed.
    Update,
    /// The event holds the complete list.
    Replace,
    /// The event holds the list as last known before a restart, which may be stale.
    Restored,
    /// The call to discovery failed or the subscription broke; the event holds no entries.
    Unavailable,
}
