//! A queue of events ordered by simulated time.

use std::collections::BTreeMap;

use tulipbridge_membership::Nanos;

/// An event that is due.
pub struct DueEvent<E> {
    /// The time at which it is due.
    pub at: Nanos,
    /// The event.
    pub event: E,
}

/// Events ordered by the time at which they are due. Events due at the same time keep the order in
/// which they were scheduled, which keeps a simulation deterministic.
pub struct EventQueue<E> {
    /// By due time and by the number of the event.
    events: BTreeMap<(Nanos, u64), E>,
    /// How many events have been scheduled.
    scheduled: u64,
}

impl<E> EventQueue<E> {
    /// An empty queue.
    pub fn new() -> EventQueue<E> {
        EventQueue {
            events: BTreeMap::new(),
            scheduled: 0,
        }
    }

    /// Adds an event that is due at a time.
    pub fn schedule(&mut self, at: Nanos, event: E) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    /// Removes and returns the earliest event, if it is due at `deadline` or before.
    pub fn pop_due(&mut self, deadline: Nanos) -> Option<DueEvent<E>> {
        let entry = self
            .events
            .first_entry()
            .filter(|first| first.key().0 <= deadline)?;
        let ((at, _), event) = entry.remove_entry();
        Some(DueEvent { at, event })
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue::new()
    }
}
