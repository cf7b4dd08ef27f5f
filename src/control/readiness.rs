//! Whether this front is ready for clients, shared between discovery and the health check.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tulipbridge_core::startup_readiness::StartupReadiness;
use tulipbridge_core::Nanos;

/// A handle to the readiness of this front; see [`StartupReadiness`].
#[derive(Clone, Debug)]
pub struct Readiness {
    started: Instant,
    state: Rc<Cell<StartupReadiness>>,
}

impl Readiness {
    /// A front that starts now; see [`StartupReadiness::new`].
    pub fn new(polls_discovery: bool) -> Readiness {
        let state = StartupReadiness::new(0, polls_discovery);
        Readiness {
            started: Instant::now(),
            state: Rc::new(Cell::new(state)),
        }
    }

    /// A watch on discovery has opened.
    pub fn watch_opened(&self) {
        let now = self.now();
        self.update(|state| state.watch_opened(now));
    }

    /// Discovery has confirmed or replaced the endpoint list.
    pub fn list_confirmed(&self) {
        self.update(StartupReadiness::list_confirmed);
    }

    /// A call to discovery has failed after a time.
    pub fn call_failed(&self, took: Duration) {
        self.update(|state| state.call_failed(took.as_nanos() as Nanos));
    }

    /// A call to discovery was given up without an answer.
    pub fn call_unanswered(&self) {
        self.update(StartupReadiness::call_unanswered);
    }

    /// Whether the front is ready now.
    pub fn is_ready(&self) -> bool {
        self.state.get().is_ready(self.now())
    }

    /// The time since the front started, in nanoseconds.
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
