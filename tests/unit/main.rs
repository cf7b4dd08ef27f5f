//! Tests of single modules of the front through their public items.

mod body_budget;
mod framing;
mod listener;
mod memory_budget;
mod range;
mod request_body;
mod settings_keys;
mod shared_ids;
mod upstream;
