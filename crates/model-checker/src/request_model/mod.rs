//! A model of one front-end process with its clients, servers, network, endpoint list and clock.
//!
//! The state machines in it are those that ship: [`RequestTracker`],
//! [`Attempt`](tulipbridge_core::attempt::Attempt),
//! [`ServerConnection`](tulipbridge_core::server_connection::ServerConnection) and
//! [`ConnectionPool`], driven either by the real [`Scheduler`](tulipbridge_core::Scheduler) or by
//! every decision that the rules allow. The model takes the place of the asynchronous code around
//! them. It also records what the front cannot know: which bytes really went out, and which
//! requests a server really executed.

mod attempts;
mod checks;
mod connections;
mod effects;
mod state;
mod step;
mod step_generation;
mod transitions;

use tulipbridge_core::connection_pool::ConnectionPool;
use tulipbridge_core::request_tracker::{Input, RequestTracker};
use tulipbridge_core::{
    KeyId, Listed, Nanos, NodeId, Request, RequestId, Settings, ShardId, UpdateScope, VolumeId,
};

use crate::model::{Model, ModelSummary};
use crate::policy::{PolicyKind, PolicyUnderTest};
use crate::properties::Violations;
use crate::time::{MS, START};

pub use state::State;
use state::{ClientState, NodeState};
pub use step::Step;

/// Grace period after a client's deadline; then the request tracker answers the request itself.
const OVERDUE_GRACE: Nanos = 20 * MS;
/// How long the machine of the front stalls in [`Step::FrontStalls`].
const STALL: Nanos = 220 * MS;

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
    /// Time that passes in [`Step::ClockAdvances`].
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

impl Model for RequestModel {
    type State = State;
    type Step = Step;

    fn summary(&self) -> ModelSummary {
        self.summary
    }

    fn initial_state(&self) -> State {
        let policy = PolicyUnderTest::new(self.policy, &self.settings, START);
        let new_node = |shard| NodeState {
            listed: Listed::Up,
            shard,
            started_at: 0,
            forgotten: false,
        };
        let mut state = State {
            now: START,
            clock_steps: 0,
            faults: 0,
            next_update: 0,
            tracker: RequestTracker::new(policy),
            pool: ConnectionPool::new(self.idle_timeout, self.max_connections),
            connections: Default::default(),
            attempts: Default::default(),
            server_work: Vec::new(),
            clients: vec![ClientState::NotStarted; self.requests.len()],
            executions: vec![0; self.requests.len()],
            timers: Vec::new(),
            nodes: (0..self.nodes as u32).map(ShardId).map(new_node).collect(),
            violations: Violations::default(),
        };
        for node in 0..self.nodes {
            state.pool.add(NodeId(node));
        }
        let nodes = (0..self.nodes)
            .map(|node| state.node_info(NodeId(node)))
            .collect();
        state.feed(
            self,
            Input::Endpoints {
                scope: UpdateScope::Restored,
                nodes,
            },
        );
        state
    }

    fn generate_steps(&self, state: &State, steps: &mut Vec<Step>) {
        self.generate(state, steps);
    }

    /// A panic of the state machines is a violation of its own, and leaves the rest of the state as
    /// it was.
    fn apply(&self, state: &State, step: &Step) -> State {
        let applied = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let mut next = state.clone();
            next.take(self, step);
            next.check(self);
            next
        }));
        applied.unwrap_or_else(|_| {
            let mut next = state.clone();
            next.violations.panicked = true;
            next
        })
    }

    fn violations(state: &State) -> &Violations {
        &state.violations
    }
}

impl RequestModel {
    /// A connection that is not established within this counts as failed.
    fn dial_timeout(&self) -> Nanos {
        2 * self.clock_step
    }

    /// The request of a client, as the front receives it.
    fn request(&self, client: usize, id: RequestId) -> Request {
        let ClientRequest {
            class,
            shard,
            timeout,
        } = self.requests[client];
        Request {
            id,
            class,
            plan: 0,
            volume: VolumeId(1),
            key: Some(KeyId(client as u64)),
            patience: timeout,
            units: 2.0,
            shard,
            front_count: 1,
        }
    }
}
