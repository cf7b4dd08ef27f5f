//! The interface between the request tracker and the policy that decides.

use crate::interface::{Action, Event, Nanos, RequestId};
use crate::policy::Scheduler;

use super::InFlightAttempt;

/// A policy that decides on requests. It receives events in order and returns actions.
pub trait Decisions {
    /// Handles one event and appends its actions. `now` never decreases between calls.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);

    /// Returns the time until which the first byte of an attempt sent now may be written. After it,
    /// the request may no longer be repeated.
    fn begin_deadline(&self, _id: RequestId) -> Nanos {
        Nanos::MAX
    }

    /// Returns whether a request would be sent again at once if `in_flight`, its attempt in flight,
    /// ended now without a complete response.
    fn would_retry(&self, _now: Nanos, _id: RequestId, _in_flight: &InFlightAttempt) -> bool {
        false
    }
}

impl Decisions for Scheduler {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, event, actions);
    }

    fn begin_deadline(&self, id: RequestId) -> Nanos {
        Scheduler::begin_deadline(self, id)
    }

    fn would_retry(&self, now: Nanos, id: RequestId, in_flight: &InFlightAttempt) -> bool {
        Scheduler::would_retry(self, now, id, in_flight.node, in_flight.sent_at)
    }
}
