//! What a configuration of the request model says.

use tulipbridge_core::{
    KeyId, Nanos, NodeId, Request, RequestId, Semantics, Settings, ShardId, VolumeId,
};

use crate::model::ModelSummary;
use crate::policy::PolicyKind;

/// Index of the plan of all requests in the settings.
const PLAN: usize = 0;
/// The volume of all requests.
const VOLUME: VolumeId = VolumeId(1);
/// Estimated size of every request, in units of server time.
const REQUEST_UNITS: f64 = 2.0;
/// Number of clock steps within which a connection is established, or counts as failed.
const DIAL_CLOCK_STEPS: Nanos = 2;

/// A request that a client sends.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// Index of the request's class in the settings.
    pub class: usize,
    /// The shard that holds its data, if only one does.
    pub shard: Option<ShardId>,
    /// How long the client waits for the answer.
    pub timeout: Nanos,
}

/// A change that discovery reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WatchUpdate {
    /// A node drains: it finishes its requests and takes no more.
    NodeDraining(NodeId),
    /// A node is removed from the endpoint list.
    NodeRemoved(NodeId),
    /// A node that has just started serves a shard from now on.
    ShardTakenOver(NodeId, ShardId),
    /// The address of a node changes.
    AddressChanged(NodeId),
    /// The watch broke.
    WatchLost,
}

/// A fault of a client, the network, a server or the front's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// A client leaves before it has its answer.
    ClientDisconnects,
    /// A server refuses a connection.
    ConnectionRefused,
    /// A connection breaks while a request is on it.
    ConnectionBreaks,
    /// A server responds with an error.
    ServerError,
    /// A server rejects a request without executing it.
    ServerRejects,
    /// A response cannot be parsed.
    UnreadableResponse,
    /// A server closes an idle connection.
    IdleConnectionClosed,
    /// Bytes arrive on a connection that are no response to any request.
    UnsolicitedBytes,
    /// The front's machine stalls.
    FrontStalls,
}

/// A configuration of the model.
#[derive(Clone, Debug)]
pub struct RequestModel {
    /// How the commands list it.
    pub summary: ModelSummary,
    /// Who makes the decisions.
    pub policy: PolicyKind,
    /// Settings of the front.
    pub settings: Settings,
    /// The requests, one for each client, in the order in which they may arrive.
    pub requests: Vec<ClientRequest>,
    /// Whether a client sends its request only after the one before has its answer or has left.
    pub sequential: bool,
    /// Number of nodes that are up at the start, each with a shard of its own.
    pub nodes: usize,
    /// The updates that discovery reports, in this order.
    pub watch_updates: Vec<WatchUpdate>,
    /// Largest number of faults in one history.
    pub max_faults: u8,
    /// The faults that may occur.
    pub faults: &'static [Fault],
    /// Time that passes in [`Step::ClockAdvances`](super::Step::ClockAdvances).
    pub clock_step: Nanos,
    /// Number of clock steps within which requests may arrive. Requests that have arrived are
    /// followed to their end.
    pub max_clock_steps: u8,
    /// Largest number of connections to servers.
    pub max_connections: usize,
    /// An idle connection is reused only within this time.
    pub idle_timeout: Nanos,
    /// Whether to check recovery after each history, which takes some hundred times as long.
    pub checks_recovery: bool,
}

impl RequestModel {
    /// A connection that is not established within this counts as failed.
    pub(super) fn dial_timeout(&self) -> Nanos {
        DIAL_CLOCK_STEPS * self.clock_step
    }

    /// The request of a client, as the front receives it.
    pub(super) fn request(&self, client: usize, id: RequestId) -> Request {
        let ClientRequest {
            class,
            shard,
            timeout,
        } = self.requests[client];
        Request {
            id,
            class,
            plan: PLAN,
            volume: VOLUME,
            key: Some(KeyId(client as u64)),
            client_timeout: timeout,
            units: REQUEST_UNITS,
            shard,
            front_count: 1,
            continues_response: false,
        }
    }

    /// Whether the request of a client must not run twice.
    pub(super) fn is_at_most_once(&self, client: usize) -> bool {
        let class = self.requests[client].class;
        self.settings.classes[class].semantics == Semantics::AtMostOnce
    }
}
