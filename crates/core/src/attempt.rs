//! One attempt of a request: it acquires a connection, sends the request and ends with one outcome.
//!
//! The machine says what the transport does next. It does no I/O.

use crate::interface::Outcome;
use crate::mutations::{mutated, Mutation};
use crate::server_connection::Execution;

/// An attempt: found or dialled a connection, sent, and ended in one outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Attempt {
    /// It looks for a quiet connection.
    AcquiringConnection,
    /// It is on one that was used before.
    OnPooledConnection,
    /// It waits for a new one.
    Dialing,
    /// It is on a new one.
    OnNewConnection,
    /// It has ended.
    Finished(Outcome),
}

/// What happens to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEvent {
    /// The pool has a quiet connection.
    PooledConnectionFound,
    /// It has none; a new one may be opened, or may not.
    NoPooledConnection {
        /// Whether there is room for a new one.
        may_open: bool,
    },
    /// A connection has come up.
    Connected,
    /// None came up.
    ConnectFailed,
    /// The connection broke, or what came is no answer.
    ConnectionBroke(Execution),
    /// An answer has come whole, with this outcome by the table.
    Answered(Outcome),
    /// It was withdrawn, with this outcome, and nothing of it has been written: nothing is.
    Withdrawn(Outcome),
}

/// What an attempt does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptStep {
    /// Ask the pool for a quiet connection.
    AcquireConnection,
    /// Open a new one.
    Dial,
    /// Hand the request over to the connection at hand.
    Send,
    /// Nothing more.
    End(Outcome),
}

impl Attempt {
    /// Takes what has happened and says what is to be done.
    pub fn on(&mut self, event: AttemptEvent) -> AttemptStep {
        let next = match (*self, event) {
            (Attempt::AcquiringConnection, AttemptEvent::PooledConnectionFound) => AttemptStep::Send,
            (Attempt::AcquiringConnection, AttemptEvent::NoPooledConnection { may_open: true }) => {
                AttemptStep::Dial
            }
            (Attempt::AcquiringConnection, AttemptEvent::NoPooledConnection { may_open: false }) => {
                AttemptStep::End(Outcome::NotSent)
            }
            (Attempt::Dialing, AttemptEvent::Connected) => AttemptStep::Send,
            (Attempt::Dialing, AttemptEvent::ConnectFailed) if mutated(Mutation::DialFailureInDoubt) => {
                AttemptStep::End(Outcome::Reset)
            }
            (Attempt::Dialing, AttemptEvent::ConnectFailed) => AttemptStep::End(Outcome::NotExecuted),
            // A pooled connection may prove closed before anything of the request is taken from us; that is no
            // attempt, and the next connection gets it. One that broke in mid-request is never gone round.
            (Attempt::OnPooledConnection, AttemptEvent::ConnectionBroke(Execution::NotStarted)) => {
                AttemptStep::AcquireConnection
            }
            (Attempt::OnPooledConnection, AttemptEvent::ConnectionBroke(Execution::PartiallyWritten))
                if mutated(Mutation::PartlySentGoesRound) =>
            {
                AttemptStep::AcquireConnection
            }
            (Attempt::OnPooledConnection, AttemptEvent::ConnectionBroke(_))
                if mutated(Mutation::ResentSilently) =>
            {
                AttemptStep::AcquireConnection
            }
            (
                Attempt::OnPooledConnection | Attempt::OnNewConnection,
                AttemptEvent::ConnectionBroke(doubt),
            ) => {
                let refused = mutated(Mutation::ResetTakenForRefusal);
                AttemptStep::End(if refused { Outcome::NotExecuted } else { doubt.outcome() })
            }
            (Attempt::OnPooledConnection | Attempt::OnNewConnection, AttemptEvent::Answered(outcome)) => {
                AttemptStep::End(outcome)
            }
            // What does not fit is a fault of the shell's; in doubt it may have run.
            (Attempt::Finished(outcome), _) => AttemptStep::End(outcome),
            (_, AttemptEvent::Withdrawn(outcome)) => AttemptStep::End(outcome),
            _ => AttemptStep::End(Outcome::Reset),
        };
        *self = match next {
            AttemptStep::AcquireConnection => Attempt::AcquiringConnection,
            AttemptStep::Dial => Attempt::Dialing,
            AttemptStep::Send if *self == Attempt::Dialing => Attempt::OnNewConnection,
            AttemptStep::Send => Attempt::OnPooledConnection,
            AttemptStep::End(outcome) => Attempt::Finished(outcome),
        };
        next
    }
}
