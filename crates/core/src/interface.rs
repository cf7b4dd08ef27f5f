//! What the decision module is told (`Settings`, `Event`) and what it may do (`Action`). Types only.
//!
//! Classes, plans, zones, cells and nodes are indices; volumes, keys and requests are opaque integers, so a
//! name can never reach a decision. All times are integer nanoseconds.

/// A moment or a length of time, in nanoseconds.
pub type Nanos = i64;
/// A client request, unique for the life of one initiator.
pub type RequestId = u64;
/// A storage node, by the order in which the initiator first heard of it.
pub type NodeId = usize;
/// A volume.
pub type VolumeId = u64;
/// A piece of data.
pub type KeyId = u64;
/// A shard; the node that holds it may be replaced, the cell stays.
pub type CellId = u32;

/// What may be done again with a request of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Repeating does no harm.
    Idempotent,
    /// Repeats are dropped inside the class's group and window.
    Deduplicated,
    /// Never again once it may have run.
    AtMostOnce,
}

/// The nodes that drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every node.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Full worth is earned within this time.
    pub latency_objective: Nanos,
    /// The aim grows by this many times the request's own work.
    pub objective_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Nanos,
    /// What may be repeated.
    pub semantics: Semantics,
    /// Where repeats are dropped.
    pub group: Group,
    /// How long repeats are dropped.
    pub window: Nanos,
    /// One at a time and in order for each key.
    pub keep_order: bool,
    /// Part of the worth earned after the aim.
    pub late_value: f64,
    /// Worth of a request of mean size.
    pub priority_weight: f64,
    /// Whether it writes.
    pub writes: bool,
}

/// A plan; its figures hold for each volume on it, over all initiators and nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second of the limit; 0 is none.
    pub limit_rate: f64,
    /// Most units the limit's store holds.
    pub limit_burst: f64,
    /// Units a second in reserve.
    pub reserve_rate: f64,
    /// Units a second a volume is sized for.
    pub nominal: f64,
    /// Weight for shares beyond the reserve.
    pub weight: f64,
    /// Factor on worth.
    pub price: f64,
}

/// Budget of further attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Always allowed in a window.
    pub base_allowance: f64,
    /// More, for each request taken in the window.
    pub ratio: f64,
    /// Length of the window.
    pub window: Nanos,
}

/// All that an initiator is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of initiators.
    pub initiators: u32,
    /// Request classes.
    pub classes: Vec<Class>,
    /// Plans.
    pub plans: Vec<Plan>,
    /// Smallest time between two batches of events.
    pub quantum: Nanos,
    /// Units a starting node bears from all initiators together within `fall`.
    pub warmup_units: f64,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Most units of one request.
    pub max_units: f64,
    /// Worth of units within the share, as a part of full.
    pub fair_share_value: f64,
    /// Worth of units beyond the share, as a part of full.
    pub idle_value: f64,
    /// Period of the use meter; 0 is no meter.
    pub use_period: Nanos,
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out.
    pub hedging: bool,
    /// Whether an attempt may be given up.
    pub cancellation: bool,
    /// Longest wait that a client follows.
    pub max_retry_after: Nanos,
    /// Whether the node list must be asked for.
    pub polls_discovery: bool,
    /// Longest time without a subscription before the list counts as told; 0 is none.
    pub poll_interval: Nanos,
    /// A starting node is warm after this.
    pub warmup_duration: Nanos,
    /// A starting node can do at least this part of its full work.
    pub warmup_floor: f64,
    /// A starting node bears this many times its present capacity.
    pub tip_multiple: f64,
    /// The span over which a starting node must not be overrun.
    pub overload_span: Nanos,
    /// How long a key rests after an attempt that may still run.
    pub order_settle_time: Nanos,
    /// Budget of further attempts, where there is one.
    pub retry_budget: Option<RetryBudget>,
}

/// State of a node by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listed {
    /// In service.
    Up,
    /// Finishing its work.
    Draining,
    /// Gone.
    Removed,
}

/// One entry of the node list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NodeInfo {
    /// Which node.
    pub node: NodeId,
    /// Its zone.
    pub zone: u32,
    /// The shard it holds.
    pub cell: CellId,
    /// Its state.
    pub listed: Listed,
    /// When it last started; 0 is long ago.
    pub started_at: Nanos,
}

