//! The interface between the exchange and the transport of its attempts to chunk servers.

use std::future::Future;
use std::rc::Rc;
use std::time::Instant;

use tulipbridge_core::{NodeId, Outcome};

use super::withdrawal::Withdrawal;

/// How an attempt ended.
pub struct AttemptReport<A> {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer for the client; `Some` only where the outcome is [`Outcome::Served`].
    pub answer: Option<A>,
    /// 1 plus the volume's use in percent of its plan's rate; 0 where it is unknown.
    pub observed_use: f64,
    /// Units that the server has served the volume through other fronts.
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

/// Carries attempts to chunk servers.
pub trait Transport: 'static {
    /// A request to a server.
    type Payload: 'static;
    /// A server's answer.
    type Answer: 'static;

    /// Name and address of a server for logs.
    fn name(&self, node: NodeId) -> String;

    /// Forgets a server that is gone and has no attempts out: its connections are closed.
    fn forget(&self, node: NodeId);

    /// Makes one attempt, sent at most once. Dropping the future abandons the attempt. One that is
    /// withdrawn before its first byte is written ends with the outcome of the withdrawal, and
    /// nothing is written.
    fn attempt(
        &self,
        node: NodeId,
        payload: Rc<Self::Payload>,
        deadline: Instant,
        withdrawal: Withdrawal,
    ) -> impl Future<Output = AttemptReport<Self::Answer>> + 'static;
}
