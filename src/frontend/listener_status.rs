//! What a listener publishes about itself, for the admin console.

use std::cell::Cell;
use std::rc::Rc;

/// The state of a listener. Copies show the same listener, which alone changes it.
#[derive(Clone, Default)]
pub struct ListenerStatus {
    shared: Rc<SharedStatus>,
}

/// What all copies of a status share.
#[derive(Default)]
struct SharedStatus {
    accepting: Cell<bool>,
    active_requests: Cell<usize>,
}

impl ListenerStatus {
    /// Whether clients are accepted: from the start until SIGTERM.
    pub fn is_accepting(&self) -> bool {
        self.shared.accepting.get()
    }

    /// The number of requests received whose responses are not complete.
    pub fn active_requests(&self) -> usize {
        self.shared.active_requests.get()
    }

    /// Publishes whether clients are accepted from now on.
    pub(super) fn set_accepting(&self, accepting: bool) {
        self.shared.accepting.set(accepting);
    }

    /// Counts a request that has been received.
    pub(super) fn request_started(&self) {
        let active = &self.shared.active_requests;
        active.set(active.get() + 1);
    }

    /// Counts the end of a request that was counted at its start.
    pub(super) fn request_ended(&self) {
        let active = &self.shared.active_requests;
        active.set(active.get() - 1);
    }
}
