//! Maps the requests of an instance between their names on the wire and their ids in the decision
//! module.

use std::collections::HashMap;

use tulipbridge::RequestId;

/// A request that has not finished or still has attempts in flight.
struct ActiveRequest {
    name: String,
    attempts_in_flight: u32,
    finished: bool,
}

/// Active requests by name and id.
#[derive(Default)]
pub struct RequestRegistry {
    ids: HashMap<String, RequestId>,
    requests: HashMap<RequestId, ActiveRequest>,
    next_id: RequestId,
}

impl RequestRegistry {
    /// Returns the id that the next added request gets.
    pub fn next_id(&self) -> RequestId {
        self.next_id
    }

    /// Adds a request under [`RequestRegistry::next_id`].
    pub fn add(&mut self, name: &str) {
        let id = self.next_id;
        self.next_id.0 += 1;
        self.ids.insert(name.to_owned(), id);
        let request = ActiveRequest {
            name: name.to_owned(),
            attempts_in_flight: 0,
            finished: false,
        };
        self.requests.insert(id, request);
    }

    /// Returns the id of an active request.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of an active request.
    pub fn name(&self, id: RequestId) -> Option<String> {
        self.requests.get(&id).map(|request| request.name.clone())
    }

    /// Counts an attempt of a request as in flight.
    pub fn attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight += 1;
        }
    }

    /// Records the end of an attempt; `finished` tells whether the request has finished with it.
    pub fn attempt_ended(&mut self, id: RequestId, finished: bool) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.finished |= finished;
        }
        self.remove_if_inactive(id);
    }

    /// Records that a request has its final answer, or that its client has disconnected.
    pub fn finish(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.finished = true;
        }
        self.remove_if_inactive(id);
    }

    fn remove_if_inactive(&mut self, id: RequestId) {
        let is_inactive =
            |request: &ActiveRequest| request.finished && request.attempts_in_flight == 0;
        if !self.requests.get(&id).is_some_and(is_inactive) {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.ids.remove(&request.name);
        }
    }
}
