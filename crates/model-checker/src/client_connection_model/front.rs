//! The front's process: serving, shutting down, or exited.

use std::hash::{Hash, Hasher};

use tulipbridge_core::graceful_shutdown::{GracefulShutdown, ShutdownEvent, ShutdownStep};
use tulipbridge_core::Nanos;

use super::{hashed_age, LONGEST_DEADLINE, MAX_DELAY, MAX_EXIT_TIME};

/// The front's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrontState {
    /// It has not received SIGTERM.
    Serving,
    /// It has received SIGTERM.
    ShuttingDown(Shutdown),
    /// The process has ended.
    Exited,
}

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Shutdown {
    machine: GracefulShutdown,
    /// The step that the machine has requested.
    step: ShutdownStep,
    /// When it requested that step.
    step_since: Nanos,
    /// When SIGTERM arrived.
    sigterm_at: Nanos,
}

impl Shutdown {
    /// A shutdown that SIGTERM starts at `now`.
    pub(super) fn start(now: Nanos) -> Shutdown {
        let machine = GracefulShutdown::new(now, LONGEST_DEADLINE);
        let step = machine.first_step();
        Shutdown {
            machine,
            step,
            step_since: now,
            sigterm_at: now,
        }
    }

    /// The step that the machine has requested.
    pub(super) fn step(&self) -> ShutdownStep {
        self.step
    }

    /// When the machine requested the present step.
    pub(super) fn step_since(&self) -> Nanos {
        self.step_since
    }

    /// Passes an event to the machine and returns the step that it requests.
    pub(super) fn advance(&mut self, now: Nanos, event: ShutdownEvent) -> ShutdownStep {
        self.step = self.machine.on(now, event);
        self.step_since = now;
        self.step
    }

    /// Whether an exit now is before the time is up, so that no request may be open.
    pub(super) fn is_early_exit(&self, now: Nanos) -> bool {
        now < self.sigterm_at + MAX_EXIT_TIME
    }

    /// Whether the front should have exited, although it may act late twice.
    pub(super) fn is_overdue(&self, now: Nanos) -> bool {
        now > self.sigterm_at + MAX_EXIT_TIME + 2 * MAX_DELAY
    }
}

impl FrontState {
    /// Whether it has received SIGTERM and has not exited.
    pub(super) fn is_shutting_down(&self) -> bool {
        matches!(self, FrontState::ShuttingDown(_))
    }

    /// Whether its socket is open. It is closed once the front drains.
    pub(super) fn is_accepting(&self) -> bool {
        match self {
            FrontState::Serving => true,
            FrontState::ShuttingDown(shutdown) => matches!(shutdown.step, ShutdownStep::Accept(_)),
            FrontState::Exited => false,
        }
    }

    /// Whether it waits for its open connections to end.
    pub(super) fn is_draining(&self) -> bool {
        match self {
            FrontState::ShuttingDown(shutdown) => matches!(shutdown.step, ShutdownStep::Wait(_)),
            FrontState::Serving | FrontState::Exited => false,
        }
    }

    /// Whether it should have exited.
    pub(super) fn is_exit_overdue(&self, now: Nanos) -> bool {
        match self {
            FrontState::ShuttingDown(shutdown) => shutdown.is_overdue(now),
            FrontState::Serving | FrontState::Exited => false,
        }
    }

    /// Hashes the state of the process, with points in time relative to `now`.
    pub(super) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        std::mem::discriminant(self).hash(hasher);
        if let FrontState::ShuttingDown(shutdown) = self {
            (shutdown.machine.quiet_polls(), shutdown.step).hash(hasher);
            hashed_age(now, shutdown.step_since).hash(hasher);
            hashed_age(now, shutdown.sigterm_at).hash(hasher);
        }
    }
}
