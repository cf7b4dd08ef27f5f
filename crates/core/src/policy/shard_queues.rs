//! The queues of requests that wait for a chunk server of their shard.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use crate::interface::{RequestId, ShardId};

/// A queue for each shard, in the order of arrival. The next request is chosen by its score; the
/// order of arrival only breaks ties.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardQueues {
    queues: BTreeMap<ShardId, Vec<RequestId>>,
}

impl ShardQueues {
    /// Creates the queue of a shard if it does not exist.
    pub fn ensure(&mut self, shard: ShardId) {
        self.queues.entry(shard).or_default();
    }

    /// Appends a request to a shard's queue and returns the new length of the queue.
    pub fn push(&mut self, shard: ShardId, id: RequestId) -> usize {
        let queue = self.queues.entry(shard).or_default();
        queue.push(id);
        queue.len()
    }

    /// Removes a request from a shard's queue, if it is there.
    pub fn remove(&mut self, shard: ShardId, id: RequestId) {
        if let Some(queue) = self.queues.get_mut(&shard) {
            queue.retain(|queued| *queued != id);
        }
    }

    /// Removes and returns the request at an index of [`requests`](Self::requests).
    pub fn take(&mut self, shard: ShardId, index: usize) -> Option<RequestId> {
        self.queues.get_mut(&shard).map(|queue| queue.remove(index))
    }

    /// Returns the requests in a shard's queue.
    pub fn requests(&self, shard: ShardId) -> &[RequestId] {
        self.queues.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the shards whose queue is not empty.
    pub fn waiting_shards(&self) -> impl Iterator<Item = ShardId> + '_ {
        let waiting = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(shard, _)| *shard)
    }

    /// Hashes all that later decisions depend on.
    pub fn fingerprint<H: Hasher>(&self, hasher: &mut H) {
        self.queues.hash(hasher);
    }
}
