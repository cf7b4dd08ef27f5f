//! The events of the decision trace, converted from the scheduler's inputs and effects.

use serde::Serialize;
use simd_json::OwnedValue as Value;
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{
    EndpointState, FleetUpdate, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId,
    RuntimeCommand, SharedLimit, UpdateScope,
};

/// Nanoseconds per microsecond.
const NANOS_PER_MICROSECOND: f64 = 1e3;
/// Microseconds per millisecond.
const MICROS_PER_MILLISECOND: f64 = 1e3;
/// Nanoseconds per second.
const NANOS_PER_SECOND: f64 = 1e9;
/// The traced shard of a request that may be sent to any shard.
const ANY_SHARD: i64 = -1;

/// An event of the trace. Its fields are written in the order in which they are declared.
#[derive(Serialize)]
#[serde(tag = "e")]
pub(super) enum TraceEvent<'a> {
    /// The front has read a configuration file.
    #[serde(rename = "start")]
    Start { settings: Option<&'a Value> },
    /// A request was received.
    #[serde(rename = "asked")]
    RequestReceived {
        id: u64,
        class: usize,
        plan: usize,
        volume: String,
        units: f64,
        #[serde(rename = "cell")]
        shard: i64,
        patience_ms: f64,
        #[serde(rename = "hosts")]
        front_count: u32,
    },
    /// The client of a request has disconnected.
    #[serde(rename = "left")]
    ClientDisconnected { id: u64 },
    /// The deadline of a request has passed.
    #[serde(rename = "overdue")]
    Overdue { id: u64 },
    /// The response of an attempt has begun and is not complete yet.
    #[serde(rename = "began")]
    ResponseBegan {
        id: u64,
        attempt: u32,
        #[serde(rename = "ms")]
        age_ms: f64,
    },
    /// The response of an attempt is passed on although its server pauses.
    #[serde(rename = "paused")]
    ResponsePaused { id: u64, attempt: u32 },
    /// A chunk server did not go on with a response that was passed on during a pause.
    #[serde(rename = "stopped")]
    ResponseStopped { node: String },
    /// An attempt has ended.
    #[serde(rename = "ended")]
    AttemptEnded {
        id: u64,
        attempt: u32,
        outcome: &'static str,
        #[serde(rename = "use", skip_serializing_if = "Option::is_none")]
        observed_use: Option<f64>,
    },
    /// The endpoint list has changed.
    #[serde(rename = "fleet")]
    Endpoints {
        scope: &'static str,
        #[serde(rename = "entries")]
        count: usize,
        nodes: Vec<TracedEndpoint>,
    },
    /// This front's part of a limit that the fleet shares has changed.
    #[serde(rename = "limit")]
    SharedLimit {
        #[serde(rename = "of")]
        limit: String,
        rate: f64,
        burst: f64,
    },
    /// A chunk server was ejected for some classes, or readmitted.
    #[serde(rename = "standing")]
    Ejection {
        node: String,
        #[serde(rename = "out")]
        classes: String,
    },
    /// The front may probe an ejected chunk server.
    #[serde(rename = "trial")]
    Probe { node: String },
    /// The front shuts down.
    #[serde(rename = "leaving")]
    Shutdown,
    /// An attempt is sent.
    #[serde(rename = "send")]
    Send { id: u64, attempt: u32, node: String },
    /// An attempt that may not have been sent yet is withdrawn.
    #[serde(rename = "withdraw")]
    Withdraw { id: u64, attempt: u32 },
    /// An attempt is cancelled.
    #[serde(rename = "stop")]
    Cancel { id: u64, attempt: u32 },
    /// A request gets its final answer.
    #[serde(rename = "answer")]
    Answer {
        id: u64,
        #[serde(rename = "verdict")]
        answer: &'static str,
        #[serde(rename = "wait_ms", skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<f64>,
    },
    /// The front subscribes to the endpoint list.
    #[serde(rename = "subscribe")]
    Subscribe,
    /// A chunk server was removed and its state is dropped.
    #[serde(rename = "forget")]
    ForgetNode { node: String },
    /// The scheduler logs a message about a chunk server.
    #[serde(rename = "note")]
    Log { text: String, node: String },
}

