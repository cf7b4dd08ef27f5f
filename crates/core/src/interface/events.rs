//! The events that the decision module handles and the actions that it returns.

use crate::interface::{FleetUpdate, Nanos, NodeId, NodeInfo, Request, RequestId, UpdateScope};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The chunk server served the attempt.
    Served,
    /// The chunk server answered with an error; it may have executed the attempt.
    Error,
    /// The chunk server rejected the attempt without executing it.
    Rejected,
    /// No response arrived in time; the attempt may still be executed.
    TimedOut,
    /// No connection could be used; the attempt was never executed.
    NotExecuted,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// The front cancelled the attempt; it may have been executed.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether the chunk server may have executed the attempt.
    pub fn may_have_executed(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent
        )
    }

    /// Returns whether the chunk server may execute the attempt after the front gave it up.
    pub(crate) fn may_still_execute(self) -> bool {
        matches!(
            self,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        )
    }
}

/// An input of the decision module.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list changed, or the subscription to it was lost.
    Endpoints {
        /// Which part of the list `nodes` holds.
        scope: UpdateScope,
        /// The entries that were received.
        nodes: Vec<NodeInfo>,
    },
    /// The front received a request.
    Request(Request),
    /// The client of a request has disconnected.
    ClientDisconnected(RequestId),
    /// A streamed response has begun to arrive.
    ResponseStarted(RequestId),
    /// The response of an attempt has begun and is not complete yet.
    ResponseBegan {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The index of the attempt within its request, from 0.
        attempt: u32,
        /// The chunk server that the attempt was sent to.
        node: NodeId,
        /// When the first byte of the response arrived.
        began_at: Nanos,
    },
    /// The response of an attempt is passed on although its server pauses, and may have hung.
    ResponsePaused {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The index of the attempt within its request, from 0.
        attempt: u32,
        /// The chunk server that the attempt was sent to.
        node: NodeId,
    },
    /// This server did not go on with a response that was passed on during a pause.
    ResponseStopped(NodeId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The index of the attempt within its request, from 0.
        attempt: u32,
        /// The chunk server that the attempt was sent to.
        node: NodeId,
        /// How the attempt ended.
        outcome: Outcome,
        /// The time from sending the attempt to its end.
        took: Nanos,
        /// Whether the request already has its final answer.
        is_answered: bool,
        /// 1 plus the percentage of its nominal rate that the volume used recently; 0 is unknown.
        observed_use: f64,
        /// Units served for the volume through other fronts since the previous answer.
        foreign_units: f64,
    },
    /// An instruction from the fleet, or the start of this front's shutdown.
    FleetUpdate(FleetUpdate),
    /// The timer with this cookie has expired.
    Timer(u64),
}

/// An output of the decision module, which the front carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The chunk server that the attempt is sent to.
        node: NodeId,
        /// The timeout of the attempt; 0 stands for the timeout of the client.
        timeout: Nanos,
    },
    /// Cancel an attempt in flight; it ends as [`Outcome::Cancelled`].
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The index of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Gives the final answer that the request was rejected and is safe to repeat.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// How long the client should wait before it retries.
        retry_after: Nanos,
    },
    /// Gives the final answer that the request failed; it may have been executed.
    Fail(RequestId),
    /// Passes a command to the runtime; it concerns no request.
    Runtime(RuntimeCommand),
}

/// A command to the runtime that the decision module runs in.
#[derive(Clone, Debug, PartialEq)]
pub enum RuntimeCommand {
    /// Start a timer.
    SetTimer {
        /// The time from now until the timer expires.
        after: Nanos,
        /// The value that [`Event::Timer`] returns when the timer expires.
        cookie: u64,
    },
    /// Subscribe to discovery's endpoint list.
    Subscribe,
    /// Drop the state of a chunk server that was removed and has nothing in flight.
    ForgetNode(NodeId),
    /// Write a line to the log.
    Log {
        /// The message, without the name of the chunk server.
        text: &'static str,
        /// The chunk server that the message is about.
        node: NodeId,
    },
}
