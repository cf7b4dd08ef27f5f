//! An attempt that the front has in flight, with the machine that drives it.

use std::hash::{Hash, Hasher};

use tulipbridge_core::attempt::{Attempt, AttemptEvent, AttemptStep};
use tulipbridge_core::{Nanos, NodeId, Outcome, RequestId};

use super::connection::ConnectionId;

/// Identifies an attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptKey {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt among those of the request, counted from 0.
    pub attempt: u32,
}

/// An attempt that the front has in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct InFlightAttempt {
    node: NodeId,
    deadline: Nanos,
    machine: Attempt,
    connection: Option<ConnectionId>,
    /// Number of connections to which a byte of it was written.
    connections_written: u8,
    /// The front has given it up, and will drop it.
    cancelled: bool,
    /// The outcome with which it ends unless it has begun, once it is withdrawn.
    withdrawn: Option<Outcome>,
}

impl InFlightAttempt {
    /// An attempt that has no connection yet.
    pub(super) fn new(node: NodeId, deadline: Nanos) -> InFlightAttempt {
        InFlightAttempt {
            node,
            deadline,
            machine: Attempt::AcquiringConnection,
            connection: None,
            connections_written: 0,
            cancelled: false,
            withdrawn: None,
        }
    }

    /// The node that it is sent to.
    pub(super) fn node(&self) -> NodeId {
        self.node
    }

    /// When it times out.
    pub(super) fn deadline(&self) -> Nanos {
        self.deadline
    }

    /// The connection that it is dialing or uses.
    pub(super) fn connection(&self) -> Option<ConnectionId> {
        self.connection
    }

    /// Gives it another connection, or none, and returns the one that it had.
    pub(super) fn set_connection(
        &mut self,
        connection: Option<ConnectionId>,
    ) -> Option<ConnectionId> {
        std::mem::replace(&mut self.connection, connection)
    }

    /// Passes an event to its machine and returns what the machine requests.
    pub(super) fn on(&mut self, event: AttemptEvent) -> AttemptStep {
        self.machine.on(event)
    }

    /// Whether it waits for its connection to be established.
    pub(super) fn is_dialing(&self) -> bool {
        self.machine == Attempt::Dialing
    }

    /// The front gives it up.
    pub(super) fn cancel(&mut self) {
        self.cancelled = true;
    }

    /// Whether the front has given it up.
    pub(super) fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// The front withdraws it: it ends with this outcome unless it has begun.
    pub(super) fn withdraw(&mut self, outcome: Outcome) {
        self.withdrawn = Some(outcome);
    }

    /// The outcome with which it was withdrawn, if it was.
    pub(super) fn withdrawn(&self) -> Option<Outcome> {
        self.withdrawn
    }

    /// The outcome with which it ends if nothing of it has been written, once it must not begin.
    pub(super) fn outcome_without_start(&self) -> Option<Outcome> {
        self.withdrawn
            .or(self.cancelled.then_some(Outcome::Cancelled))
    }

    /// Counts one more connection to which a byte of it was written, and returns how many there
    /// are.
    pub(super) fn count_connection_written(&mut self) -> u8 {
        self.connections_written += 1;
        self.connections_written
    }

    /// Whether a byte of it was written to any connection.
    pub(super) fn was_written(&self) -> bool {
        self.connections_written > 0
    }

    /// Hashes everything that what can happen next depends on, with points in time relative to
    /// `now`.
    pub(super) fn fingerprint<H: Hasher>(&self, now: Nanos, hasher: &mut H) {
        (self.node, now - self.deadline, self.machine).hash(hasher);
        (self.connection, self.connections_written).hash(hasher);
        (self.cancelled, self.withdrawn).hash(hasher);
    }
}