/// An entry of an endpoint list, with the fields that are traced.
#[derive(Serialize)]
pub(super) struct TracedEndpoint {
    node: String,
    #[serde(rename = "cell")]
    shard: u32,
    listed: &'static str,
    /// The time at which the server started, in seconds.
    #[serde(rename = "came_up")]
    started_at: f64,
}

/// Converts an input; `None` for inputs that are not traced. `name` returns the name of a chunk
/// server.
pub(super) fn input_event(
    input: &Input,
    name: impl Fn(NodeId) -> String,
) -> Option<TraceEvent<'static>> {
    let event = match input {
        Input::RequestReceived(request) => request_received(request),
        Input::ClientDisconnected(id) => TraceEvent::ClientDisconnected { id: id.0 },
        Input::Overdue(id) => TraceEvent::Overdue { id: id.0 },
        Input::AttemptEnded {
            id,
            attempt,
            outcome,
            observed_use,
            ..
        } => TraceEvent::AttemptEnded {
            id: id.0,
            attempt: *attempt,
            outcome: outcome_name(*outcome),
            observed_use: Some(*observed_use),
        },
        Input::ResponseBegan { id, attempt, age } => TraceEvent::ResponseBegan {
            id: id.0,
            attempt: *attempt,
            age_ms: *age as f64 / NANOS_PER_MICROSECOND / MICROS_PER_MILLISECOND,
        },
        Input::ResponsePaused { id, attempt } => TraceEvent::ResponsePaused {
            id: id.0,
            attempt: *attempt,
        },
        Input::ResponseStopped(node) => TraceEvent::ResponseStopped { node: name(*node) },
        Input::AttemptTimedOut { id, attempt } => attempt_without_use(*id, *attempt, "time_up"),
        Input::AttemptCancelled { id, attempt } => attempt_without_use(*id, *attempt, "stopped"),
        Input::Endpoints { scope, nodes } => TraceEvent::Endpoints {
            scope: scope_name(*scope),
            count: nodes.len(),
            nodes: nodes.iter().map(|node| endpoint(node, &name)).collect(),
        },
        Input::FleetUpdate(update) => fleet_update(update, name),
        Input::Timer(_) => return None,
    };
    Some(event)
}

/// Converts an effect; `None` for effects that are not traced. `name` returns the name of a chunk
/// server.
pub(super) fn effect_event(
    effect: &Effect,
    name: impl Fn(NodeId) -> String,
) -> Option<TraceEvent<'static>> {
    let event = match effect {
        Effect::Send {
            id, attempt, node, ..
        } => TraceEvent::Send {
            id: id.0,
            attempt: *attempt,
            node: name(*node),
        },
        Effect::Withdraw { id, attempt, .. } => TraceEvent::Withdraw {
            id: id.0,
            attempt: *attempt,
        },
        Effect::Cancel { id, attempt } => TraceEvent::Cancel {
            id: id.0,
            attempt: *attempt,
        },
        Effect::Answer { id, answer } => final_answer(*id, answer),
        Effect::Runtime(command) => return command_event(command, name),
        Effect::Release(_) => return None,
    };
    Some(event)
}

/// Converts a runtime command; `None` for commands that are not traced.
fn command_event(
    command: &RuntimeCommand,
    name: impl Fn(NodeId) -> String,
) -> Option<TraceEvent<'static>> {
    match command {
        RuntimeCommand::Subscribe => Some(TraceEvent::Subscribe),
        RuntimeCommand::ForgetNode(node) => Some(TraceEvent::ForgetNode { node: name(*node) }),
        RuntimeCommand::Log { text, node } => Some(TraceEvent::Log {
            text: (*text).to_string(),
            node: name(*node),
        }),
        RuntimeCommand::SetTimer { .. } => None,
    }
}

