//! The events that the decision module takes and the actions that it returns.

use crate::interface::{FleetUpdate, Nanos, NodeId, NodeInfo, Request, RequestId, UpdateScope};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Served,
    /// The chunk server answered with an error; it may have executed the attempt.
    Error,
    /// The chunk server rejected the attempt without executing it.
    Rejected,
    /// No answer in time; it may still be executed.
    TimedOut,
    /// No connection; it was never executed.
    NotExecuted,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled; it may have been executed.
    Cancelled,
    /// It was not sent.
    NotSent,
}

impl Outcome {
    /// Whether the chunk server may have executed the attempt.
    pub fn may_have_executed(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent
        )
    }

    /// Whether the chunk server may execute the attempt after its end.
    pub(crate) fn may_still_execute(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A change of the endpoint list.
    Endpoints {
        /// The kind of change.
        scope: UpdateScope,
        /// The entries.
        nodes: Vec<NodeInfo>,
    },
    /// A request was received.
    Request(Request),
    /// The client is gone.
    ClientDisconnected(RequestId),
    /// A streamed answer has begun.
    ResponseStarted(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// Where it was sent.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// The time since it was sent.
        took: Nanos,
        /// Whether the client has its answer.
        is_answered: bool,
        /// 1 plus the percentage of its nominal rate that the volume used lately; 0 is unknown.
        observed_use: f64,
        /// Units served for the volume through other fronts since the last answer.
        foreign_units: f64,
    },
    /// An update from the fleet.
    FleetUpdate(FleetUpdate),
    /// A timer is due, with its cookie.
    Timer(u64),
}

/// What the front is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        node: NodeId,
        /// The timeout of the attempt; 0 is the client's own.
        timeout: Nanos,
    },
    /// Cancel an attempt in flight; it ends as [`Outcome::Cancelled`].
    Cancel {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Final answer: rejected, safe to repeat.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should wait before it tries again.
        retry_after: Nanos,
    },
    /// Final answer: failed; the request may have been executed.
    Fail(RequestId),
    /// A command that concerns no request.
    Runtime(RuntimeCommand),
}

/// A command to the runtime that the decision module runs in.
#[derive(Clone, Debug, PartialEq)]
pub enum RuntimeCommand {
    /// Start a timer.
    SetTimer {
        /// The time from now until it expires.
        after: Nanos,
        /// Returned in [`Event::Timer`].
        cookie: u64,
    },
    /// Subscribe to the endpoint list.
    Subscribe,
    /// A chunk server was removed and nothing is in flight to it; its state is dropped.
    ForgetNode(NodeId),
    /// Write a line to the log.
    Log {
        /// The text.
        text: &'static str,
        /// The chunk server that it is about.
        node: NodeId,
    },
}
