//! The state machine of one attempt of a request: it acquires a connection, sends the request and
//! ends with one outcome.
//!
//! It returns each next step to the transport and does no I/O.

use crate::interface::Outcome;
use crate::mutations::{mutated, Mutation};
use crate::server_connection::Execution;

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// Waiting for the pool to return an idle connection.
    AcquiringConnection,
    /// Using a pooled connection, which carried requests before.
    OnPooledConnection,
    /// Waiting until a new connection is established.
    Dialing,
    /// Using a connection that was opened for this attempt.
    OnNewConnection,
    /// Ended with this outcome.
    Finished(Outcome),
}

/// An event in the life of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// The pool returned an idle connection.
    PooledConnectionFound,
    /// The pool has no idle connection.
    NoPooledConnection {
        /// Whether the limit on connections allows a new one.
        may_open: bool,
    },
    /// The new connection is established.
    Connected,
    /// The new connection could not be established.
    ConnectFailed,
    /// The connection broke, or delivered bytes that are no response to this request.
    ConnectionBroke(Execution),
    /// The response is complete; its status maps to this outcome.
    Answered(Outcome),
    /// The attempt was withdrawn with this outcome before any byte was written.
    Withdrawn(Outcome),
}

/// The transport's next step for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptStep {
    /// Take an idle connection from the pool.
    AcquireConnection,
    /// Open a new connection.
    Dial,
    /// Write the request to the acquired connection.
    Send,
    /// Report this outcome; the attempt is over.
    End(Outcome),
}

impl Attempt {
    /// Handles an event and returns the next step of the transport.
    pub fn on(&mut self, event: AttemptEvent) -> AttemptStep {
        let step = self.next_step(event);
        *self = match step {
            AttemptStep::AcquireConnection => Attempt::AcquiringConnection,
            AttemptStep::Dial => Attempt::Dialing,
            AttemptStep::Send if *self == Attempt::Dialing => Attempt::OnNewConnection,
            AttemptStep::Send => Attempt::OnPooledConnection,
            AttemptStep::End(outcome) => Attempt::Finished(outcome),
        };
        step
    }

    fn next_step(self, event: AttemptEvent) -> AttemptStep {
        match (self, event) {
            (Attempt::Finished(outcome), _) => AttemptStep::End(outcome),
            (Attempt::AcquiringConnection, AttemptEvent::PooledConnectionFound) => {
                AttemptStep::Send
            }
            (Attempt::AcquiringConnection, AttemptEvent::NoPooledConnection { may_open }) => {
                if may_open {
                    AttemptStep::Dial
                } else {
                    AttemptStep::End(Outcome::NotSent)
                }
            }
            (Attempt::Dialing, AttemptEvent::Connected) => AttemptStep::Send,
            (Attempt::Dialing, AttemptEvent::ConnectFailed) => {
                let may_have_run = mutated(Mutation::DialFailureMayHaveRun);
                AttemptStep::End(if may_have_run {
                    Outcome::Reset
                } else {
                    Outcome::NotExecuted
                })
            }
            (Attempt::OnPooledConnection, AttemptEvent::ConnectionBroke(execution))
                if may_use_another_connection(execution) =>
            {
                AttemptStep::AcquireConnection
            }
            (
                Attempt::OnPooledConnection | Attempt::OnNewConnection,
                AttemptEvent::ConnectionBroke(execution),
            ) => {
                let not_executed = mutated(Mutation::ResetCountsAsNotExecuted);
                AttemptStep::End(if not_executed {
                    Outcome::NotExecuted
                } else {
                    execution.outcome()
                })
            }
            (
                Attempt::OnPooledConnection | Attempt::OnNewConnection,
                AttemptEvent::Answered(outcome),
            ) => AttemptStep::End(outcome),
            (_, AttemptEvent::Withdrawn(outcome)) => AttemptStep::End(outcome),
            // Any other event is a bug in the caller. The request may have been executed.
            _ => AttemptStep::End(Outcome::Reset),
        }
    }
}

/// Returns whether a request whose pooled connection broke may be written to another connection
/// within the same attempt. A pooled connection may turn out to be closed before it accepts a byte;
/// a request that was written in part is never resent silently.
fn may_use_another_connection(execution: Execution) -> bool {
    match execution {
        Execution::NotStarted => true,
        Execution::PartiallyWritten => {
            mutated(Mutation::PartiallyWrittenRequestResent)
                || mutated(Mutation::WrittenRequestResent)
        }
        Execution::MayHaveRun => mutated(Mutation::WrittenRequestResent),
    }
}
