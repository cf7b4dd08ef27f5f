//! What a front takes in and does, one JSON object a line on standard error, for those who count across a fleet.
//! Off, and then worth one look at a flag, unless the environment variable [`VARIABLE`] is 1.
//!
//! Each line has `t` (Unix time in seconds), `e` (what it is about) and what that brings.

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use simd_json::prelude::*;
use simd_json::{json, OwnedValue as Value};
use tulipbridge_core::request_tracker::{Effect, FinalAnswer, Input};
use tulipbridge_core::{FleetUpdate, Listed, Nanos, NodeId, NodeInfo, Outcome, SharedLimit, UpdateScope};

/// The environment variable that switches the trace on.
pub const VARIABLE: &str = "TULIPBRIDGE_TRACE";

/// Whether lines are written.
pub fn is_enabled() -> bool {
    static ON: OnceLock<bool> = OnceLock::new();
    *ON.get_or_init(|| std::env::var_os(VARIABLE).is_some_and(|v| v == "1"))
}

/// Writes one line, whose fields are in `object`.
pub fn write(mut object: Value) {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let _ = object.insert("t", now.as_secs_f64());
    crate::telemetry::log::line(format_args!("{}", object.encode()));
}

fn ms(nanos: Nanos) -> f64 {
    (nanos as f64 / 1e3).round() / 1e3
}

/// An input of the desk, before it is handled.
pub fn input(input: &Input, name: impl Fn(NodeId) -> String) {
    let line = match input {
        Input::RequestReceived(r) => json!({
            "e": "asked", "id": r.id, "class": r.class, "plan": r.plan, "volume": format!("{:x}", r.volume),
            "units": r.units, "cell": r.cell.map_or(-1, i64::from), "patience_ms": ms(r.patience),
            "hosts": r.front_count,
        }),
        Input::ClientGone(id) => json!({ "e": "left", "id": id }),
        Input::Overdue(id) => json!({ "e": "overdue", "id": id }),
        Input::AttemptEnded { id, attempt, outcome, seen_use, .. } => json!({
            "e": "ended", "id": id, "attempt": attempt, "outcome": word(*outcome), "use": seen_use,
        }),
        Input::AttemptTimedOut { id, attempt } => {
            json!({ "e": "ended", "id": id, "attempt": attempt, "outcome": "time_up" })
        }
        Input::AttemptCancelled { id, attempt } => {
            json!({ "e": "ended", "id": id, "attempt": attempt, "outcome": "stopped" })
        }
        Input::Endpoints { scope, nodes } => json!({
            "e": "fleet", "scope": scope_word(*scope), "entries": nodes.len(),
            "nodes": nodes.iter().map(|n| entry(n, &name)).collect::<Vec<Value>>(),
        }),
        Input::FleetUpdate(FleetUpdate::SharedLimit { limit: of, rate, burst, .. }) => json!({
            "e": "limit", "of": limit_name(*of), "rate": *rate, "burst": *burst,
        }),
        Input::FleetUpdate(FleetUpdate::Ejection { node, classes: out }) => {
            json!({ "e": "standing", "node": name(*node), "out": format!("Classes({})", out.bits()) })
        }
        Input::FleetUpdate(FleetUpdate::Probe { node, .. }) => json!({ "e": "trial", "node": name(*node) }),
        Input::FleetUpdate(FleetUpdate::Shutdown { .. }) => json!({ "e": "leaving" }),
        Input::Timer(_) => return,
    };
    write(line);
}

/// An effect of the desk, before it is carried out.
pub fn effect(effect: &Effect, name: impl Fn(NodeId) -> String) {
    let line = match effect {
        Effect::Send { id, attempt, node, .. } => {
            json!({ "e": "send", "id": id, "attempt": attempt, "node": name(*node) })
        }
        Effect::Withdraw { id, attempt, .. } => json!({ "e": "withdraw", "id": id, "attempt": attempt }),
        Effect::Cancel { id, attempt } => json!({ "e": "stop", "id": id, "attempt": attempt }),
        Effect::Answer { id, answer: verdict } => match verdict {
            FinalAnswer::Served => json!({ "e": "answer", "id": id, "verdict": "served" }),
            FinalAnswer::Rejected(wait) => {
                json!({ "e": "answer", "id": id, "verdict": "refused", "wait_ms": ms(*wait) })
            }
            FinalAnswer::Failed => json!({ "e": "answer", "id": id, "verdict": "failed" }),
        },
        Effect::Subscribe => json!({ "e": "subscribe" }),
        Effect::ForgetNode(node) => json!({ "e": "forget", "node": name(*node) }),
        Effect::Log { text, node } => json!({ "e": "note", "text": *text, "node": name(*node) }),
        Effect::Release(_) | Effect::SetTimer { .. } => return,
    };
    write(line);
}

fn entry(n: &NodeInfo, name: impl Fn(NodeId) -> String) -> Value {
    let listed = match n.listed {
        Listed::Up => "up",
        Listed::Draining => "draining",
        Listed::Removed => "removed",
    };
    json!({ "node": name(n.node), "cell": n.cell, "listed": listed, "came_up": n.started_at as f64 / 1e9 })
}

/// The name of a limit in the trace, whatever it is called in the code.
fn limit_name(limit: SharedLimit) -> String {
    match limit {
        SharedLimit::Volume(volume) => format!("Volume({volume})"),
        SharedLimit::Retries => "Further".to_owned(),
        SharedLimit::WarmingUpNode => "Starting".to_owned(),
        SharedLimit::InFlightPerNode => "Out".to_owned(),
    }
}

fn scope_word(scope: UpdateScope) -> &'static str {
    match scope {
        UpdateScope::Update => "update",
        UpdateScope::Replace => "replace",
        UpdateScope::Restored => "restored",
        UpdateScope::Unavailable => "unavailable",
    }
}

fn word(outcome: Outcome) -> &'static str {
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
