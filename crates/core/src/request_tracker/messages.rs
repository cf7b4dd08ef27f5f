//! Inputs and effects of the request tracker.

use crate::interface::{
    FleetUpdate, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, RuntimeCommand, UpdateScope,
};

/// An event that the request tracker handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was received. Its id comes from [`RequestTracker::allocate_id`].
    ///
    /// [`RequestTracker::allocate_id`]: super::RequestTracker::allocate_id
    RequestReceived(Request),
    /// The client of the request disconnected.
    ClientDisconnected(RequestId),
    /// The client's deadline and a grace period have passed without a final answer.
    Overdue(RequestId),
    /// An attempt ended by itself.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended. Only [`Outcome::Served`] carries the response for the client.
        outcome: Outcome,
        /// 1 + the volume's use in percent of its plan's rate; 0 means unknown.
        observed_use: f64,
        /// Units that the chunk server served to the volume through other fronts.
        foreign_units: f64,
    },
    /// The timeout of an attempt expired and the transport dropped it.
    AttemptTimedOut {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The transport dropped an attempt in response to [`Effect::Cancel`].
    AttemptCancelled {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An update of the endpoint list.
    Endpoints {
        /// What part of the list the update covers.
        scope: UpdateScope,
        /// Its entries.
        nodes: Vec<NodeInfo>,
    },
    /// An update of the state that all fronts share, or the shutdown of this one.
    FleetUpdate(FleetUpdate),
    /// A timer has expired; carries the cookie of [`RuntimeCommand::SetTimer`].
    Timer(u64),
}

/// A command to the transport, the server of clients or the runtime, to be carried out in the order
/// of emission.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt, once.
    Send {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// The chunk server to send it to.
        node: NodeId,
        /// When the attempt times out.
        deadline: Nanos,
        /// When its first byte must have been written; otherwise it ends as if withdrawn with
        /// [`Outcome::NotSent`].
        begin_by: Nanos,
    },
    /// Drop an attempt in flight and report [`Input::AttemptCancelled`], unless it ends first.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The attempt is no longer wanted. If none of its bytes is written, it ends now with this
    /// outcome and none will be; otherwise it goes on.
    Withdraw {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Its outcome if nothing is written yet.
        outcome: Outcome,
    },
    /// The only final answer of a request. [`FinalAnswer::Served`] is emitted only while
    /// [`Input::AttemptEnded`] is handled, and stands for the response that came with it.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer for the client.
        answer: FinalAnswer,
    },
    /// The tracker has dropped the request; state that others keep for it may go.
    Release(RequestId),
    /// A command of the policy that concerns no request.
    Runtime(RuntimeCommand),
}

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The response of a chunk server.
    Served,
    /// The request never ran, or repeating it does no harm; the client may retry after this time.
    Rejected(Nanos),
    /// The request failed, and may have run.
    Failed,
}
