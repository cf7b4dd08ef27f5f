//! A fleet that ejects a chunk server, and the status that its consoles show.

use std::path::Path;
use std::time::Duration;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_testbed::process::{Lab, Make};
use tulipbridge_testbed::schedule::Fault;
use tulipbridge_testbed::wire::State;

/// Three fronts that share ejections of four chunk servers, of which `s-1` has just stopped responding.
pub async fn fleet_with_silent_server() -> Lab {
    const FRONTS: usize = 3;
    const SERVERS: usize = 4;
    let make = Make::judging(FRONTS, SERVERS, Duration::from_millis(25), 3);
    let program = Path::new(env!("CARGO_BIN_EXE_tulipbridge"));
    let mut lab = Lab::new(program, make).await.expect("the lab starts");
    assert!(lab.until_joined().await, "they join");
    (0..FRONTS).for_each(|front| lab.load(front, 30));
    for front in 0..FRONTS {
        let has_medians = |status: &str| status.matches("median_us").count() == 2;
        assert!(lab.until_verdicts(front, has_medians).await, "{front} knows the medians");
    }
    let fault = Fault::Wire { front: None, server: 1, state: State::Silent };
    lab.strike(&fault).await.expect("silent");
    lab
}

/// Parses JSON.
pub fn read_json(text: &str) -> Value {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON")
}

/// The first ejection whose fields all have values.
pub fn complete_ejection(status: &Value) -> Option<Value> {
    let is_complete = |ejection: &&Value| {
        let is_filled = |key: &str| ejection[key].as_array().is_some_and(|list| !list.is_empty());
        let has_times = ejection["out_ms"].as_i64().is_some() && ejection["lapses_ms"].as_i64().is_some();
        has_times && ejection["tries"].as_str().is_some() && is_filled("assents") && is_filled("saw")
    };
    status["verdicts"].as_array()?.iter().find(is_complete).cloned()
}

/// The keys of an object in their order, each with the type of its value; for a list, those of its first element.
pub fn shape(value: &Value) -> String {
    if let Some(object) = value.as_object() {
        let fields: Vec<String> =
            object.iter().map(|(key, value)| format!("{key}: {}", shape(value))).collect();
        return format!("{{{}}}", fields.join(", "));
    }
    match value.as_array() {
        Some(list) => format!("[{}]", list.first().map(shape).unwrap_or_default()),
        None => format!("{:?}", value.value_type()),
    }
}
