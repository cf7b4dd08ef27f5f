//! The description of a client's request that the decision module gets.

use crate::interface::{KeyId, Nanos, RequestId, ShardId, VolumeId};

/// A client's request, as far as decisions depend on it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in later events and in actions.
    pub id: RequestId,
    /// The index of the request's class in the settings.
    pub class: usize,
    /// The index in the settings of the plan of the request's volume.
    pub plan: usize,
    /// The volume on whose behalf the request is made.
    pub volume: VolumeId,
    /// The piece of data that the request reads or writes, if any.
    pub key: Option<KeyId>,
    /// The time until the client gives up waiting.
    pub client_timeout: Nanos,
    /// The cost of the request, in units of work.
    pub units: f64,
    /// The shard that holds the request's data; `None` for a new object.
    pub shard: Option<ShardId>,
    /// The number of fronts through which the volume sends its requests.
    pub front_count: u32,
    /// Whether the request reads a further part of a response that the client already receives. A
    /// shutdown does not shorten its deadline.
    pub continues_response: bool,
}
