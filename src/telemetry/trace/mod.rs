//! The decision trace: the scheduler's inputs and effects as JSON, one object a line on standard
//! error, for analysis across a fleet. It is off unless the environment variable [`VARIABLE`] is 1,
//! and then costs one look at a flag.
//!
//! Each line has `t` (Unix time in seconds), `e` (the kind of event) and the fields of that kind.
//! Keys and values are a stable format: they do not follow the names in the code.

mod events;

use std::sync::OnceLock;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use simd_json::OwnedValue as Value;
use tulipbridge_core::request_tracker::{Effect, Input};
use tulipbridge_core::NodeId;

use crate::telemetry::log::trace_line;
use crate::telemetry::trace::events::{effect_event, input_event, TraceEvent};

/// The environment variable that enables the trace.
pub const VARIABLE: &str = "TULIPBRIDGE_TRACE";

/// A line of the trace.
#[derive(Serialize)]
struct Line<Event> {
    #[serde(flatten)]
    event: Event,
    /// Unix time in seconds.
    #[serde(rename = "t")]
    time: f64,
}

/// Whether the trace is on.
pub fn is_enabled() -> bool {
    static ENABLED: OnceLock<bool> = OnceLock::new();
    *ENABLED.get_or_init(|| std::env::var_os(VARIABLE).is_some_and(|value| value == "1"))
}

/// Writes one line with the fields of `event` and the time.
pub fn write(event: impl Serialize) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let line = Line {
        event,
        time: now.as_secs_f64(),
    };
    // Fails only for an event that is not an object, and all callers pass one.
    if let Ok(json) = simd_json::serde::to_string(&line) {
        trace_line(json);
    }
}

/// Traces the start of a front with its settings, as they stand in the file.
pub fn start(settings: Option<&Value>) {
    write(TraceEvent::Start { settings });
}

/// Traces an input before the scheduler handles it. `name` returns the names of chunk servers.
pub fn input(input: &Input, name: impl Fn(NodeId) -> String) {
    if let Some(event) = input_event(input, name) {
        write(event);
    }
}

/// Traces an effect before it is carried out. `name` returns the names of chunk servers.
pub fn effect(effect: &Effect, name: impl Fn(NodeId) -> String) {
    if let Some(event) = effect_event(effect, name) {
        write(event);
    }
}
