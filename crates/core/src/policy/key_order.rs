//! The order of the requests of one key, for classes that keep it.
//!
//! Only the first request of a key may be sent, and not before earlier attempts that may still be
//! executed have settled.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};

use crate::interface::{KeyId, Nanos, RequestId};

/// The requests of one key.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    /// In the order in which they must be executed.
    requests: VecDeque<RequestId>,
    /// Until then an earlier attempt may still be executed.
    settles_at: Nanos,
}

/// The queues of all keys with requests under way or with attempts that have not settled.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyOrder {
    queues: BTreeMap<KeyId, KeyQueue>,
}

impl KeyOrder {
    /// Appends a request to a key's queue.
    pub fn enqueue(&mut self, key: KeyId, id: RequestId) {
        self.queues.entry(key).or_default().requests.push_back(id);
    }

    /// Takes a request out of its key's queue, if it is there.
    pub fn remove(&mut self, now: Nanos, key: KeyId, id: RequestId) {
        let Some(queue) = self.queues.get_mut(&key) else {
            return;
        };
        queue.requests.retain(|queued| *queued != id);
        if queue.requests.is_empty() && now >= queue.settles_at {
            self.queues.remove(&key);
        }
    }

    /// Lets a key with a queue rest until a time.
    pub fn block_until(&mut self, key: KeyId, until: Nanos) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.settles_at = until;
        }
    }

    /// The request that is next in a key's order.
    pub fn first(&self, key: KeyId) -> Option<RequestId> {
        self.queues.get(&key)?.requests.front().copied()
    }

    /// Whether a request may be sent: it is its key's first, and earlier attempts have settled or
    /// are its own.
    pub fn allows(&self, now: Nanos, key: KeyId, id: RequestId, is_retry: bool) -> bool {
        let Some(queue) = self.queues.get(&key) else {
            return true;
        };
        let is_first = queue.requests.front() == Some(&id);
        is_first && (now >= queue.settles_at || is_retry)
    }

    /// Drops the queues that are empty and have settled.
    pub fn expire(&mut self, now: Nanos) {
        self.queues
            .retain(|_, queue| !queue.requests.is_empty() || now < queue.settles_at);
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (key, queue) in &self.queues {
            let rest = (now - queue.settles_at).min(0);
            (key, &queue.requests, rest).hash(hasher);
        }
    }
}
