//! The configuration of a front's peers, and the limits that the decision module is given by it. No
//! process is started.

mod config;
mod ejection_config;
mod limits;

use simd_json::OwnedValue as Value;

/// Parses a JSON text.
fn json(text: &str) -> Value {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("the text is JSON")
}
