//! A client's request.

use crate::interface::{KeyId, Nanos, RequestId, ShardId, VolumeId};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The index of its class.
    pub class: usize,
    /// The index of its volume's plan.
    pub plan: usize,
    /// Its volume.
    pub volume: VolumeId,
    /// The piece of data that it reads or writes.
    pub key: Option<KeyId>,
    /// The time until the client gives up.
    pub client_timeout: Nanos,
    /// Its work in units.
    pub units: f64,
    /// The shard that holds its data; `None` for a new object.
    pub shard: Option<ShardId>,
    /// The number of fronts through which its volume works.
    pub front_count: u32,
}
