//! Carrying out one attempt in the steps that its state machine requests.

use std::rc::Rc;
use std::time::Instant;

use tulipbridge_core::attempt::{Attempt, AttemptEvent, AttemptStep};
use tulipbridge_core::server_connection::Execution;
use tulipbridge_core::NodeId;

use super::connection::PooledConnection;
use super::connections::Connections;
use super::payload::{Answer, Payload};
use crate::exchange::{AttemptReport, Withdrawal};

/// An attempt that is carried out.
pub(super) struct AttemptRun {
    connections: Rc<Connections>,
    node: NodeId,
    payload: Rc<Payload>,
    deadline: Instant,
    withdrawal: Withdrawal,
    /// Acquired, and not used by the attempt yet.
    connection: Option<PooledConnection>,
}

impl AttemptRun {
    /// An attempt to send `payload` to `node`, of which nothing has been done.
    pub fn new(
        connections: Rc<Connections>,
        node: NodeId,
        payload: Rc<Payload>,
        deadline: Instant,
        withdrawal: Withdrawal,
    ) -> AttemptRun {
        AttemptRun {
            connections,
            node,
            payload,
            deadline,
            withdrawal,
            connection: None,
        }
    }

    /// Carries out the attempt to its end.
    pub async fn run(mut self) -> AttemptReport<Answer> {
        let mut attempt = Attempt::AcquiringConnection;
        let mut step = AttemptStep::AcquireConnection;
        loop {
            let event = match step {
                AttemptStep::AcquireConnection => self.acquire(),
                AttemptStep::Dial => self.dial().await,
                AttemptStep::Send => match self.send().await {
                    Ok(report) => return report,
                    Err(event) => event,
                },
                AttemptStep::End(outcome) => return outcome.into(),
            };
            step = attempt.on(event);
        }
    }

    /// Takes an idle connection from the pool, or finds out whether a new one may be opened.
    fn acquire(&mut self) -> AttemptEvent {
        self.connection = self.connections.take_pooled(self.node);
        if self.connection.is_some() {
            return AttemptEvent::PooledConnectionFound;
        }
        AttemptEvent::NoPooledConnection {
            may_open: self.connections.may_open(self.node),
        }
    }

    /// Opens a new connection, unless the attempt is withdrawn first.
    async fn dial(&mut self) -> AttemptEvent {
        tokio::select! {
            biased;
            outcome = self.withdrawal.withdrawn() => return AttemptEvent::Withdrawn(outcome),
            dialed = self.connections.dial(self.node) => self.connection = dialed,
        }
        match self.connection {
            Some(_) => AttemptEvent::Connected,
            None => AttemptEvent::ConnectFailed,
        }
    }

    /// Sends the request on the acquired connection, which returns to the pool after the response.
    ///
    /// # Errors
    /// How the attempt failed.
    async fn send(&mut self) -> Result<AttemptReport<Answer>, AttemptEvent> {
        let Some(mut connection) = self.connection.take() else {
            return Err(AttemptEvent::ConnectionBroke(Execution::MayHaveRun));
        };
        let result = connection
            .send(&self.payload, self.deadline, &self.withdrawal)
            .await;
        let mut report = result.map_err(|execution| self.failure(execution))?;
        let streamed = report
            .answer
            .as_mut()
            .and_then(|answer| answer.streamed.as_mut());
        let node = self.node;
        match streamed {
            // A streamed body keeps its connection until it is complete.
            Some(streamed) => {
                let connections = Rc::clone(&self.connections);
                streamed.keep_connection(move || {
                    connection.response_complete();
                    connections.release(node, connection);
                });
            }
            None => self.connections.release(node, connection),
        }
        Ok(report)
    }

    /// Why no valid response arrived. A request whose writing has begun cannot be withdrawn any
    /// more.
    fn failure(&self, execution: Execution) -> AttemptEvent {
        match (execution, self.withdrawal.outcome()) {
            (Execution::NotStarted, Some(outcome)) => AttemptEvent::Withdrawn(outcome),
            _ => AttemptEvent::ConnectionBroke(execution),
        }
    }
}
