//! Tests of the configuration of a front's peers, and of the limits that it passes to the decision
//! module. No test starts a process.

mod config;
mod ejection_config;
mod limits;

use simd_json::OwnedValue as Value;

/// Parses a JSON text.
fn json(text: &str) -> Value {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("the text is JSON")
}
