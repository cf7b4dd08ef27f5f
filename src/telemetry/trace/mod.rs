//! The decision trace: the scheduler's inputs and effects, written to standard error as one JSON
//! object per line, for analysis across a fleet. It is enabled if the environment variable
//! [`VARIABLE`] is 1; otherwise its cost is the check of a flag.
//!
//! Each line has `t` (Unix time in seconds), `e` (the kind of event) and the fields of that kind.
//! The keys and values are a stable format that does not change with the names in the code.

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

/// A line of the trace: an event and the time at which it was written.
#[derive(Serialize)]
struct Line<Event> {
    #[serde(flatten)]
    event: Event,
    /// Unix time in seconds.
    #[serde(rename = "t")]
    time: f64,
}

/// Returns whether the trace is enabled.
pub fn is_enabled() -> bool {
    static ENABLED: OnceLock<bool> = OnceLock::new();
    *ENABLED.get_or_init(|| std::env::var_os(VARIABLE).is_some_and(|value| value == "1"))
}

/// Writes a line with the fields of `event` and the current time.
pub fn write(event: impl Serialize) {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let line = Line {
        event,
        time: now.as_secs_f64(),
    };
    // Serialization fails only for an event that is not an object, and all callers pass one.
    if let Ok(json) = simd_json::serde::to_string(&line) {
        trace_line(json);
    }
}

/// Traces that a configuration file was read, with the file's `settings` object.
pub fn start(settings: Option<&Value>) {
    write(TraceEvent::Start { settings });
}

/// Traces an input before the scheduler handles it. `name` returns the name of a chunk server.
pub fn input(input: &Input, name: impl Fn(NodeId) -> String) {
    if let Some(event) = input_event(input, name) {
        write(event);
    }
}

/// Traces an effect before it is executed. `name` returns the name of a chunk server.
pub fn effect(effect: &Effect, name: impl Fn(NodeId) -> String) {
    if let Some(event) = effect_event(effect, name) {
        write(event);
    }
}
