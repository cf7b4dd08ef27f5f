//! The inputs and effects of the request tracker.

use crate::interface::{
    FleetUpdate, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, RuntimeCommand, UpdateScope,
};

/// An event that the request tracker handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was received. Its id was allocated by [`RequestTracker::allocate_id`].
    ///
    /// [`RequestTracker::allocate_id`]: super::RequestTracker::allocate_id
    RequestReceived(Request),
    /// The client of a request disconnected.
    ClientDisconnected(RequestId),
    /// The client's deadline and a grace period have passed without a final answer to the request.
    Overdue(RequestId),
    /// An attempt ended, neither by its timeout nor by a cancellation.
    AttemptEnded {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// How the attempt ended. Only [`Outcome::Served`] carries the response for the client.
        outcome: Outcome,
        /// The volume's use in percent of its plan's rate, plus 1; 0 if unknown.
        observed_use: f64,
        /// Units that the chunk server served for the volume through other fronts.
        foreign_units: f64,
    },
    /// The response of an attempt has begun and is not complete yet.
    ResponseBegan {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// The time since the first byte of the response.
        age: Nanos,
    },
    /// The response of an attempt is passed on although its server pauses, and may have hung.
    ResponsePaused {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// This server did not go on with a response that was passed on during a pause.
    ResponseStopped(NodeId),
    /// The timeout of an attempt expired, and the transport dropped the attempt.
    AttemptTimedOut {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// The transport dropped an attempt in response to [`Effect::Cancel`].
    AttemptCancelled {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// An update of the endpoint list.
    Endpoints {
        /// The part of the list that the update covers.
        scope: UpdateScope,
        /// The entries of the update.
        nodes: Vec<NodeInfo>,
    },
    /// An update of the state that all fronts share, or the shutdown of this front.
    FleetUpdate(FleetUpdate),
    /// A timer expired. The value is the cookie of [`RuntimeCommand::SetTimer`].
    Timer(u64),
}

/// A command to the transport, to the code that answers clients or to the runtime. Commands are
/// carried out in the order of emission.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt. It is emitted once for each attempt.
    Send {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// The chunk server to send it to.
        node: NodeId,
        /// When the attempt times out.
        deadline: Nanos,
        /// The time by which the first byte must be written; otherwise the attempt ends as if
        /// withdrawn with [`Outcome::NotSent`].
        begin_by: Nanos,
    },
    /// Drop an attempt in flight and report [`Input::AttemptCancelled`], unless the attempt ends
    /// first.
    Cancel {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
    },
    /// An attempt is no longer wanted. If none of its bytes is written yet, end it now with the
    /// given outcome and write none; otherwise let it continue.
    Withdraw {
        /// The request that the attempt belongs to.
        id: RequestId,
        /// The number of the attempt within the request, from 0.
        attempt: u32,
        /// The outcome of the attempt if nothing is written yet.
        outcome: Outcome,
    },
    /// Send the final answer to a request. It is emitted once for each request.
    /// [`FinalAnswer::Served`] is emitted only while [`Input::AttemptEnded`] is handled, and stands
    /// for the response of that attempt.
    Answer {
        /// The request to answer.
        id: RequestId,
        /// The answer for the client.
        answer: FinalAnswer,
    },
    /// The tracker has dropped the request; other components may drop their state for it.
    Release(RequestId),
    /// Carry out a command of the policy that concerns no request.
    Runtime(RuntimeCommand),
}

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The response of a chunk server.
    Served,
    /// The request was not executed or is safe to repeat; the client may retry after this time.
    Rejected(Nanos),
    /// The request failed and may have been executed.
    Failed,
}
