//! Graceful shutdown after SIGTERM: how long connections are still accepted, and when the process exits. No I/O.

use crate::interface::Nanos;
use crate::mutations::{mutated, Mutation};

const MS: Nanos = 1_000_000;
/// Connections are accepted until none has come for this long, since clients learn of a restart late.
const ACCEPT_QUIET: Nanos = 200 * MS;
/// Connections are accepted for at least this long.
const MIN_ACCEPT_TIME: Nanos = 450 * MS;
/// Connections are accepted for at most this long.
const MAX_ACCEPT_TIME: Nanos = 650 * MS;
/// The kill after SIGTERM waits for the longest deadline of a request, up to this.
const MAX_DEADLINE_BEFORE_KILL: Nanos = 3_000 * MS;
/// The kill comes this long after that deadline.
const KILL_GRACE: Nanos = 700 * MS;
/// Every accepted request is answered this long before the kill.
const ANSWER_MARGIN: Nanos = 250 * MS;
/// The process exits this long before the kill, whatever is still open.
const EXIT_MARGIN: Nanos = 100 * MS;
/// Every accepted request is answered within this, however late the kill.
const MAX_ANSWER_TIME: Nanos = 3_100 * MS;
/// The process exits within this, however late the kill.
const MAX_EXIT_TIME: Nanos = 3_400 * MS;
/// How often the front checks whether it may exit.
const POLL_INTERVAL: Nanos = 20 * MS;
/// It exits after more than this many polls in a row without an open request: one may still be on its way into the
/// process, while an idle connection closes by itself.
const QUIET_POLLS_TO_EXIT: u32 = 10;

/// The end of a front after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GracefulShutdown {
    started_at: Nanos,
    /// All that was taken is answered by then, and the front has ended by the second.
    answer_deadline: Nanos,
    exit_deadline: Nanos,
    /// Looks in a row at which nothing was open.
    quiet_polls: u32,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Accepting,
    Draining,
    Finished,
}

/// What happens while a front leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownEvent {
    /// A connection was accepted.
    Accepted,
    /// None came for as long as [`Leave::Take`] said.
    AcceptTimedOut,
    /// The front looks at what it holds.
    Poll {
        /// Connections.
        connections: usize,
        /// Those on which something is owed: a request that has begun to come or is being answered, an answer whose
        /// last byte is not with the system, bytes that would turn the end into a reset.
        busy: usize,
    },
}

/// What a front that leaves does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShutdownStep {
    /// Accept what comes within this time.
    Accept(Nanos),
    /// Accept what waits already, close the socket, tell connections to end with their present answer.
    StopAccepting,
    /// Look again after this time.
    Wait(Nanos),
    /// End.
    Exit,
}

impl GracefulShutdown {
    /// Told to leave now, where the longest deadline of a request is so long: new connections go on coming until clients learn of the restart, and what they carry
    /// counts as taken.
    pub fn new(now: Nanos, longest_deadline: Nanos) -> (GracefulShutdown, ShutdownStep) {
        let kill = longest_deadline.clamp(0, MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE;
        let answered = now + (kill - ANSWER_MARGIN).min(MAX_ANSWER_TIME);
        let end = now + (kill - EXIT_MARGIN).min(MAX_EXIT_TIME);
        (
            GracefulShutdown {
                started_at: now,
                answer_deadline: answered,
                exit_deadline: end,
                quiet_polls: 0,
                stage: Stage::Accepting,
            },
            ShutdownStep::Accept(ACCEPT_QUIET),
        )
    }

    /// All that was taken, and is yet to be, is answered by then.
    pub fn answer_deadline(&self) -> Nanos {
        self.answer_deadline
    }

    /// Looks in a row at which nothing was open.
    pub fn quiet_polls(&self) -> u32 {
        self.quiet_polls
    }

    /// Takes what has happened and says what is done next.
    pub fn on(&mut self, now: Nanos, event: ShutdownEvent) -> ShutdownStep {
        let since = now - self.started_at;
        match (self.stage, event) {
            (Stage::Accepting, ShutdownEvent::Accepted | ShutdownEvent::AcceptTimedOut) => {
                let none = event == ShutdownEvent::AcceptTimedOut;
                if since >= MAX_ACCEPT_TIME || (none && since >= MIN_ACCEPT_TIME) {
                    self.stage = Stage::Draining;
                    ShutdownStep::StopAccepting
                } else {
                    ShutdownStep::Accept(ACCEPT_QUIET)
                }
            }
            (Stage::Draining, ShutdownEvent::Poll { connections: held, busy: open }) => {
                self.quiet_polls =
                    if open == 0 || mutated(Mutation::LeavesOpenRequests) { self.quiet_polls + 1 } else { 0 };
                if held == 0 || self.quiet_polls > QUIET_POLLS_TO_EXIT || now >= self.exit_deadline {
                    self.stage = Stage::Finished;
                    ShutdownStep::Exit
                } else {
                    ShutdownStep::Wait(POLL_INTERVAL)
                }
            }
            (Stage::Finished, _) => ShutdownStep::Exit,
            (Stage::Accepting, _) => ShutdownStep::Accept(ACCEPT_QUIET),
            (Stage::Draining, _) => ShutdownStep::Wait(POLL_INTERVAL),
        }
    }
}
