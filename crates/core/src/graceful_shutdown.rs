//! The state machine of the graceful shutdown after SIGTERM: how long connections are still
//! accepted, and when the process exits. It does no I/O.

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};
use crate::time_unit::MILLISECOND;

/// Connections are accepted until none has come for this long, because clients learn of a restart
/// with a delay.
const ACCEPT_QUIET: Nanos = 200 * MILLISECOND;
/// Connections are accepted for at least this long.
const MIN_ACCEPT_TIME: Nanos = 450 * MILLISECOND;
/// Connections are accepted for at most this long.
const MAX_ACCEPT_TIME: Nanos = 650 * MILLISECOND;
/// The kill after SIGTERM comes after the longest deadline of a request, or after this time if that
/// is shorter, plus [`KILL_GRACE`].
const MAX_DEADLINE_BEFORE_KILL: Nanos = 3_000 * MILLISECOND;
/// The time between that deadline and the kill.
const KILL_GRACE: Nanos = 700 * MILLISECOND;
/// The minimum time before the kill at which every accepted request is answered.
const ANSWER_MARGIN: Nanos = 250 * MILLISECOND;
/// The minimum time before the kill at which the process exits, unless a response is under way.
const EXIT_MARGIN: Nanos = 100 * MILLISECOND;
/// The maximum time until every accepted request is answered, however late the kill comes.
const MAX_ANSWER_TIME: Nanos = 3_100 * MILLISECOND;
/// The maximum time until the process exits, however late the kill comes, unless a response is under
/// way: a long one may take longer than the deadline of its request, and only the kill may truncate
/// it.
const MAX_EXIT_TIME: Nanos = 3_400 * MILLISECOND;
/// How often the front checks whether it may exit.
const POLL_INTERVAL: Nanos = 20 * MILLISECOND;
/// The front exits after more than this many polls in a row without pending work. A request may
/// still be on its way into the process, so one poll is not enough. Idle connections close by
/// themselves.
const QUIET_POLLS_TO_EXIT: u32 = 10;

/// The state of a front's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GracefulShutdown {
    started_at: Nanos,
    answer_deadline: Nanos,
    exit_deadline: Nanos,
    /// The number of polls in a row without pending work.
    quiet_polls: u32,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// New connections are accepted.
    Accepting,
    /// No connection is accepted; the open ones are served until they end.
    Draining,
    Finished,
}

/// An event during the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownEvent {
    /// A connection was accepted.
    Accepted,
    /// No connection came within the time of [`ShutdownStep::Accept`].
    AcceptTimedOut,
    /// The front counted its connections.
    Poll {
        /// The number of open connections.
        connections: usize,
        /// The number of those with pending work, see [`ClientConnection::has_pending_work`].
        ///
        /// [`ClientConnection::has_pending_work`]:
        /// crate::client_connection::ClientConnection::has_pending_work
        busy: usize,
        /// The number of those whose response is under way, see
        /// [`ClientConnection::is_delivering`].
        ///
        /// [`ClientConnection::is_delivering`]:
        /// crate::client_connection::ClientConnection::is_delivering
        delivering: usize,
    },
}

/// The front's next step of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownStep {
    /// Accept connections, and wait for the next one for this time.
    Accept(Nanos),
    /// Accept the connections in the backlog, close the listener, and let each connection end with
    /// its current response.
    StopAccepting,
    /// Poll again after this time.
    Wait(Nanos),
    /// Exit the process.
    Exit,
}

impl GracefulShutdown {
    /// Starts the shutdown at `now`. `longest_deadline` is the longest deadline of a request.
    /// Clients learn of a restart with a delay, so new connections are accepted for a while, and
    /// their requests are served like those received before.
    pub fn new(now: Nanos, longest_deadline: Nanos) -> GracefulShutdown {
        let kill_after = longest_deadline.clamp(0, MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE;
        GracefulShutdown {
            started_at: now,
            answer_deadline: now + (kill_after - ANSWER_MARGIN).min(MAX_ANSWER_TIME),
            exit_deadline: now + (kill_after - EXIT_MARGIN).min(MAX_EXIT_TIME),
            quiet_polls: 0,
            stage: Stage::Accepting,
        }
    }

    /// Returns the first step, which is the same for every shutdown.
    pub fn first_step(&self) -> ShutdownStep {
        ShutdownStep::Accept(ACCEPT_QUIET)
    }

    /// Returns when every request must have its answer, whether it was received before or after the
    /// shutdown began.
    pub fn answer_deadline(&self) -> Nanos {
        self.answer_deadline
    }

    /// Returns the number of polls in a row without pending work.
    pub fn quiet_polls(&self) -> u32 {
        self.quiet_polls
    }

    /// Handles an event and returns the next step. An event that does not belong to the current
    /// stage changes nothing.
    pub fn on(&mut self, now: Nanos, event: ShutdownEvent) -> ShutdownStep {
        match (self.stage, event) {
            (Stage::Accepting, ShutdownEvent::Accepted) => self.accept_or_stop(now, false),
            (Stage::Accepting, ShutdownEvent::AcceptTimedOut) => self.accept_or_stop(now, true),
            (Stage::Accepting, ShutdownEvent::Poll { .. }) => ShutdownStep::Accept(ACCEPT_QUIET),
            (
                Stage::Draining,
                ShutdownEvent::Poll {
                    connections,
                    busy,
                    delivering,
                },
            ) => {
                self.count_quiet_poll(busy);
                self.exit_or_wait(now, connections, delivering)
            }
            (Stage::Draining, _) => ShutdownStep::Wait(POLL_INTERVAL),
            (Stage::Finished, _) => ShutdownStep::Exit,
        }
    }

    fn accept_or_stop(&mut self, now: Nanos, timed_out: bool) -> ShutdownStep {
        let elapsed = now - self.started_at;
        if elapsed >= MAX_ACCEPT_TIME || (timed_out && elapsed >= MIN_ACCEPT_TIME) {
            self.stage = Stage::Draining;
            ShutdownStep::StopAccepting
        } else {
            ShutdownStep::Accept(ACCEPT_QUIET)
        }
    }

    fn count_quiet_poll(&mut self, busy: usize) {
        let quiet = busy == 0 || mutated(Mutation::ExitsWithOpenRequests);
        self.quiet_polls = if quiet { self.quiet_polls + 1 } else { 0 };
    }

    fn exit_or_wait(&mut self, now: Nanos, connections: usize, delivering: usize) -> ShutdownStep {
        let all_done = connections == 0 || self.quiet_polls > QUIET_POLLS_TO_EXIT;
        let time_is_up = now >= self.exit_deadline && delivering == 0;
        if all_done || time_is_up {
            self.stage = Stage::Finished;
            ShutdownStep::Exit
        } else {
            ShutdownStep::Wait(POLL_INTERVAL)
        }
    }
}