/// Returns the event of a received request.
fn request_received(request: &Request) -> TraceEvent<'static> {
    TraceEvent::RequestReceived {
        id: request.id.0,
        class: request.class,
        plan: request.plan,
        volume: format!("{:x}", request.volume.0),
        units: request.units,
        shard: request.shard.map_or(ANY_SHARD, |shard| i64::from(shard.0)),
        patience_ms: milliseconds(request.client_timeout),
        front_count: request.front_count,
    }
}

/// Returns the event of an attempt that ended without an observed use.
fn attempt_without_use(id: RequestId, attempt: u32, outcome: &'static str) -> TraceEvent<'static> {
    TraceEvent::AttemptEnded {
        id: id.0,
        attempt,
        outcome,
        observed_use: None,
    }
}

/// Converts an update from the fleet.
fn fleet_update(update: &FleetUpdate, name: impl Fn(NodeId) -> String) -> TraceEvent<'static> {
    match update {
        FleetUpdate::SharedLimit {
            limit, rate, burst, ..
        } => TraceEvent::SharedLimit {
            limit: limit_name(*limit),
            rate: *rate,
            burst: *burst,
        },
        FleetUpdate::Ejection { node, classes } => TraceEvent::Ejection {
            node: name(*node),
            classes: format!("Classes({})", classes.bits()),
        },
        FleetUpdate::Probe { node, .. } => TraceEvent::Probe { node: name(*node) },
        FleetUpdate::Shutdown { .. } => TraceEvent::Shutdown,
    }
}

/// Returns the event of a final answer.
fn final_answer(id: RequestId, answer: &FinalAnswer) -> TraceEvent<'static> {
    let name = match answer {
        FinalAnswer::Served => "served",
        FinalAnswer::Rejected(_) => "refused",
        FinalAnswer::Failed => "failed",
    };
    let retry_after_ms = match answer {
        FinalAnswer::Rejected(retry_after) => Some(milliseconds(*retry_after)),
        FinalAnswer::Served | FinalAnswer::Failed => None,
    };
    TraceEvent::Answer {
        id: id.0,
        answer: name,
        retry_after_ms,
    }
}

/// Converts an entry of an endpoint list.
fn endpoint(info: &NodeInfo, name: impl Fn(NodeId) -> String) -> TracedEndpoint {
    let listed = match info.state {
        EndpointState::Up => "up",
        EndpointState::Draining => "draining",
        EndpointState::Removed => "removed",
    };
    TracedEndpoint {
        node: name(info.node),
        shard: info.shard.0,
        listed,
        started_at: info.started_at as f64 / NANOS_PER_SECOND,
    }
}

/// Returns the name of a shared limit in the trace.
fn limit_name(limit: SharedLimit) -> String {
    match limit {
        SharedLimit::Volume(volume) => format!("Volume({volume})"),
        SharedLimit::Retries => "Further".to_owned(),
        SharedLimit::WarmingUpNode => "Starting".to_owned(),
        SharedLimit::InFlightPerNode => "Out".to_owned(),
    }
}

/// Returns the name of an endpoint list's scope in the trace.
fn scope_name(scope: UpdateScope) -> &'static str {
    match scope {
        UpdateScope::Update => "update",
        UpdateScope::Replace => "replace",
        UpdateScope::Restored => "restored",
        UpdateScope::Unavailable => "unavailable",
    }
}

/// Returns the name of an attempt's outcome in the trace.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Served => "done",
        Outcome::Error => "error",
        Outcome::Rejected => "busy",
        Outcome::TimedOut => "timed_out",
        Outcome::NotExecuted => "refused",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "skipped",
    }
}

/// Converts nanoseconds to milliseconds, rounded to three decimal places.
fn milliseconds(nanos: Nanos) -> f64 {
    (nanos as f64 / NANOS_PER_MICROSECOND).round() / MICROS_PER_MILLISECOND
}
