//! Tracks whether this front is ready for clients. Discovery updates the state, the health check
//! reads it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tulipbridge_core::startup_readiness::StartupReadiness;
use tulipbridge_core::Nanos;

/// A shared handle to the readiness of this front. [`StartupReadiness`] has the rules; this adds
/// the clock.
#[derive(Clone, Debug)]
pub struct Readiness {
    started: Instant,
    state: Rc<Cell<StartupReadiness>>,
}

impl Readiness {
    /// Creates the state of a front that starts now; see [`StartupReadiness::new`].
    pub fn new(polls_discovery: bool) -> Readiness {
        let state = StartupReadiness::new(0, polls_discovery);
        Readiness {
            started: Instant::now(),
            state: Rc::new(Cell::new(state)),
        }
    }

    /// Records that a watch on discovery has opened.
    pub fn watch_opened(&self) {
        let now = self.now();
        self.update(|state| state.watch_opened(now));
    }

    /// Records that the endpoint list is as current as it can be: discovery has confirmed or
    /// updated it, or none is configured.
    pub fn list_confirmed(&self) {
        self.update(StartupReadiness::list_confirmed);
    }

    /// Records that a call to discovery failed, `took` after it was made.
    pub fn call_failed(&self, took: Duration) {
        self.update(|state| state.call_failed(took.as_nanos() as Nanos));
    }

    /// Records that a call to discovery was abandoned without a response.
    pub fn call_unanswered(&self) {
        self.update(StartupReadiness::call_unanswered);
    }

    /// Returns whether the front is ready now.
    pub fn is_ready(&self) -> bool {
        self.state.get().is_ready(self.now())
    }

    /// Returns the time since [`Readiness::new`], in nanoseconds.
    fn now(&self) -> Nanos {
        self.started.elapsed().as_nanos() as Nanos
    }

    /// Applies a change to the shared state.
    fn update(&self, change: impl FnOnce(&mut StartupReadiness)) {
        let mut state = self.state.get();
        change(&mut state);
        self.state.set(state);
    }
}
