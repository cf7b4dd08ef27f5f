//! The steps of the client connection model and their texts.

use std::fmt;

use super::CLOCK_STEPS;
use crate::time::MS;

/// A transition. Clients are named by their index, connections by their number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client connects.
    ClientConnects(usize),
    /// A client sends the next part of its request.
    ClientSendsPart(usize),
    /// A client sends all the rest of its request.
    ClientSendsRest(usize),
    /// A client closes its connection.
    ClientCloses(usize),
    /// The front accepts the first connection in the queue.
    FrontAccepts,
    /// The front reads what has arrived.
    FrontReads(u64),
    /// The front has answered the open request.
    FrontResponds(u64),
    /// The body of a request has not arrived in time.
    BodyTimesOut(u64),
    /// The front closes a connection after reading what still arrived on it.
    LingeringEnds(u64),
    /// The front closes connections that have timed out.
    TimeoutsChecked,
    /// Time passes, by the entry of this index in the table of clock steps.
    ClockAdvances(usize),
    /// SIGTERM arrives.
    Sigterm,
    /// No connection arrived within the time that a front that shuts down waits for one.
    AcceptTimesOut,
    /// The front that shuts down checks whether it may exit.
    ShutdownPolled,
    /// The front that shuts down closes a connection without an open request.
    DrainedConnectionClosed(u64),
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::ClientConnects(client) => write!(f, "client {client} connects"),
            Step::ClientSendsPart(client) => write!(f, "client {client} sends some more"),
            Step::ClientSendsRest(client) => write!(f, "client {client} sends the rest"),
            Step::ClientCloses(client) => write!(f, "client {client} closes"),
            Step::FrontAccepts => write!(f, "the front accepts"),
            Step::FrontReads(id) => write!(f, "the front reads from visitor {id}"),
            Step::FrontResponds(id) => write!(f, "the front answers visitor {id}"),
            Step::BodyTimesOut(id) => write!(f, "the time of visitor {id}'s body is over"),
            Step::LingeringEnds(id) => write!(f, "the front stops reading from visitor {id}"),
            Step::TimeoutsChecked => write!(f, "the front looks at its visitors"),
            Step::ClockAdvances(index) => {
                write!(f, "the clock moves on by {} ms", CLOCK_STEPS[*index] / MS)
            }
            Step::Sigterm => write!(f, "SIGTERM"),
            Step::AcceptTimesOut => write!(f, "no visitor comes any more"),
            Step::ShutdownPolled => write!(f, "the front looks whether it may end"),
            Step::DrainedConnectionClosed(id) => write!(f, "visitor {id}, idle, is let go"),
        }
    }
}
