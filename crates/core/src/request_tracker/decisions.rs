//! The interface between the request tracker and the policy that decides.

use crate::interface::{Action, Event, Nanos, RequestId};
use crate::policy::Scheduler;

/// The policy that decides on requests: handles events in order and appends its actions.
pub trait Decisions {
    /// Handles one event. `now` never goes back between calls.
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>);

    /// Until when the first byte of an attempt placed now may be written; later the request may no
    /// longer be repeated.
    fn begin_deadline(&self, _id: RequestId) -> Nanos {
        Nanos::MAX
    }
}

impl Decisions for Scheduler {
    fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        Scheduler::handle(self, now, event, actions);
    }

    fn begin_deadline(&self, id: RequestId) -> Nanos {
        Scheduler::begin_deadline(self, id)
    }
}
