//! The status of a listener, as the admin console reads it.

use std::cell::Cell;
use std::rc::Rc;

/// A handle to the status of a listener. Clones share the same status, which only the listener
/// changes.
#[derive(Clone, Default)]
pub struct ListenerStatus {
    shared: Rc<SharedStatus>,
}

/// The values that all clones of a [`ListenerStatus`] share.
#[derive(Default)]
struct SharedStatus {
    accepting: Cell<bool>,
    active_requests: Cell<usize>,
}

impl ListenerStatus {
    /// Returns whether clients are accepted, which holds from the start until SIGTERM.
    pub fn is_accepting(&self) -> bool {
        self.shared.accepting.get()
    }

    /// Returns the number of received requests whose responses are not complete.
    pub fn active_requests(&self) -> usize {
        self.shared.active_requests.get()
    }

    /// Sets whether clients are accepted from now on.
    pub(super) fn set_accepting(&self, accepting: bool) {
        self.shared.accepting.set(accepting);
    }

    /// Adds a request that has been received to the active ones.
    pub(super) fn request_started(&self) {
        let active = &self.shared.active_requests;
        active.set(active.get() + 1);
    }

    /// Removes a request from the active ones that [`ListenerStatus::request_started`] has added.
    pub(super) fn request_ended(&self) {
        let active = &self.shared.active_requests;
        active.set(active.get() - 1);
    }
}
