//! Carries out one attempt in the steps that its state machine requests.

use std::rc::Rc;

use tulipbridge_core::attempt::{Attempt, AttemptEvent, AttemptStep};
use tulipbridge_core::server_connection::Execution;
use tulipbridge_core::NodeId;

use super::connection::PooledConnection;
use super::connections::Connections;
use super::payload::{Answer, Payload};
use crate::exchange::{AttemptContext, AttemptReport};
use crate::memory_budget::Reservation;

/// An attempt in progress to send a request to a chunk server.
pub(super) struct AttemptRun {
    connections: Rc<Connections>,
    node: NodeId,
    payload: Rc<Payload>,
    context: AttemptContext,
    /// The memory for the response, once it was acquired.
    response_memory: Option<Reservation>,
    /// The connection that was acquired for the next send.
    connection: Option<PooledConnection>,
}

impl AttemptRun {
    /// Creates an attempt to send `payload` to `node`, without starting it.
    pub fn new(
        connections: Rc<Connections>,
        node: NodeId,
        payload: Rc<Payload>,
        context: AttemptContext,
    ) -> AttemptRun {
        AttemptRun {
            connections,
            node,
            payload,
            context,
            response_memory: None,
            connection: None,
        }
    }

    /// Carries out the attempt until it ends.
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

    /// Takes an idle connection from the pool, or checks whether a new one may be opened. Without
    /// memory for the response there is neither.
    fn acquire(&mut self) -> AttemptEvent {
        if self.response_memory.is_none() {
            self.response_memory = self.connections.reserve_response();
        }
        if self.response_memory.is_none() {
            return AttemptEvent::NoPooledConnection { may_open: false };
        }
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
            outcome = self.context.withdrawal.withdrawn() => return AttemptEvent::Withdrawn(outcome),
            dialed = self.connections.dial(self.node) => self.connection = dialed,
        }
        match self.connection {
            Some(_) => AttemptEvent::Connected,
            None => AttemptEvent::ConnectFailed,
        }
    }

    /// Sends the request on the acquired connection and returns the connection to the pool after
    /// the response.
    ///
    /// # Errors
    /// Returns the event for the state machine if no valid response arrives.
    async fn send(&mut self) -> Result<AttemptReport<Answer>, AttemptEvent> {
        let acquired = self.connection.take().zip(self.response_memory.take());
        let Some((mut connection, memory)) = acquired else {
            return Err(AttemptEvent::ConnectionBroke(Execution::MayHaveRun));
        };
        let result = connection.send(&self.payload, &self.context, memory).await;
        let mut report = result.map_err(|execution| self.failure(execution))?;
        let streamed = report
            .answer
            .as_mut()
            .and_then(|answer| answer.streamed.as_mut());
        let node = self.node;
        match streamed {
            // The connection carries a streamed body until the body is complete.
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

    /// Returns the event for an attempt without a valid response. A request that has begun to be
    /// written can no longer be withdrawn.
    fn failure(&self, execution: Execution) -> AttemptEvent {
        match (execution, self.context.withdrawal.outcome()) {
            (Execution::NotStarted, Some(outcome)) => AttemptEvent::Withdrawn(outcome),
            _ => AttemptEvent::ConnectionBroke(execution),
        }
    }
}
