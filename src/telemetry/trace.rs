//! The decision trace: the scheduler's inputs and effects as JSON, one object a line on standard
//! error, for analysis across a fleet. It is off unless the environment variable [`VARIABLE`] is 1,
//! and then costs one look at a flag.
//!
//! Each line has `t` (Unix time in seconds), `e` (the kind of event) and the fields of that kind.
//! Keys and values are a stable format: they do not follow the names in the code.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{
    FleetUpdate, Listed, Nanos, NodeId, NodeInfo, Outcome, Request, RequestId, RuntimeCommand,
    SharedLimit, UpdateScope,
};

/// The environment variable that enables the trace.
pub const VARIABLE: &str = "TULIPBRIDGE_TRACE";

/// Whether the trace is on.
pub fn is_enabled() -> bool {
    static ENABLED: OnceLock<bool> = OnceLock::new();
    *ENABLED.get_or_init(|| std::env::var_os(VARIABLE).is_some_and(|value| value == "1"))
}

/// Writes one line with the fields of `object` and the time.
pub fn write(mut object: Value) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // Fails only where the value is not an object, and all callers pass one.
    let _ = object.insert("t", now.as_secs_f64());
    crate::telemetry::log::trace_line(object.encode());
}

/// Traces an input before the scheduler handles it. `name` returns the names of chunk servers.
pub fn input(input: &Input, name: impl Fn(NodeId) -> String) {
    let event = match input {
        Input::RequestReceived(request) => request_received(request),
        Input::ClientGone(id) => json!({ "e": "left", "id": id.0 }),
        Input::Overdue(id) => json!({ "e": "overdue", "id": id.0 }),
        Input::AttemptEnded {
            id,
            attempt,
            outcome,
            observed_use: seen_use,
            ..
        } => json!({
            "e": "ended", "id": id.0, "attempt": attempt, "outcome": outcome_name(*outcome), "use": seen_use,
        }),
        Input::AttemptTimedOut { id, attempt } => {
            json!({ "e": "ended", "id": id.0, "attempt": attempt, "outcome": "time_up" })
        }
        Input::AttemptCancelled { id, attempt } => {
            json!({ "e": "ended", "id": id.0, "attempt": attempt, "outcome": "stopped" })
        }
        Input::Endpoints { scope, nodes } => json!({
            "e": "fleet", "scope": scope_name(*scope), "entries": nodes.len(),
            "nodes": nodes.iter().map(|node| endpoint(node, &name)).collect::<Vec<Value>>(),
        }),
        Input::FleetUpdate(update) => fleet_update(update, &name),
        Input::Timer(_) => return,
    };
    write(event);
}

/// Traces an effect before it is carried out. `name` returns the names of chunk servers.
pub fn effect(effect: &Effect, name: impl Fn(NodeId) -> String) {
    let event = match effect {
        Effect::Send {
            id, attempt, node, ..
        } => {
            json!({ "e": "send", "id": id.0, "attempt": attempt, "node": name(*node) })
        }
        Effect::Withdraw { id, attempt, .. } => {
            json!({ "e": "withdraw", "id": id.0, "attempt": attempt })
        }
        Effect::Cancel { id, attempt } => json!({ "e": "stop", "id": id.0, "attempt": attempt }),
        Effect::Answer { id, answer } => final_answer(*id, answer),
        Effect::Runtime(command) => return runtime_command(command, name),
        Effect::Release(_) => return,
    };
    write(event);
}

fn runtime_command(command: &RuntimeCommand, name: impl Fn(NodeId) -> String) {
    let event = match command {
        RuntimeCommand::Subscribe => json!({ "e": "subscribe" }),
        RuntimeCommand::ForgetNode(node) => json!({ "e": "forget", "node": name(*node) }),
        RuntimeCommand::Log { text, node } => {
            json!({ "e": "note", "text": *text, "node": name(*node) })
        }
        RuntimeCommand::SetTimer { .. } => return,
    };
    write(event);
}

fn request_received(request: &Request) -> Value {
    json!({
        "e": "asked", "id": request.id.0, "class": request.class, "plan": request.plan,
        "volume": format!("{:x}", request.volume.0), "units": request.units,
        "cell": request.shard.map_or(-1, |shard| i64::from(shard.0)), "patience_ms": milliseconds(request.patience),
        "hosts": request.front_count,
    })
}

fn fleet_update(update: &FleetUpdate, name: impl Fn(NodeId) -> String) -> Value {
    match update {
        FleetUpdate::SharedLimit {
            limit, rate, burst, ..
        } => {
            json!({ "e": "limit", "of": limit_name(*limit), "rate": *rate, "burst": *burst })
        }
        FleetUpdate::Ejection { node, classes } => {
            json!({ "e": "standing", "node": name(*node), "out": format!("Classes({})", classes.bits()) })
        }
        FleetUpdate::Probe { node, .. } => json!({ "e": "trial", "node": name(*node) }),
        FleetUpdate::Shutdown { .. } => json!({ "e": "leaving" }),
    }
}

fn final_answer(id: RequestId, answer: &FinalAnswer) -> Value {
    match answer {
        FinalAnswer::Served => json!({ "e": "answer", "id": id.0, "verdict": "served" }),
        FinalAnswer::Rejected(wait) => {
            json!({ "e": "answer", "id": id.0, "verdict": "refused", "wait_ms": milliseconds(*wait) })
        }
        FinalAnswer::Failed => json!({ "e": "answer", "id": id.0, "verdict": "failed" }),
    }
}

fn endpoint(info: &NodeInfo, name: impl Fn(NodeId) -> String) -> Value {
    let listed = match info.listed {
        Listed::Up => "up",
        Listed::Draining => "draining",
        Listed::Removed => "removed",
    };
    json!({
        "node": name(info.node), "cell": info.shard.0, "listed": listed, "came_up": info.started_at as f64 / 1e9,
    })
}

fn limit_name(limit: SharedLimit) -> String {
    match limit {
        SharedLimit::Volume(volume) => format!("Volume({volume})"),
        SharedLimit::Retries => "Further".to_owned(),
        SharedLimit::WarmingUpNode => "Starting".to_owned(),
        SharedLimit::InFlightPerNode => "Out".to_owned(),
    }
}

fn scope_name(scope: UpdateScope) -> &'static str {
    match scope {
        UpdateScope::Update => "update",
        UpdateScope::Replace => "replace",
        UpdateScope::Restored => "restored",
        UpdateScope::Unavailable => "unavailable",
    }
}

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

/// Milliseconds with three digits after the point.
fn milliseconds(nanos: Nanos) -> f64 {
    (nanos as f64 / 1e3).round() / 1e3
}