/// Kind of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpdateScope {
    /// Changed entries only.
    Update,
    /// The complete list.
    Replace,
    /// The list last held, perhaps stale.
    Restored,
    /// The call failed or the subscription broke.
    Unavailable,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: usize,
    /// Its volume's plan.
    pub plan: usize,
    /// Its volume.
    pub volume: VolumeId,
    /// Its piece of data.
    pub key: Option<KeyId>,
    /// Time until the client gives this try up.
    pub patience: Nanos,
    /// Its size.
    pub units: f64,
    /// The shard that holds its data; `None` is a new object.
    pub cell: Option<CellId>,
    /// Number of initiators its volume works through.
    pub front_count: u32,
}

/// What a limit that all initiators share is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SharedLimit {
    /// Units of a volume.
    Volume(VolumeId),
    /// Further attempts, of whatever is asked for.
    Retries,
    /// Units to any one node that has just started.
    WarmingUpNode,
    /// Requests out at any one node; less than one is a pace.
    InFlightPerNode,
}

/// For which classes of work a node is held out: a bit for each class, the last one for all from there on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClassSet(u64);

impl ClassSet {
    /// For no work.
    pub const NONE: ClassSet = ClassSet(0);
    /// For all work.
    pub const ALL: ClassSet = ClassSet(u64::MAX);

    /// These and one more.
    #[must_use]
    pub fn with(self, class: usize) -> ClassSet {
        ClassSet(self.0 | 1 << class.min(63))
    }

    /// A bit for each class, the lowest for class 0.
    pub fn bits(self) -> u64 {
        self.0
    }

    /// Whether a class is one of them.
    pub fn contains(self, class: usize) -> bool {
        self.0 >> class.min(63) & 1 == 1
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Served,
    /// The node answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may run yet.
    TimedOut,
    /// No connection; it never ran.
    NotExecuted,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent.
    NotSent,
}

impl Outcome {
    /// Whether the server may have executed the attempt.
    pub(crate) fn may_have_executed(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::NotExecuted | Outcome::NotSent)
    }

    /// Whether the server may execute the attempt after its end.
    pub(crate) fn may_still_execute(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// What an initiator is told of what all share, and of its own end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FleetUpdate {
    /// What this initiator may use of a limit that all share, from a moment on that may be past: where it is told,
    /// it holds instead of an even part of a volume's, and beside what else holds back.
    SharedLimit {
        /// Of which limit.
        limit: SharedLimit,
        /// Units or attempts a second; requests, of those out at a node.
        rate: f64,
        /// Most units or attempts in store; of no meaning for requests out.
        burst: f64,
        /// From when.
        at: Nanos,
    },
    /// For which work all initiators hold a node out from now on, beside what this one saw itself.
    Ejection {
        /// Which node.
        node: NodeId,
        /// For which classes of work; none is that it is back.
        classes: ClassSet,
    },
    /// A node that is held out is to be tried: the next request that may run again goes there, once.
    Probe {
        /// Which node.
        node: NodeId,
        /// Not after this moment.
        until: Nanos,
    },
    /// This initiator ends: what it holds is answered by a moment, however long its clients would wait.
    Shutdown {
        /// By when.
        deadline: Nanos,
    },
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the node list.
    Endpoints {
        /// Kind of news.
        scope: UpdateScope,
        /// Its entries.
        nodes: Vec<NodeInfo>,
    },
    /// A request was taken.
    Request(Request),
    /// The client is gone.
    ClientGone(RequestId),
    /// A streamed answer has begun.
    ResponseStarted(RequestId),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Where it was sent.
        node: NodeId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        took: Nanos,
        /// Whether the request is finished.
        last: bool,
        /// 1 + percent of the nominal rate the volume used lately; 0 is unknown.
        seen_use: f64,
        /// Units served for the volume through others since the last answer.
        foreign_units: f64,
    },
    /// What it is told beside lists and requests.
    FleetUpdate(FleetUpdate),
    /// A timer is due.
    Timer(u64),
}

/// What the initiator shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        node: NodeId,
        /// Time-out of the attempt; 0 is the client's own.
        timeout: Nanos,
    },
    /// Give up an attempt that is out: it ends as cancelled.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: refused, harmless to repeat.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away.
        retry_after: Nanos,
    },
    /// Final answer: failed, promising nothing.
    Fail(RequestId),
    /// Ask for a timer.
    SetTimer {
        /// From now.
        after: Nanos,
        /// Comes back with the timer.
        cookie: u64,
    },
    /// Subscribe to the node list.
    Subscribe,
    /// A node is gone and nothing is out to it: nothing is known of it any more.
    ForgetNode(NodeId),
    /// A line for the operators.
    Log {
        /// The text.
        text: &'static str,
        /// The node it is about.
        node: NodeId,
    },
}

/// Why settings cannot hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub &'static str);

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings cannot hold: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}
