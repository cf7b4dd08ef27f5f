//! The table of requests in progress.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::ops::Index;

use crate::interface::{Nanos, NodeId, RequestId};
use crate::state::LiveRequest;

/// All requests that are not finished or have attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, LiveRequest>,
    /// The latest deadline of a request once the front shuts down, unless it continues a response;
    /// [`Nanos::MAX`] before.
    shutdown_deadline: Nanos,
}

impl Index<RequestId> for RequestTable {
    type Output = LiveRequest;

    /// # Panics
    /// Panics if the table does not contain the request. It contains each request that is queued or
    /// has attempts in flight.
    fn index(&self, id: RequestId) -> &LiveRequest {
        &self.requests[&id]
    }
}

impl RequestTable {
    /// Creates an empty table for a front that is not shutting down.
    pub fn new() -> RequestTable {
        RequestTable {
            requests: BTreeMap::new(),
            shutdown_deadline: Nanos::MAX,
        }
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns whether the table contains a request.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns a request, or `None` if the table does not contain it.
    pub fn get(&self, id: RequestId) -> Option<&LiveRequest> {
        self.requests.get(&id)
    }

    /// Returns a request to be modified, or `None` if the table does not contain it.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut LiveRequest> {
        self.requests.get_mut(&id)
    }

    /// Returns a request if its client still waits for the final answer.
    pub fn unfinished(&self, id: RequestId) -> Option<&LiveRequest> {
        self.get(id).filter(|live| !live.is_finished())
    }

    /// Adds a request and limits its deadline to that of the shutdown, if the front shuts down.
    pub fn insert(&mut self, mut live: LiveRequest) {
        live.limit_deadline(self.shutdown_deadline);
        self.requests.insert(live.request().id, live);
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, id: RequestId) -> Option<LiveRequest> {
        self.requests.remove(&id)
    }

    /// Returns the ids of the requests that satisfy a condition, in ascending order.
    pub fn ids_where(&self, condition: impl Fn(&LiveRequest) -> bool) -> Vec<RequestId> {
        let matching = self.requests.iter().filter(|(_, live)| condition(live));
        matching.map(|(id, _)| *id).collect()
    }

    /// Returns the chunk servers of the first possible execution of each request. One server may
    /// occur several times.
    pub fn possible_executors(&self) -> Vec<NodeId> {
        let executions = self
            .requests
            .values()
            .filter_map(LiveRequest::possible_execution);
        executions.map(|execution| execution.node).collect()
    }

    /// Starts the shutdown: limits the deadlines of all present and later requests.
    pub fn shut_down(&mut self, deadline: Nanos) {
        self.shutdown_deadline = deadline;
        for live in self.requests.values_mut() {
            live.limit_deadline(deadline);
        }
    }

    /// Hashes all state that later decisions depend on, with times relative to `now`.
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
