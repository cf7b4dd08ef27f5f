//! The interface between the exchange and the transport that carries its attempts to chunk servers.

use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tulipbridge_core::{NodeId, Outcome};

use super::withdrawal::Withdrawal;

/// How an attempt ended, and the load that its response reported.
pub struct AttemptReport<A> {
    /// The outcome for the tracker.
    pub outcome: Outcome,
    /// The answer for the client; `Some` only where the outcome is [`Outcome::Served`].
    pub answer: Option<A>,
    /// 1 plus the volume's use in percent of its plan's rate; 0 if unknown.
    pub observed_use: f64,
    /// Units that the server has served for the volume through other fronts.
    pub foreign_units: f64,
}

impl<A> From<Outcome> for AttemptReport<A> {
    fn from(outcome: Outcome) -> AttemptReport<A> {
        AttemptReport {
            outcome,
            answer: None,
            observed_use: 0.0,
            foreign_units: 0.0,
        }
    }
}

/// Connects a running attempt to the decision module.
pub trait AttemptObserver {
    /// Records that the response of the attempt began the time `age` ago and is not complete yet.
    fn response_began(&self, age: Duration);

    /// Records that the response is passed on although its server pauses, and may have hung.
    fn response_paused(&self);

    /// Records that the server of a response that was passed on during a pause did not go on.
    fn response_stopped(&self);

    /// Returns whether the request would be sent again at once if this attempt ended now without a
    /// complete response.
    fn would_retry(&self) -> bool;
}

/// What an attempt may do, and until when.
pub struct AttemptContext {
    /// When the attempt times out.
    pub deadline: Instant,
    /// When the client stops waiting for an answer, which is not before `deadline`.
    pub client_deadline: Instant,
    /// Receives the commands to the attempt.
    pub withdrawal: Withdrawal,
    /// The connection to the decision module.
    pub observer: Rc<dyn AttemptObserver>,
}

/// Carries attempts to chunk servers.
pub trait Transport: 'static {
    /// A request to a chunk server.
    type Payload: 'static;
    /// A chunk server's response that counts as an answer.
    type Answer: 'static;

    /// Returns the name and address of a server for logs.
    fn name(&self, node: NodeId) -> String;

    /// Drops the state of a server that was removed and has no attempt in flight, and closes its
    /// connections.
    fn forget(&self, node: NodeId);

    /// Makes one attempt, which sends the request at most once. Dropping the future abandons the
    /// attempt. An attempt that is withdrawn before its first byte is written ends with the outcome
    /// of the withdrawal, and nothing is written.
    fn attempt(
        &self,
        node: NodeId,
        payload: Rc<Self::Payload>,
        context: AttemptContext,
    ) -> impl Future<Output = AttemptReport<Self::Answer>> + 'static;
}
