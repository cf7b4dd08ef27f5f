//! The execution order of requests with the same key, for classes that keep it.
//!
//! Only the first request of a key may be sent, and only when no attempt of an earlier request can
//! still be executed.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use crate::interface::{KeyId, Nanos, RequestId};

/// The queue of requests with one key.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    /// In the order in which they must be executed.
    requests: VecDeque<RequestId>,
    /// Time until which an earlier attempt may still be executed.
    blocked_until: Nanos,
}

/// The queues of all keys that have requests or are still blocked by an earlier attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyOrder {
    queues: BTreeMap<KeyId, KeyQueue>,
}

impl KeyOrder {
    /// Appends a request to its key's queue.
    pub fn enqueue(&mut self, key: KeyId, id: RequestId) {
        self.queues.entry(key).or_default().requests.push_back(id);
    }

    /// Removes a request from its key's queue, if it is there.
    pub fn remove(&mut self, now: Nanos, key: KeyId, id: RequestId) {
        let Some(queue) = self.queues.get_mut(&key) else {
            return;
        };
        queue.requests.retain(|queued| *queued != id);
        if queue.requests.is_empty() && now >= queue.blocked_until {
            self.queues.remove(&key);
        }
    }

    /// Blocks further requests of a key until the given time, if the key has a queue.
    pub fn block_until(&mut self, key: KeyId, until: Nanos) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.blocked_until = until;
        }
    }

    /// Returns the first request in a key's queue.
    pub fn first(&self, key: KeyId) -> Option<RequestId> {
        self.queues.get(&key)?.requests.front().copied()
    }

    /// Returns whether a request may be sent: it is the first of its key, and the key is either not
    /// blocked or blocked only by the request's own earlier attempts.
    pub fn allows(&self, now: Nanos, key: KeyId, id: RequestId, is_retry: bool) -> bool {
        let Some(queue) = self.queues.get(&key) else {
            return true;
        };
        let is_first = queue.requests.front() == Some(&id);
        is_first && (now >= queue.blocked_until || is_retry)
    }

    /// Drops the queues that are empty and no longer blocked.
    pub fn expire(&mut self, now: Nanos) {
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || now < queue.blocked_until);
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (key, queue) in &self.queues {
            let negative_time_left = (now - queue.blocked_until).min(0);
            (key, &queue.requests, negative_time_left).hash(hasher);
        }
    }
}
