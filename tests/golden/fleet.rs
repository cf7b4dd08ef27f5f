//! A fleet that ejects a chunk server, and the status that its consoles show.

use std::path::Path;
use std::time::Duration;

use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tulipbridge_testbed::schedule::Fault;
use tulipbridge_testbed::tcp_proxy::LinkState;
use tulipbridge_testbed::testbed::{Testbed, TestbedConfig};

/// Three fronts that share ejections of four chunk servers, of which `s-1` has just stopped
/// responding.
pub async fn fleet_with_silent_server() -> Testbed {
    const FRONTS: usize = 3;
    const SERVERS: usize = 4;
    let make = TestbedConfig::with_outlier_detection(FRONTS, SERVERS, Duration::from_millis(25), 3);
    let program = Path::new(env!("CARGO_BIN_EXE_tulipbridge"));
    let mut testbed = Testbed::start_all(program, make)
        .await
        .expect("the testbed starts");
    assert!(testbed.wait_until_joined().await, "they join");
    (0..FRONTS).for_each(|front| testbed.set_load(front, 30));
    for front in 0..FRONTS {
        let has_medians = |status: &str| status.matches("median_us").count() == 2;
        assert!(
            testbed.wait_for_outlier_status(front, has_medians).await,
            "{front} knows the medians"
        );
    }
    let fault = Fault::ServerLink {
        front: None,
        server: 1,
        state: LinkState::Silent,
    };
    testbed.inject(&fault).await.expect("silent");
    testbed
}

/// Parses JSON.
pub fn read_json(text: &str) -> Value {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON")
}

/// The first ejection whose fields all have values.
pub fn complete_ejection(status: &Value) -> Option<Value> {
    let is_complete = |ejection: &&Value| {
        let is_filled = |key: &str| {
            ejection[key]
                .as_array()
                .is_some_and(|list| !list.is_empty())
        };
        let has_times =
            ejection["out_ms"].as_i64().is_some() && ejection["lapses_ms"].as_i64().is_some();
        has_times
            && ejection["tries"].as_str().is_some()
            && is_filled("assents")
            && is_filled("saw")
    };
    status["verdicts"]
        .as_array()?
        .iter()
        .find(is_complete)
        .cloned()
}

/// The keys of an object in their order, each with the type of its value; for a list, those of its
/// first element.
pub fn shape(value: &Value) -> String {
    if let Some(object) = value.as_object() {
        let fields: Vec<String> = object
            .iter()
            .map(|(key, value)| format!("{key}: {}", shape(value)))
            .collect();
        return format!("{{{}}}", fields.join(", "));
    }
    match value.as_array() {
        Some(list) => format!("[{}]", list.first().map(shape).unwrap_or_default()),
        None => format!("{:?}", value.value_type()),
    }
}
