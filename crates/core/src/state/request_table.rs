//! The table of requests under way.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::Index;

use crate::interface::{Nanos, NodeId, RequestId};
use crate::state::LiveRequest;

/// All requests that are not answered, or that have attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, LiveRequest>,
    /// When all requests are answered, once the front shuts down.
    shutdown_deadline: Nanos,
}

impl Index<RequestId> for RequestTable {
    type Output = LiveRequest;

    /// # Panics
    /// If there is no such request. The table keeps each request that is queued or has attempts in
    /// flight.
    fn index(&self, id: RequestId) -> &LiveRequest {
        &self.requests[&id]
    }
}

impl RequestTable {
    /// An empty table of a front that does not shut down.
    pub fn new() -> RequestTable {
        RequestTable {
            requests: BTreeMap::new(),
            shutdown_deadline: Nanos::MAX,
        }
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether there is such a request.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// A request.
    pub fn get(&self, id: RequestId) -> Option<&LiveRequest> {
        self.requests.get(&id)
    }

    /// A request to change.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut LiveRequest> {
        self.requests.get_mut(&id)
    }

    /// A request whose client waits for its answer.
    pub fn unfinished(&self, id: RequestId) -> Option<&LiveRequest> {
        self.get(id).filter(|live| !live.is_finished())
    }

    /// Adds a request; it is answered before the front shuts down.
    pub fn insert(&mut self, mut live: LiveRequest) {
        live.limit_deadline(self.shutdown_deadline);
        self.requests.insert(live.request().id, live);
    }

    /// Removes a request.
    pub fn remove(&mut self, id: RequestId) -> Option<LiveRequest> {
        self.requests.remove(&id)
    }

    /// The requests that satisfy a condition, in the order of their ids.
    pub fn ids_where(&self, condition: impl Fn(&LiveRequest) -> bool) -> Vec<RequestId> {
        let matching = self.requests.iter().filter(|(_, live)| condition(live));
        matching.map(|(id, _)| *id).collect()
    }

    /// The chunk servers that may have executed an attempt of a request.
    pub fn possible_executors(&self) -> Vec<NodeId> {
        let executions = self
            .requests
            .values()
            .filter_map(LiveRequest::possible_execution);
        executions.map(|execution| execution.node).collect()
    }

    /// Has all requests answered by a deadline.
    pub fn shut_down(&mut self, deadline: Nanos) {
        self.shutdown_deadline = deadline;
        for live in self.requests.values_mut() {
            live.limit_deadline(deadline);
        }
    }

    /// Hashes all that later decisions depend on, with times relative to `now`.
    pub fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        for (id, live) in &self.requests {
            id.hash(hasher);
            live.fingerprint(now, hasher);
        }
        let shuts_down = self.shutdown_deadline < Nanos::MAX;
        let time_left = shuts_down.then(|| self.shutdown_deadline - now);
        time_left.hash(hasher);
    }
}
